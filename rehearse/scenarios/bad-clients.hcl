about  = "A hundred bad clients a second beside the others: they say nothing, talk nonsense, stop in the middle, or go without waiting."
length = "15s"
traffic {
  rude = 100 # in real time
}
expect {
  service    = 0.98
  worst_type = 0.95
}
