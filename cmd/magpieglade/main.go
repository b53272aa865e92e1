// Command magpieglade runs the gateway and its operators' commands.
package main

import (
	"os"

	"magpieglade/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
