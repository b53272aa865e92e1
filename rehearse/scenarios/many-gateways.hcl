about    = "A hundred gateways before ten groups, a jump and a crash."
length   = "15s"
gateways = 100
group {
  count   = 10
  members = 3
}
traffic {
  rate     = 4000
  sessions = 20000
  jump {
    at    = "5s"
    for   = "4s"
    times = 1.6
  }
}
fault "crash" {
  at     = "6s"
  for    = "3s"
  member = "3.0"
}
expect {
  service = 0.85
}
