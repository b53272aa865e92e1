package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"magpieglade/standin"
)

// newBuildSettings turns settings into those of a deployment of the new build: servers answer however old their data is,
// positions come from probes alone, the member list isn't authoritative about who runs, rejections carry no retry time, and
// reads delay a replica. Everything else is as in the old build.
var newBuildSettings = strings.NewReplacer(`"whenBehind":"await"`, `"whenBehind":"none"`, `"roleInList":"none"`, `"roleInList":"trailing"`,
	`"retryAfter":true`, `"retryAfter":false`, `"how":"answers"`, `"how":"probe"`, `"rules":{`, `"rules":{"softRemoval":true,`,
	`"promiseMs":300,"hardLimitMs":1000,"worth":1,"name":"any"`, `"promiseMs":4000,"hardLimitMs":8000,"worth":1,"name":"any"`)

// clientStats counts what clients of one build of gateway observed.
type clientStats struct{ requested, served, stale, overdue, unanswered int }

// runSessions has clients write and read, each session at its own gateway, and returns what they observed. Each read
// carries the position of the session's last commit, as reported by the servers. atHalf runs in the middle.
func runSessions(f *fleet, g *standin.Group, prefix string, clients, rounds int, atHalf func()) (stats clientStats) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := f.front.NewClient(fmt.Sprintf("%s%06d", prefix, i), txnTypes)
			defer c.Close()
			written := ""
			for k := range rounds {
				if i == 0 && k == rounds/2 {
					atHalf()
				}
				value := fmt.Sprintf("%06d", k+1)
				key := fmt.Sprintf("%s-%d-%d", prefix, i, k)
				w := c.Write(i%2, key, value)
				if w.Err == nil && w.Code == "" {
					e, _ := g.AwaitEvent(0, func(e standin.Event) bool { return e.Kind == "write" && e.Key == key })
					c.MinPosition = e.Position
				}
				r := c.Read(i % 2)
				mu.Lock()
				for _, a := range []standin.Response{w, r} {
					stats.requested++
					switch {
					case a.Err != nil:
						stats.unanswered++
					case a.Code == "":
						stats.served++
					}
					if a.Latency > c.Timeout+50*time.Millisecond {
						stats.overdue++
					}
				}
				if w.Err == nil && w.Code == "" {
					written = value
				}
				if r.Err == nil && r.Code == "" && r.Value < written {
					stats.stale++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return stats
}

// During a migration gateways of the old and the new build share the same servers. Each build must have nine of ten txns
// served, neither may break a guarantee of the other, and an empty member list, which is binding for the old build, must
// not stop the new one.
func TestOldAndNewBuildTogether(t *testing.T) {
	g, members := newGroup(20*time.Millisecond, 3)
	g.ReplicaWait = 20 * time.Millisecond
	before := newFleet(0, "", members...)
	before.add(2)
	defer before.stop()
	after := newFleet(0, strings.Replace(operatorWithPeers, "key \"1\"", "positions = true\n    key \"1\"", 1), members...)
	after.settings = newBuildSettings.Replace(settings)
	after.add(2)
	defer after.stop()

	hosts := func(health ...string) (all []standin.Host) {
		for i, m := range members {
			all = append(all, m.ListEntry(health[min(i, len(health)-1)]))
		}
		return all
	}
	fleets := []*fleet{before, after}
	var drainedAt time.Time
	stats := make([]clientStats, 2)
	var wg sync.WaitGroup
	for i, f := range fleets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			stats[i] = runSessions(f, g, [...]string{"aa", "bb"}[i], 8, 30, func() {
				if i == 0 { // r1 drains for both builds
					for _, f := range fleets {
						f.list.SetHosts(hosts("active", "leaving", "active", "active")...)
						f.list.AwaitDeliveredTo(2)
					}
					drainedAt = time.Now()
				}
			})
		}()
	}
	wg.Wait()
	for i, s := range stats {
		t.Logf("%s build: %+v", [...]string{"old", "new"}[i], s)
		if s.served < s.requested*9/10 || s.stale+s.overdue+s.unanswered > 0 {
			t.Errorf("build %d: %+v", i, s)
		}
	}
	writes := map[string]int{}
	for _, e := range g.Events() {
		if e.Kind == "write" {
			if writes[e.Key]++; writes[e.Key] > 1 {
				t.Errorf("%s took effect twice", e.Key)
			}
		}
		// 250 ms of grace period, and the 50 ms tolerance of all socket tests.
		if e.Member == "r1" && (e.Kind == "read" || e.Kind == "turned away") && e.At.After(drainedAt.Add(300*time.Millisecond)) {
			t.Errorf("%s at a draining member, %v after all were told", e.Kind, e.At.Sub(drainedAt))
		}
	}

	// The member list becomes empty. That is binding for the old build; the new one continues to use the servers that
	// respond, except for the one that was seen draining.
	for _, f := range fleets {
		f.list.SetHosts([]standin.Host{}...)
		f.list.AwaitDeliveredTo(2)
	}
	old, fresh := before.front.NewClient("cc000001", txnTypes), after.front.NewClient("cc000002", txnTypes)
	defer old.Close()
	defer fresh.Close()
	// The list was delivered; the gateway applies it when its event loop reads it.
	for end := time.Now().Add(eventTimeout); old.Read(0).Code != "53300"; {
		if time.Now().After(end) {
			t.Fatal("old build, nobody listed: still served")
		}
	}
	from := len(g.Events())
	position := func(key string) int64 {
		e, _ := g.AwaitEvent(from, func(e standin.Event) bool { return e.Kind == "write" && e.Key == key })
		return e.Position
	}
	for k := range 20 {
		w := fresh.Write(0, fmt.Sprint("cc-", k), fmt.Sprint("v", k))
		if w.Err != nil || w.Code != "" {
			t.Fatalf("new build, nobody listed: write %v", w)
		}
		fresh.MinPosition = position(fmt.Sprint("cc-", k))
		if r := fresh.Read(0); r.Value != fmt.Sprint("v", k) {
			t.Errorf("new build, nobody listed: read %v", r)
		}
	}
	for _, e := range g.Events()[from:] {
		if e.Member == "r1" && e.Kind != "probe" {
			t.Errorf("%s at a member that was seen draining", e.Kind)
		}
	}
	// The list is complete again, and the old build serves as before.
	for _, f := range fleets {
		f.list.SetHosts(hosts("active", "leaving", "active", "active")...)
		f.list.AwaitDeliveredTo(2)
	}
	if a := readUntilServed(old, 0); a.Code != "" {
		t.Errorf("old build, list right again: %v", a)
	}
}

// A gateway without a position of its own for a replica uses the one that another gateway reports: its first read goes to
// that replica without a probe. If positions aren't shared it has to probe.
func TestPositionsAreShared(t *testing.T) {
	for _, positions := range []string{"true", "false"} {
		g, members := newGroup(0, 1)
		f := newFleet(0, strings.NewReplacer("tokens", "source = \"own\"\n  tokens", "key \"1\"", "positions = "+positions+"\n    key \"1\"").Replace(operatorWithPeers), members...)
		f.settings = newBuildSettings.Replace(settings)
		f.add(2)
		c := f.front.NewClient("dd000001", txnTypes)
		c.Write(0, "dd", "v")
		e, _ := g.AwaitEvent(0, func(e standin.Event) bool { return e.Kind == "write" })
		for range 20 { // without a session, so any replica may answer, and the response carries its position
			c.Read(0)
		}
		from := len(g.Events())
		c.MinPosition = e.Position
		answer := c.Read(1)
		probed := 0
		for _, e := range g.Events()[from:] {
			if e.Kind == "probe" {
				probed++
			}
		}
		last := g.Events()[len(g.Events())-1]
		if answer.Value != "v" || (positions == "true") != (probed == 0 && last.Member == "r1") {
			t.Errorf("positions %s: %v, by %s, %d probes", positions, answer, last.Member, probed)
		}
		c.Close()
		f.stop()
	}
}
