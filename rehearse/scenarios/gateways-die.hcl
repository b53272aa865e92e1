about    = "Gateways die one after another, as in a release that goes wrong."
length   = "30s"
gateways = 5
fault "kill" {
  at      = "5s"
  for     = "4s"
  gateway = 0
}
fault "kill" {
  at      = "10s"
  for     = "4s"
  gateway = 1
}
fault "kill" {
  at      = "15s"
  for     = "4s"
  gateway = 2
}
expect {
  service = 0.93
}
