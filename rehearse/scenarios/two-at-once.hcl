about  = "The primary's process ends while a replica lags and another answers errors."
length = "30s"
group {
  members = 4
}
fault "lag" {
  at     = "8s"
  for    = "10s"
  member = "0.1"
  lag    = "4s"
}
fault "errors" {
  at     = "8s"
  for    = "10s"
  member = "0.2"
  factor = 0.5
}
fault "crash" {
  at     = "12s"
  for    = "4s"
  member = "0.0"
}
expect {
  service = 0.7
}
