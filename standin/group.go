// Package standin provides the environment of a gateway for tests, rehearsals and measurements on one machine:
// groups of databases with a primary and replicas, the list service, the network between gateways, and clients
// that switch between gateways. It is written from the public specifications of PostgreSQL's protocol and of
// HTTP, listens on loopback only, and shares no code with the gateway, so that its observations can be checked
// against what the gateway reports.
//
// group.go implements a group's log, member.go its servers, list.go the list service, front.go the clients and
// wire.go the network.
package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Group is a log of commits, the servers that hold it, and which of them is the primary. Positions are Unix
// times in milliseconds by the group's own clock: a commit's is rounded up, and a server's means that it has
// applied every commit up to it. All methods are safe for concurrent use.
type Group struct {
	ID          int
	DedupWindow time.Duration // how long repeats of a keyed write are dropped
	ReplicaWait time.Duration // how long a replica waits for the position that a read requires; if negative, it does not check

	ReportAge time.Duration // how old the position in a load report is

	mu      sync.Mutex
	changed *sync.Cond // signals any change that a caller may wait for
	skew    time.Duration
	commits []commit // by position
	last    int64
	keys    map[string]*keyRecord
	members []*Member
	events  []Event
}

// commit is one write.
type commit struct {
	position  int64
	code, key string
	value     []byte
	lost      bool // in a failover
}

// keyRecord is what a group remembers of a deduplication key.
type keyRecord struct {
	firstSeen time.Time
	commit    commit
	effects   int
}

// Event is an action of a server.
type Event struct {
	At       time.Time
	Member   string
	Kind     string // "write", "repeat", "read", "probe", "miss", "behind", "turned away", "hung"
	ID       string // the txn's id, from its comment
	Code     string
	Key      string
	Value    string
	Timeout  time.Duration // timeout that the statement specifies
	Position int64         // of the commit, or the position applied by the server at the read
}

// NewGroup creates a group without members.
func NewGroup(id int) *Group {
	g := &Group{ID: id, DedupWindow: 2 * time.Second, ReplicaWait: 20 * time.Millisecond, keys: map[string]*keyRecord{}}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// SetClockSkew sets how far the group's clock is ahead of this machine's.
func (g *Group) SetClockSkew(by time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.skew = by
}

func (g *Group) now() time.Time { return time.Now().Add(g.skew) }

// position returns the position up to which a member has applied all commits.
func (g *Group) position(m *Member) int64 {
	if m.primary {
		return max(g.now().UnixMilli(), g.last)
	}
	at := g.now().Add(-m.lag).UnixMilli()
	if m.frozen > 0 {
		at = min(at, m.frozen)
	}
	m.applied = max(m.applied, at)
	return m.applied
}

// write commits a write at the primary, or drops a repeat; ok is false if the member is not the primary.
func (g *Group) write(m *Member, id, code, key string, value []byte) (c commit, repeat, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.primary {
		g.record(Event{Member: m.Name, Kind: "miss", ID: id, Code: code, Key: key})
		return c, false, false
	}
	now := time.Now()
	k := g.keys[key]
	if key != "" && k != nil && now.Sub(k.firstSeen) < g.DedupWindow {
		g.record(Event{Member: m.Name, Kind: "repeat", ID: id, Code: code, Key: key, Position: k.commit.position})
		return k.commit, true, true
	}
	p := g.now().UnixMicro()
	c = commit{position: max((p+999)/1000, g.last), code: code, key: key, value: slices.Clone(value)}
	g.last = c.position
	g.commits = append(g.commits, c)
	if key != "" {
		if k == nil {
			k = new(keyRecord)
			g.keys[key] = k
		}
		k.firstSeen, k.commit = now, c
		k.effects++
	}
	g.record(Event{Member: m.Name, Kind: "write", ID: id, Code: code, Key: key, Value: string(value), Position: c.position})
	return c, false, true
}

// read returns the latest value of a session code that a member has applied.
func (g *Group) read(m *Member, id, code string, limit time.Duration) (value []byte, position int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	position = g.position(m)
	for _, c := range slices.Backward(g.commits) {
		if c.code == code && c.position <= position && !c.lost {
			value = c.value
			break
		}
	}
	g.record(Event{Member: m.Name, Kind: "read", ID: id, Code: code, Value: string(value), Timeout: limit, Position: position})
	return value, position
}

func (g *Group) record(e Event) {
	e.At = time.Now()
	g.events = append(g.events, e)
	g.changed.Broadcast()
}

// Events returns the events so far, in order.
func (g *Group) Events() []Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.events)
}

// AwaitEvent waits for an event that matches, starting at the given index, and returns it with the index after
// it. It panics after eventTimeout, so that a missing event fails the test.
func (g *Group) AwaitEvent(from int, matches func(Event) bool) (Event, int) {
	stop := time.AfterFunc(eventTimeout, func() { g.mu.Lock(); defer g.mu.Unlock(); g.changed.Broadcast() })
	defer stop.Stop()
	end := time.Now().Add(eventTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := from; ; i++ {
		for i >= len(g.events) {
			if time.Now().After(end) {
				panic("stand-in: expected event did not occur in time")
			}
			g.changed.Wait()
		}
		if matches(g.events[i]) {
			return g.events[i], i + 1
		}
	}
}

// eventTimeout limits every wait for an event.
const eventTimeout = 20 * time.Second

// Effects returns how often a keyed write took effect.
func (g *Group) Effects(key string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if k := g.keys[key]; k != nil {
		return k.effects
	}
	return 0
}

// Primary returns the primary, or nil if there is none.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.primary {
			return m
		}
	}
	return nil
}

// Demote leaves the group without a primary. The former primary continues as a replica from its position.
func (g *Group) Demote() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.primary {
			m.applied = g.position(m)
			m.primary = false
		}
	}
	g.changed.Broadcast()
}

// Promote makes a member the primary. With sync, all commits survive the failover; without, those that the
// member had not applied are lost and it keeps its position. Either way its own commits come after the
// remaining ones.
func (g *Group) Promote(m *Member, sync bool) (lost int) {
	g.Demote()
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.position(m)
	for i := range g.commits {
		if c := &g.commits[i]; !sync && c.position > at && !c.lost {
			c.lost = true
			lost++
			delete(g.keys, c.key)
		}
	}
	if lost > 0 {
		g.last = at
	}
	m.primary, m.frozen = true, 0
	g.changed.Broadcast()
	return lost
}

// String returns the group's name.
func (g *Group) String() string { return fmt.Sprintf("group %d", g.ID) }
