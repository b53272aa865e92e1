// Command rig plays one case of the review: it starts the gateway by the command of the deploy file, takes the part of
// clients, database servers and discovery on loopback, and judges one rule by what those have seen.
//
// Usage: rig CASE, from the project's root. It writes review/CASE/record.txt and exits with 1 if the rule was broken, 0
// if it held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"
)

// maxRunTime ends a case that does not end by itself.
const maxRunTime = 110 * time.Second

var cases = map[string]func(*rig) int{}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1]))
}

// play runs a case; every failure of the case itself is status 2.
func play(name string) (status int) {
	r, err := newRig(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	time.AfterFunc(maxRunTime, func() {
		r.logf("the case takes too long")
		r.close()
		os.Exit(2)
	})
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		r.logf("ended by %v", <-ended)
		r.close()
		os.Exit(2)
	}()
	defer func() {
		if e := recover(); e != nil {
			r.logf("the case could not run: %v", e)
			fmt.Fprintf(os.Stderr, "rig: %v\n%s", e, debug.Stack())
			status = 2
		}
		r.logf("status %d", status)
		r.close()
	}()
	return cases[name](r)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
