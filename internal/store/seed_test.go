package store

import "flag"

// Property tests use the same random seed in every run, unless a flag overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
