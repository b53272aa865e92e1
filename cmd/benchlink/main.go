// Command benchlink runs instances of the decision module for the simulator, whose frames it reads from
// standard input and answers on standard output.
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
