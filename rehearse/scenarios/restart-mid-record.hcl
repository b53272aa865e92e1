about  = "The primary restarts under writes, and its answers are lost just before: nobody can tell what had its effect."
length = "25s"
traffic {
  rate = 300
}
fault "answers_lost" {
  at     = "8s"
  for    = "2s"
  member = "0.0"
  factor = 0.3
}
fault "crash" {
  at     = "10s"
  for    = "3s"
  member = "0.0"
}
expect {
  service = 0.75
}
