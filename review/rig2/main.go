// Command rig2 plays the cases 6 to 10 of the review against gateways that run as separate processes. Clients, database
// servers and discovery are stand-ins on loopback addresses. It exits with 1 if a rule was broken, with 0 if it held and
// with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// maxRunTime ends a case that takes too long.
const maxRunTime = 110 * time.Second

// rig holds what a running case needs.
type rig struct {
	*record
	root    string // of the repository
	temp    string // folder of this run alone
	trouble bool   // false: the same without the disruption
}

// caseFunc plays a case and returns how a rule was broken, empty if it held.
type caseFunc func(r *rig) (broken string, err error)

var cases = map[string]caseFunc{}

func main() {
	runtime.LockOSThread() // the gateways end with the thread that started them
	name := flag.String("case", "", "number of the case")
	recordFile := flag.String("record", "", "file for the record")
	flag.Parse()
	os.Exit(run(*name, *recordFile))
}

func run(name, recordFile string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	file, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(temp)
	r := &rig{record: &record{out: file, startedAt: time.Now()}, root: root, temp: filepath.Clean(temp), trouble: os.Getenv("TROUBLE") != "0"}
	r.logf("case %s, disruption: %v", name, r.trouble)
	giveUp := func(why string) {
		r.logf("%s", why)
		endGateways()
		_ = os.RemoveAll(temp)
		os.Exit(2)
	}
	time.AfterFunc(maxRunTime, func() { giveUp("the case took too long") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		giveUp("the case was ended from outside")
	}()
	broken, err := play(r)
	endGateways()
	switch {
	case err != nil:
		r.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		r.logf("rule broken: %s", broken)
		fmt.Println("rule broken:", broken)
		return 1
	}
	r.logf("rule held")
	fmt.Println("rule held")
	return 0
}
