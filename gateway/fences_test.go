package gateway_test

import (
	"fmt"
	"testing"
	"time"
)

// TestFencesWithDatedReports guards against session reads that are stale while gateways can't be asked for their entries: a
// fence took the position in a load report, which is older than the fence, for all that the read must see.
func TestFencesWithDatedReports(t *testing.T) {
	for _, reportAge := range []time.Duration{40 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(reportAge.String(), func(t *testing.T) {
			group, members := newGroup(100*time.Millisecond, 2)
			group.ReportAge = reportAge
			f := newFleet(0, operatorWithPeers, members...)
			f.neverStarted = 1 // so every read is fenced
			f.add(2)
			defer f.stop()
			served, stale, other := runRoamingClients(f, 8, 20, 2)
			if stale > 0 || served < 150 {
				t.Fatalf("%d served, %d stale, %v", served, stale, other)
			}
		})
	}
}

// TestFirstReadAfterStartWithDatedReports guards against a stale first read of a group after a start, which is fenced too.
func TestFirstReadAfterStartWithDatedReports(t *testing.T) {
	group, members := newGroup(400*time.Millisecond, 2)
	group.ReportAge = 200 * time.Millisecond
	f := newFleet(1, "sessions {}", members...)
	defer f.stop()
	c := f.front.NewClient("ca01", txnTypes)
	for k := range 5 {
		value := fmt.Sprint("v", k)
		if got := c.Write(0, fmt.Sprint("start-", k), value); got.Code != "" || got.Err != nil {
			t.Fatal(got)
		}
		f.gateways[0].kill()
		c.Drop(0)
		f.gateways[0].start()
		if got := readUntilServed(c, 0); got.Value != value {
			t.Errorf("read %v, %s was written", got, value)
		}
	}
}

// TestFenceAtFormerPrimary guards against a fence that is answered by a server which has lost its role unnoticed: its answer
// says so, and may neither reach the client nor bound other reads.
func TestFenceAtFormerPrimary(t *testing.T) {
	group, members := newGroup(500*time.Millisecond, 2)
	f := newFleet(0, operatorWithPeers, members...)
	f.neverStarted = 1 // so every read is fenced
	f.add(2)
	defer f.stop()
	c := f.front.NewClient("cb01", txnTypes)
	for k := range 6 {
		primary, next := members[k%2], members[(k+1)%2]
		primary.SetLag(500 * time.Millisecond) // once it is a replica
		if got := readUntilServed(c, 1); got.Code != "" || got.Err != nil {
			t.Fatal(got) // gateway 1 knows the primary now
		}
		group.Promote(next, true)
		value := fmt.Sprint("w", k)
		if got := c.Write(0, fmt.Sprint("moved-", k), value); got.Code != "" || got.Err != nil {
			t.Fatal(got)
		}
		if got := readUntilServed(c, 1); got.Value != value {
			t.Errorf("read %v, %s was written", got, value)
		}
	}
}
