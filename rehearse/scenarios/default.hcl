about    = "A busy half minute in which much goes wrong: a replica falls behind, a gateway dies, the primary's process ends while the list can't be reached."
length   = "30s"
gateways = 4
group {
  members = 4
}
traffic {
  rate     = 600
  sessions = 600
  roam     = 0.3
}
fault "lag" {
  at     = "4s"
  for    = "6s"
  member = "0.2"
  lag    = "2s"
}
fault "kill" {
  at      = "9s"
  for     = "2s"
  gateway = 1
}
fault "list" {
  at  = "12s"
  for = "10s"
}
fault "crash" {
  at     = "14s"
  for    = "4s"
  member = "0.0"
}
expect {
  service = 0.8
  rules   = true
}
