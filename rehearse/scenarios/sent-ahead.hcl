about  = "A third of all reads come three at a time on one connection, while a replica falls behind and the primary is moved."
length = "20s"
traffic {
  piped = 0.33
}
fault "lag" {
  at     = "4s"
  for    = "8s"
  member = "0.1"
  lag    = "2s"
}
fault "move" {
  at     = "8s"
  member = "0.2"
}
expect {
  service = 0.95
}
