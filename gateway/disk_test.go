package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// setDiskFull simulates a full disk for a process, or ends the simulation: no file may grow.
func (p *process) setDiskFull(on bool) {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if on {
		limit.Cur = 1
	}
	must(unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
}

// TestConfigChangesWithFullDisks proposes changes while disks are full: the disk of a following voter, which delays nobody; of
// the leader, which must be replaced; and of all voters but one, when no change is agreed on and clients are served as before.
// Each gateway recovers by itself once there is space. Clients must get no wrong response meanwhile.
func TestConfigChangesWithFullDisks(t *testing.T) {
	t.Parallel() // it mostly waits for events
	fleet := newAgreementFleet(t, 5, 3)
	load := fleet.startReads()
	all := []int{0, 1, 2, 3, 4}
	applyVersion := func(gateway, version int) {
		t.Helper()
		fleet.await(fmt.Sprintf("version %d is agreed on", version), func() bool {
			output := fleet.apply(gateway, conflictingChange(version))
			return strings.Contains(output, fmt.Sprintf("version %d is agreed on", version))
		})
	}
	applyVersion(4, 1)
	fleet.awaitVersion(1, all...)
	leader := fleet.leader(0, 1, 2)
	follower := (leader + 1) % 3
	fleet.gateways[follower].setDiskFull(true)
	applyVersion(3, 2)
	others := []int{}
	for _, i := range all {
		if i != follower {
			others = append(others, i)
		}
	}
	fleet.awaitVersion(2, others...)
	fleet.gateways[follower].awaitLog("the log is not kept")
	fleet.gateways[follower].setDiskFull(false)
	fleet.awaitVersion(2, follower)

	fleet.gateways[leader].setDiskFull(true)
	output := fleet.apply(4, conflictingChange(3)) // the full leader cannot commit it, and whether another will is unknown
	fleet.await("another voter leads", func() bool { return fleet.leader(follower, 3-leader-follower) != leader })
	if !strings.Contains(output, "version 3 is agreed on") && !strings.Contains(fleet.command(follower, "config", "history"), "\n3 ") {
		applyVersion(4, 3)
	}
	others = others[:0]
	for _, i := range all {
		if i != leader {
			others = append(others, i)
		}
	}
	fleet.awaitVersion(3, others...)
	fleet.gateways[leader].setDiskFull(false)
	fleet.awaitVersion(3, all...)

	for i := range 2 {
		fleet.gateways[i].setDiskFull(true)
	}
	if output := fleet.apply(4, conflictingChange(4)); strings.Contains(output, "is agreed on") {
		t.Fatal("agreed although two of three voters cannot save: ", output)
	}
	for i := range 2 {
		fleet.gateways[i].setDiskFull(false)
	}
	// The proposal may be agreed on now or not, as its operator was told. A retry may thus create version 5 beside a late
	// version 4 of the same content: what counts is that all gateways use one later version.
	fleet.await("all use one later version", func() bool {
		held := map[int]int{}
		for _, i := range all {
			version := 0
			output := fleet.command(i, "fleet", "status")
			_, after, _ := strings.Cut(output, "routes: version ")
			if n, _ := fmt.Sscanf(after, "%d", &version); n == 1 && !strings.Contains(output, "next version") && strings.Contains(output, "may act") {
				held[version]++
			}
		}
		if held[3] == len(all) {
			fleet.apply(4, conflictingChange(4))
		}
		return len(held) == 1 && held[3] == 0 && held[0] == 0
	})
	load.finish(t)
}
