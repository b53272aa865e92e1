about  = "A replica drains under load, comes back, and the primary drains."
length = "30s"
traffic {
  rate = 600
}
fault "drain" {
  at     = "5s"
  for    = "8s"
  member = "0.1"
}
fault "drain" {
  at     = "18s"
  for    = "5s"
  member = "0.0"
}
expect {
  service = 0.7
}
