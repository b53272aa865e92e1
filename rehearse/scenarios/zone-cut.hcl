about    = "A zone is cut off for eight seconds, clients and gateways in it included."
length   = "30s"
gateways = 4
zones    = ["a", "b", "c"]
fault "cut" {
  at   = "10s"
  for  = "8s"
  zone = "b"
}
expect {
  service = 0.6
}
