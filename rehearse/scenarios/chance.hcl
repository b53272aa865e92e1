about  = "Anything, now and then."
length = "60s"
seed   = 7
group {
  members = 4
}
random {
  every = "6s"
  for   = "3s"
  kinds = ["crash", "pause", "slow", "lag", "drain", "errors", "kill", "list", "answers_lost"]
  factor = 0.3
}
expect {
  service = 0.5
}
