package gateway_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"magpieglade/standin"
)

// TestTranscriptOfProcesses compares an operator's commands to a fleet of processes, their output and the responses to a
// client with the reviewed transcript under testdata. Times, addresses, machine names and remaining lease times are
// normalized. `-update` rewrites it.
func TestTranscriptOfProcesses(t *testing.T) {
	u := newAgreementFleet(t, 3, 1)
	var out strings.Builder
	normalizers := []struct {
		pattern     *regexp.Regexp
		replacement string
	}{
		{regexp.MustCompile(`127\.0\.0\.5:\d+`), "ADDRESS"}, {regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d`), "TIME"},
		{regexp.MustCompile(`\S+@\S+`), "SOMEBODY"}, {regexp.MustCompile(`may act for \S+;`), "may act for LEFT;"}, {regexp.MustCompile(`term \d+`), "term T"},
		{regexp.MustCompile(`/\S*/fleet\d+/`), ""}, {regexp.MustCompile(`  +`), "  "}, {regexp.MustCompile(`(ADDRESS  -  )\S+`), "${1}BUILD"},
		{regexp.MustCompile(`  \d\.\ds`), "  LEFT"},
	}
	record := func(source, what, output string) {
		for _, x := range normalizers {
			output = x.pattern.ReplaceAllString(output, x.replacement)
		}
		fmt.Fprintf(&out, "%s> %s\n%s\n\n", source, what, strings.TrimSpace(output))
	}
	run := func(gateway int, args ...string) {
		record(fmt.Sprint("n", gateway), strings.Join(args, " "), u.command(gateway, args...))
	}
	apply := func(gateway int, text string) {
		record(fmt.Sprint("n", gateway), "config apply:\n"+strings.TrimSpace(text), u.apply(gateway, text))
	}
	c := u.front.NewClient("cb01", standin.TxnTypes{Read: "any", Write: "keyed"})
	defer c.Close()
	read := func(gateway int) {
		a := c.Read(gateway)
		record(fmt.Sprint("a client at n", gateway), "a read of type any", strings.TrimSpace(a.String()))
	}
	awaitAllConnected := func(n int) {
		u.await("every gateway is listed as known to all", func() bool { return strings.Count(u.command(0, "fleet", "status"), " all") == n })
	}
	awaitAllConnected(3)
	run(0, "fleet", "status")
	apply(1, conflictingChange(1))
	u.awaitVersion(1, 0, 1, 2)
	run(2, "config", "history")
	read(2)
	apply(2, "route \"moved\" {\n  types = [\"none\"]\n}\n")
	u.network.Isolate(2, true)
	u.await("n2 is careful", func() bool { return strings.Contains(u.command(2, "fleet", "status"), "careful") })
	run(2, "fleet", "status")
	read(2)
	apply(0, conflictingChange(2))
	u.awaitVersion(2, 0, 1)
	read(1)
	u.network.Isolate(2, false)
	u.awaitVersion(2, 2)
	read(2)
	run(0, "config", "restore", "1")
	u.awaitVersion(3, 0, 1, 2)
	run(0, "config", "history")
	run(0, "fleet", "evict", "n9")
	run(0, "fleet", "evict", "n2")
	u.await("n2 is careful", func() bool { return strings.Contains(u.command(2, "fleet", "status"), "careful") })
	run(0, "fleet", "leave")
	awaitAllConnected(2)
	run(0, "fleet", "status")
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "agreed", []byte(out.String()))
}
