about    = "Gateways can't talk with one another: one alone, then two halves, then most of what they say is lost. All are asked by clients and reach the databases."
length   = "24s"
gateways = 5
fault "apart" {
  at      = "4s"
  for     = "5s"
  gateway = 4
}
fault "halves" {
  at  = "11s"
  for = "4s"
}
fault "rough" {
  at     = "17s"
  for    = "4s"
  factor = 0.6
}
expect {
  service = 0.9
}
