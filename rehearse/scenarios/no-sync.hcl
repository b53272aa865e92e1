about  = "A primary dies whose commits were not passed on: what was lost is lost, and nobody is kept waiting for it."
length = "30s"
group {
  sync = false
  lag  = "200ms"
}
fault "crash" {
  at     = "10s"
  for    = "5s"
  member = "0.0"
}
expect {
  rules   = false # commits are lost with the primary, which no gateway can mend
  service = 0.7
}
