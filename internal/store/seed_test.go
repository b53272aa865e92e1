package store

import "flag"

// The same histories every time, unless the command line says otherwise.
func init() { _ = flag.Set("rapid.seed", "1") }
