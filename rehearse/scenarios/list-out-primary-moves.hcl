about  = "The list is out of reach for 25 s while a primary moves."
length = "40s"
fault "list" {
  at  = "5s"
  for = "25s"
}
fault "move" {
  at     = "12s"
  member = "0.1"
}
expect {
  service = 0.95
}
