about  = "All replicas apply slowly in turn; for a while none is current."
length = "30s"
traffic {
  think = "300ms" # and each session looks at what it has written
}
fault "lag" {
  at     = "5s"
  for    = "10s"
  member = "0.1"
  lag    = "3s"
}
fault "lag" {
  at     = "10s"
  for    = "10s"
  member = "0.2"
  lag    = "3s"
}
expect {
  service = 0.9
}
