package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// full has a process's disk take nothing more, or takes it back: no file may grow.
func (p *process) full(on bool) {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if on {
		limit.Cur = 1
	}
	must(unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
}

// Disks are full while changes are asked for: of a voter that follows, which holds up nobody; of the one that leads, which
// makes way; of all but one of those that vote, when no change comes and clients are served as before. Each goes on by
// itself once there is room. Nobody answers a client wrongly meanwhile.
func TestAgreedWithFullDisks(t *testing.T) {
	t.Parallel() // it waits for events nearly all of its time
	u := newAgreementFleet(t, 5, 3)
	l := u.startReads()
	all := []int{0, 1, 2, 3, 4}
	agreed := func(gateway, version int) {
		t.Helper()
		u.await(fmt.Sprintf("version %d is agreed on", version), func() bool {
			said := u.apply(gateway, conflictingChange(version))
			return strings.Contains(said, fmt.Sprintf("version %d is agreed on", version))
		})
	}
	agreed(4, 1)
	u.awaitVersion(1, all...)
	at := u.leader(0, 1, 2)
	follows := (at + 1) % 3
	u.gateways[follows].full(true)
	agreed(3, 2)
	others := []int{}
	for _, i := range all {
		if i != follows {
			others = append(others, i)
		}
	}
	u.awaitVersion(2, others...)
	u.gateways[follows].logged("the log is not kept")
	u.gateways[follows].full(false)
	u.awaitVersion(2, follows)

	u.gateways[at].full(true)
	said := u.apply(4, conflictingChange(3)) // by the one that leads it can't be, nor is it known whether another will
	u.await("another one leads", func() bool { return u.leader(follows, 3-at-follows) != at })
	if !strings.Contains(said, "version 3 is agreed on") && !strings.Contains(u.command(follows, "config", "history"), "\n3 ") {
		agreed(4, 3)
	}
	others = others[:0]
	for _, i := range all {
		if i != at {
			others = append(others, i)
		}
	}
	u.awaitVersion(3, others...)
	u.gateways[at].full(false)
	u.awaitVersion(3, all...)

	for i := range 2 {
		u.gateways[i].full(true)
	}
	if said := u.apply(4, conflictingChange(4)); strings.Contains(said, "is agreed on") {
		t.Fatal("two of three that vote keep nothing: ", said)
	}
	for i := range 2 {
		u.gateways[i].full(false)
	}
	// What was asked for may be agreed on now or not, as its operator was told. Who asks again may so be given 5 beside a late 4,
	// which say the same: what counts is that all come to act on one later version.
	u.await("all act on one later version", func() bool {
		held := map[int]int{}
		for _, i := range all {
			version := 0
			said := u.command(i, "fleet", "status")
			_, after, _ := strings.Cut(said, "routes: version ")
			if n, _ := fmt.Sscanf(after, "%d", &version); n == 1 && !strings.Contains(said, "next version") && strings.Contains(said, "may act") {
				held[version]++
			}
		}
		if held[3] == len(all) {
			u.apply(4, conflictingChange(4))
		}
		return len(held) == 1 && held[3] == 0 && held[0] == 0
	})
	l.finish(t)
}
