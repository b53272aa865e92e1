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

// chosen is what a gateway says of what the fleet chooses together, and of members' names.
func (u *agreementFleet) chosen(gateway int) (v hosted.CoordinationView, names map[uint64]string) {
	var r struct {
		Chosen *hosted.CoordinationView
		Names  map[uint64]string
	}
	if err := json.Unmarshal([]byte(u.command(gateway, "fleet", "subsets", "--json")), &r); err != nil || r.Chosen == nil {
		return v, nil
	}
	return *r.Chosen, r.Names
}

// holders are the gateways that a member has, by what all gateways say that they have.
func (u *agreementFleet) holders(gateways ...int) map[string]int {
	all := map[string]int{}
	for _, i := range gateways {
		v, names := u.chosen(i)
		for _, m := range v.Members {
			if m.Assigned {
				all[names[m.Key]]++
			}
		}
	}
	return all
}

// Eight gateways before a primary and eight replicas, each of which has the primary and four members. Connections at the
// members are counted there. Nothing is lost while a gateway is killed and comes back as it was, while half of the replicas
// hang at once, and while the primary moves to a replica that few have.
func TestSubsetsOfMembers(t *testing.T) {
	t.Parallel() // it waits for events nearly all of its time
	g, members := group(0, 8)
	operator := agreementOperatorFile + "coordination {\n  subset      = 4\n  connections = 1\n  away        = 0\n}\n"
	u := newAgreementFleetForGroup(t, 8, 3, operator, nil, g, members)
	all := []int{0, 1, 2, 3, 4, 5, 6, 7}
	l := u.startReads()
	settled := func(gateways ...int) {
		t.Helper()
		u.await("each member has its gateways", func() bool {
			has := u.holders(gateways...)
			sum, least, most := 0, 1<<30, 0
			for _, m := range members[1:] {
				n := has[m.Name]
				sum, least, most = sum+n, min(least, n), max(most, n)
			}
			if has[members[0].Name] != len(gateways) || sum > 4*len(gateways) || most-least > 2 {
				return false
			}
			t.Logf("%d gateways: a replica has %d to %d of them, the primary all", len(gateways), least, most)
			return true
		})
	}
	settled(all...)
	counted := func() (all int) {
		for _, m := range members {
			all += m.Connections()
		}
		return all
	}
	u.await("connections of what is dropped are given back", func() bool { return counted() <= 8*5*2 })
	before := u.holders(all...)
	u.gateways[6].kill()
	u.gateways[6].start()
	settled(all...)
	u.await("it has what it had", func() bool { return fmt.Sprint(u.holders(all...)) == fmt.Sprint(before) })

	// Half of the replicas hang.
	for _, m := range members[1:5] {
		m.SetHung(true)
	}
	u.await("subsets are wider where their members hang", func() bool {
		wider := 0
		for _, i := range all {
			if v, _ := u.chosen(i); v.WidenedBy[0] > 0 {
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
	u.awaitFor(40*time.Second, "they narrow again", func() bool {
		for _, i := range all {
			if v, _ := u.chosen(i); v.WidenedBy[0] > 0 {
				return false
			}
		}
		return true
	})
	settled(all...)

	// The primary moves: those that don't have it hear of it, or look for it.
	g.Promote(members[8], true)
	u.await("all have the new primary", func() bool { return u.holders(all...)[members[8].Name] == 8 })
	for _, i := range all {
		u.await("writes are served at every gateway", func() bool { a := c.Write(i, fmt.Sprint("k", i), "v"); return a.Err == nil && a.Code == "" })
	}
	c.Close()
	l.endRough(t)
}

// A member that one gateway of five can't reach is not ill for the others, and that gateway is told of what it does not
// see; one that none can reach is known as ill by all within a second or so.
func TestSignalsOfMembers(t *testing.T) {
	g, members := group(0, 4)
	hole := freePort("tcp4", "127.0.0.4") // nobody listens there
	var own *standin.List
	u := newAgreementFleetForGroup(t, 5, 3, agreementOperatorFile+"coordination {}\n", func(p *process) {
		if p.no == 3 {
			var hosts []standin.Host
			for _, m := range members {
				hosts = append(hosts, m.ListEntry("active"))
			}
			hosts[2].Dial = hole
			own = standin.NewList(hosts...)
			p.discovery = own.Address()
		}
	}, g, members)
	defer own.Close()
	l := u.startReads()
	for _, m := range members { // so many at a time that each is used: of idle ones the quickest gets nearly all
		m.SetDelay(5 * time.Millisecond)
	}
	for i := range u.gateways {
		g := u.guests("portal", i, 12)
		defer g.end()
	}
	others := []int{0, 1, 2, 4}
	seen := func(i int, member string) (k hosted.MemberView) {
		v, names := u.chosen(i)
		for _, m := range v.Members {
			if names[m.Key] == member {
				return m
			}
		}
		return k
	}
	name := members[2].Name
	for _, i := range others {
		u.await("the word of the one that can't reach it has come", func() bool { return seen(i, name).Summary.UnhealthyReports == 1 })
		if m := seen(i, name); m.Unhealthy {
			t.Fatal("one gateway's broken link has a member ill for all", m)
		}
	}
	u.await("the one hears of others that it is well", func() bool { m := seen(3, name); return !m.Unhealthy && m.Summary.Latency > 0 })
	was := members[2].Queries()
	u.await("the others use it", func() bool { return members[2].Queries() > was+50 })

	began := time.Now()
	members[3].Kill()
	for _, i := range u.each() {
		u.await("all know that one is ill", func() bool { return seen(i, members[3].Name).Summary.UnhealthyReports >= 1 })
	}
	t.Logf("all know of it after %v", time.Since(began).Round(10*time.Millisecond))
	if said := u.command(0, "fleet", "turns"); !strings.Contains(said, members[3].Name) || !strings.Contains(said, "ill ") {
		t.Fatal(said)
	}
	must(members[3].Start())
	u.await("it is well again", func() bool {
		return !slices.ContainsFunc(u.each(), func(i int) bool { return seen(i, members[3].Name).Unhealthy })
	})
	was = members[3].Queries()
	u.await("it is used again", func() bool { return members[3].Queries() > was+50 })
	l.endRough(t)
}

// While the list service is down one gateway asks it for all, as a rule, and all hear when it is up again.
func TestTurnsAtTheList(t *testing.T) {
	t.Parallel() // it waits for events nearly all of its time
	calls := func(block string) int {
		g, members := group(0, 2)
		u := newAgreementFleetForGroup(t, 6, 3, agreementOperatorFile+block, nil, g, members)
		u.list.AwaitDeliveredTo(6)
		u.list.SetDown(true)
		for _, p := range u.gateways {
			p.logged("list lost")
		}
		was := u.list.Requests()
		time.Sleep(3 * time.Second) // what is counted is what comes in this time, whatever it is
		n := u.list.Requests() - was
		u.list.SetDown(false)
		for _, p := range u.gateways {
			p.logged("list followed")
		}
		return n
	}
	each, turns := calls(""), calls("coordination {}\n")
	t.Logf("%d calls of six gateways in 3 s while each goes for itself, %d by turns", each, turns)
	if turns*2 > each {
		t.Fatal(each, turns)
	}
}

// endRough ends it where members fail under txns, which may be rolled back or late then, but never without an answer.
func (l *backgroundReads) endRough(t testing.TB) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	t.Logf("%d served, %d declined, %d without an answer, others %v", l.served.Load(), l.rejected.Load(), l.unanswered.Load(), l.unexpected)
	if l.served.Load() == 0 {
		t.Fatal("nothing is served")
	}
}

// each are all gateways.
func (u *agreementFleet) each() (all []int) {
	for i := range u.gateways {
		all = append(all, i)
	}
	return all
}
