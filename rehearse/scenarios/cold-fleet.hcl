about    = "Two of three replicas restart at once: both come back cold."
length   = "40s"
gateways = 6
group {
  members = 4
  cores   = 2
}
traffic {
  rate = 700
}
fault "crash" {
  at     = "8s"
  for    = "3s"
  member = "0.1"
}
fault "crash" {
  at     = "8s"
  for    = "3s"
  member = "0.2"
}
expect {
  service = 0.6
}
