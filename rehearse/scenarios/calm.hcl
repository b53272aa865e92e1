about = "Nothing goes wrong."
expect {
  service    = 0.99
  worst10    = 0.99
  worst_type = 0.99
}
