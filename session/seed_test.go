package session

import "flag"

// Fixes the seed, so that each run draws the same histories, unless the command line sets another.
func init() { _ = flag.Set("rapid.seed", "1") }
