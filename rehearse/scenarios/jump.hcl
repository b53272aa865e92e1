about  = "A match ends: traffic is five times what it was, for ten seconds."
length = "30s"
group {
  cores = 2
}
traffic {
  rate = 300
  jump {
    at    = "10s"
    for   = "10s"
    times = 5
  }
}
expect {
  service = 0.45
}
