// Command benchlink runs instances of the decision module for the simulator: it reads frames from standard input and
// writes the responses to standard output.
package main

import (
	"fmt"
	"os"

	"magpieglade/internal/benchwire"
)

func main() {
	if err := benchwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
