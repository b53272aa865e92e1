package gateway_test

import (
	"strings"
	"testing"
	"time"

	"magpieglade/standin"
)

// keptUncheckedSettings are those of a deployment whose gateways remember sessions' writes and whose members answer reads
// however old their data is.
var keptUncheckedSettings = strings.NewReplacer(`"whenBehind":"await"`, `"whenBehind":"none"`, `"writeMarks":"brought"`, `"writeMarks":"kept"`).Replace(settings)

// startKeptUnchecked starts one gateway with keptUncheckedSettings, once the primary is known to it.
func startKeptUnchecked(g *standin.Group, members ...*standin.Member) *fleet {
	g.ReplicaWait = -1
	f := newFleet(0, "", members...)
	f.settings = keptUncheckedSettings
	f.add(1)
	c := f.front.NewClient("feed", txnTypes)
	defer c.Close()
	if w := c.Write(0, "warm-up", "000000"); w.Err != nil || w.Code != "" {
		panic(w.String())
	}
	return f
}

// readAll reads a session's value several times and fails for every read that shows something else; a rejected read shows nothing.
func readAll(t *testing.T, c *standin.Client, want string) {
	t.Helper()
	served := 0
	for range 20 {
		switch r := c.Read(0); {
		case r.Err == nil && r.Code == "" && r.Value != want:
			t.Errorf("stale read: %q instead of %q", r.Value, want)
		case r.Err == nil && r.Code == "":
			served++
		}
	}
	if served == 0 {
		t.Error("no read was served")
	}
}

func awaitKind(g *standin.Group, from int, kind string) int {
	_, next := g.AwaitEvent(from, func(e standin.Event) bool { return e.Kind == kind })
	return next
}

func TestReadSeesWriteWhoseClientLeft(t *testing.T) {
	g, members := newGroup(0, 1)
	f := startKeptUnchecked(g, members...)
	defer f.stop()
	primary, replica := members[0], members[1]
	replica.Freeze()
	from := len(g.Events())
	primary.SetHung(true)
	writer := f.front.NewClient("7f3a", standin.TxnTypes{Write: "once", Read: "session"})
	writer.Timeout = 900 * time.Millisecond
	go writer.Write(0, "left", "000001")
	from = awaitKind(g, from, "hung")
	writer.Drop(0)
	primary.SetHung(false)
	awaitKind(g, from, "write")
	reader := f.front.NewClient("7f3a", txnTypes)
	defer reader.Close()
	readAll(t, reader, "000001")
}

func TestReadSeesWriteWhoseAnswerWasLost(t *testing.T) {
	g, members := newGroup(0, 1)
	f := startKeptUnchecked(g, members...)
	defer f.stop()
	members[1].Freeze()
	members[0].DropResponses("once", 1)
	c := f.front.NewClient("7f3a", standin.TxnTypes{Write: "once", Read: "session"})
	defer c.Close()
	if w := c.Write(0, "lost", "000001"); w.Code != "40000" {
		t.Fatal(w)
	}
	readAll(t, c, "000001")
}
