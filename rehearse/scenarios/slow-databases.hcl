about  = "A replica slows down tenfold, then hangs."
length = "30s"
fault "slow" {
  at     = "5s"
  for    = "8s"
  member = "0.1"
  factor = 10
}
fault "pause" {
  at     = "18s"
  for    = "5s"
  member = "0.2"
}
expect {
  service = 0.9
}
