package gateway_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	hosted "magpieglade/fleet"
	"magpieglade/standin"
)

// coordinationView returns a gateway's view of the coordination, and the names of the members by key.
func (u *agreementFleet) coordinationView(gateway int) (v hosted.CoordinationView, names map[uint64]string) {
	var r struct {
		Chosen *hosted.CoordinationView
		Names  map[uint64]string
	}
	if err := json.Unmarshal([]byte(u.command(gateway, "fleet", "subsets", "--json")), &r); err != nil || r.Chosen == nil {
		return v, nil
	}
	return *r.Chosen, r.Names
}

// gatewaysByMember counts, by member name, the gateways that report the member as assigned to them.
func (u *agreementFleet) gatewaysByMember(gateways ...int) map[string]int {
	all := map[string]int{}
	for _, i := range gateways {
		v, names := u.coordinationView(i)
		for _, m := range v.Members {
			if m.Assigned {
				all[names[m.Key]]++
			}
		}
	}
	return all
}

// Eight gateways, a primary and eight replicas: each gateway is assigned the primary and four replicas. Connections are counted
// at the members. Service goes on while a gateway is killed and restarted with the same subset, while half of the replicas
// hang at once, and while the primary moves to a replica that few gateways are assigned.
func TestSubsetsOfMembers(t *testing.T) {
	t.Parallel() // it mostly waits for events
	g, members := newGroup(0, 8)
	operator := agreementOperatorFile + "coordination {\n  subset      = 4\n  connections = 1\n  away        = 0\n}\n"
	u := newAgreementFleetForGroup(t, 8, 3, operator, nil, g, members)
	all := []int{0, 1, 2, 3, 4, 5, 6, 7}
	l := u.startReads()
	settled := func(gateways ...int) {
		t.Helper()
		u.await("the members are evenly assigned", func() bool {
			counts := u.gatewaysByMember(gateways...)
			sum, minCount, maxCount := 0, 1<<30, 0
			for _, m := range members[1:] {
				n := counts[m.Name]
				sum, minCount, maxCount = sum+n, min(minCount, n), max(maxCount, n)
			}
			if counts[members[0].Name] != len(gateways) || sum > 4*len(gateways) || maxCount-minCount > 2 {
				return false
			}
			t.Logf("%d gateways: a replica is assigned to %d to %d of them, the primary to all", len(gateways), minCount, maxCount)
			return true
		})
	}
	settled(all...)
	connections := func() (all int) {
		for _, m := range members {
			all += m.Connections()
		}
		return all
	}
	u.await("connections to unassigned members are closed", func() bool { return connections() <= 8*5*2 })
	before := u.gatewaysByMember(all...)
	u.gateways[6].kill()
	u.gateways[6].start()
	settled(all...)
	u.await("the restarted gateway has its former subset", func() bool { return fmt.Sprint(u.gatewaysByMember(all...)) == fmt.Sprint(before) })

	// Half of the replicas hang.
	for _, m := range members[1:5] {
		m.SetHung(true)
	}
	u.await("subsets widen while their members hang", func() bool {
		wider := 0
		for _, i := range all {
			if v, _ := u.coordinationView(i); v.WidenedBy[0] > 0 {
				wider++
			}
		}
		return wider > 0
	})
	c := u.front.NewClient("5ab5e701", standin.TxnTypes{Read: "any", Write: "keyed"})
	for _, i := range all {
		u.await("reads are served at every gateway", func() bool { a := c.Read(i); return a.Err == nil && a.Code == "" })
	}
	for _, m := range members[1:5] {
		m.SetHung(false)
	}
	u.awaitFor(40*time.Second, "subsets narrow again", func() bool {
		for _, i := range all {
			if v, _ := u.coordinationView(i); v.WidenedBy[0] > 0 {
				return false
			}
		}
		return true
	})
	settled(all...)

	// The primary moves: gateways that are not assigned it are notified of it, or search for it.
	g.Promote(members[8], true)
	u.await("all gateways are assigned the new primary", func() bool { return u.gatewaysByMember(all...)[members[8].Name] == 8 })
	for _, i := range all {
		u.await("writes are served at every gateway", func() bool { a := c.Write(i, fmt.Sprint("k", i), "v"); return a.Err == nil && a.Code == "" })
	}
	c.Close()
	l.stopAllowingErrors(t)
}

// A member that one gateway of five can't reach is not unhealthy for the others, and that gateway receives their reports of it;
// a member that no gateway can reach is reported unhealthy at all within a second or so.
func TestMemberSignals(t *testing.T) {
	g, members := newGroup(0, 4)
	closedPort := freePort("tcp4", "127.0.0.4") // a port without a listener
	var ownList *standin.List
	u := newAgreementFleetForGroup(t, 5, 3, agreementOperatorFile+"coordination {}\n", func(p *process) {
		if p.index == 3 {
			var hosts []standin.Host
			for _, m := range members {
				hosts = append(hosts, m.ListEntry("active"))
			}
			hosts[2].Dial = closedPort
			ownList = standin.NewList(hosts...)
			p.discovery = ownList.Address()
		}
	}, g, members)
	defer ownList.Close()
	l := u.startReads()
	for _, m := range members { // concurrent reads use every member; if they were idle the fastest would get nearly all reads
		m.SetDelay(5 * time.Millisecond)
	}
	for i := range u.gateways {
		g := u.startUserLoad("portal", i, 12)
		defer g.end()
	}
	others := []int{0, 1, 2, 4}
	memberView := func(i int, member string) (k hosted.MemberView) {
		v, names := u.coordinationView(i)
		for _, m := range v.Members {
			if names[m.Key] == member {
				return m
			}
		}
		return k
	}
	name := members[2].Name
	for _, i := range others {
		u.await("the report of the gateway that can't reach the member has arrived", func() bool { return memberView(i, name).Summary.UnhealthyReports == 1 })
		if m := memberView(i, name); m.Unhealthy {
			t.Fatal("one gateway's broken link makes a member unhealthy for all", m)
		}
	}
	u.await("the gateway without a link receives reports that the member is healthy", func() bool { m := memberView(3, name); return !m.Unhealthy && m.Summary.Latency > 0 })
	queriesBefore := members[2].Queries()
	u.await("the other gateways use the member", func() bool { return members[2].Queries() > queriesBefore+50 })

	began := time.Now()
	members[3].Kill()
	for _, i := range u.allGateways() {
		u.await("each gateway has a report that the member is unhealthy", func() bool { return memberView(i, members[3].Name).Summary.UnhealthyReports >= 1 })
	}
	t.Logf("all gateways have a report after %v", time.Since(began).Round(10*time.Millisecond))
	if said := u.command(0, "fleet", "turns"); !strings.Contains(said, members[3].Name) || !strings.Contains(said, "unhealthy ") {
		t.Fatal(said)
	}
	must(members[3].Start())
	u.await("the member is healthy again", func() bool {
		return !slices.ContainsFunc(u.allGateways(), func(i int) bool { return memberView(i, members[3].Name).Unhealthy })
	})
	queriesBefore = members[3].Queries()
	u.await("the member is used again", func() bool { return members[3].Queries() > queriesBefore+50 })
	l.stopAllowingErrors(t)
}

// While the list service is down, as a rule one gateway calls it on behalf of all, and all are notified when it is up again.
func TestListRequestTurns(t *testing.T) {
	t.Parallel() // it mostly waits for events
	calls := func(block string) int {
		g, members := newGroup(0, 2)
		u := newAgreementFleetForGroup(t, 6, 3, agreementOperatorFile+block, nil, g, members)
		u.list.AwaitDeliveredTo(6)
		u.list.SetDown(true)
		for _, p := range u.gateways {
			p.awaitLog("list lost")
		}
		requestsBefore := u.list.Requests()
		time.Sleep(3 * time.Second) // counts the calls in a fixed time, so there is no event to wait for
		n := u.list.Requests() - requestsBefore
		u.list.SetDown(false)
		for _, p := range u.gateways {
			p.awaitLog("list followed")
		}
		return n
	}
	uncoordinated, coordinated := calls(""), calls("coordination {}\n")
	t.Logf("%d calls of six gateways in 3 s without coordination, %d with it", uncoordinated, coordinated)
	if coordinated*2 > uncoordinated {
		t.Fatal(uncoordinated, coordinated)
	}
}

// stopAllowingErrors ends the load of a test whose members fail under txns, so that these may be rolled back or late. It fails
// the test only if nothing was served; it logs the counts, also of txns without an answer.
func (l *backgroundReads) stopAllowingErrors(t testing.TB) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	t.Logf("%d served, %d declined, %d without an answer, others %v", l.served.Load(), l.rejected.Load(), l.unanswered.Load(), l.unexpected)
	if l.served.Load() == 0 {
		t.Fatal("nothing is served")
	}
}

// allGateways returns the indexes of all gateways.
func (u *agreementFleet) allGateways() (all []int) {
	for i := range u.gateways {
		all = append(all, i)
	}
	return all
}
