package gateway_test

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"magpieglade/ledger"
	"magpieglade/session"
)

// TestPositionOfASlowCommitIsKept guards against the loss of a commit's position, after which every session read of the group has
// to be fenced: the position was compared with the time of the last round, which an idle gateway may have run long before.
func TestPositionOfASlowCommitIsKept(t *testing.T) {
	const commitTime, writes = 30 * time.Millisecond, 10
	group, members := newGroup(0, 1)
	members[0].SetDelay(commitTime)
	f := newFleet(1, operatorWithLedger, members...)
	defer f.stop()
	c := f.front.NewClient("ac01", txnTypes)
	for k := range writes {
		value := fmt.Sprint("v", k)
		if got := c.Write(0, fmt.Sprint("slow-", k), value); got.Code != "" || got.Err != nil {
			t.Fatal(got)
		}
		if got := readUntilServed(c, 0); got.Value != value {
			t.Errorf("read %v, %s was written", got, value)
		}
	}
	f.gateways[0].kill()
	recovered, err := ledger.Read(filepath.Join(f.dir, "ledger0"))
	if err != nil {
		t.Fatal(err)
	}
	positions, lost := 0, 0
	for _, change := range recovered.Changes {
		switch {
		case change.Kind == session.EntriesLost:
			lost++
		case change.Kind == session.EntryRecorded && change.Entry.Kind == session.CommitEntry && change.Entry.Position > 0:
			positions++
		}
	}
	if positions != writes || lost > 0 {
		t.Errorf("%d of %d commits have their position, %d were lost", positions, writes, lost)
	}
	atPrimary := 0
	for _, e := range group.Events() {
		if e.Kind == "read" && e.Member == members[0].Name {
			atPrimary++
		}
	}
	t.Logf("%d of %d reads at the primary", atPrimary, writes)
}
