package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// replication is a group's log: who is the primary, how far each server has applied it, and which commits were answered.
type replication struct {
	mu       sync.Mutex
	primary  string
	replicas map[string]*replica
	commits  map[uint64]int64         // position of each write by its request's id, in Unix milliseconds
	answered map[string][]answeredPos // by session: commits whose whole response was written
}

// replica is how far a server has applied the log. A position never falls.
type replica struct {
	lag         time.Duration
	frozenUntil time.Time
	applied     int64     // Unix milliseconds, rounded down
	wasPrimary  bool      // at any time of the run
	toldRoleAt  time.Time // when it last became known to be written that the server is none, after it was the primary; zero if not yet
}

// answeredPos is a commit that became known when its response was written.
type answeredPos struct {
	position int64
	at       time.Time
}

// Ranges of replication faults.
const (
	maxReplicationLag = 200 * time.Millisecond
	maxFreeze         = time.Second
	copyAge           = 3 * time.Second // of the data that a new replica starts with
)

func newReplication() *replication {
	return &replication{replicas: map[string]*replica{}, commits: map[uint64]int64{}, answered: map[string][]answeredPos{}}
}

// add adds a server that starts with data of the given age.
func (g *replication) add(name string, primary bool, lag, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicas[name] = &replica{lag: lag, applied: time.Now().Add(-age).UnixMilli(), wasPrimary: primary}
	if primary {
		g.primary = name
	}
}

// position returns the server's position; the caller holds the lock.
func (g *replication) position(name string) int64 {
	r, now := g.replicas[name], time.Now()
	switch {
	case name == g.primary:
		r.applied = max(r.applied, now.UnixMilli())
	case now.After(r.frozenUntil):
		r.applied = max(r.applied, now.Add(-r.lag).UnixMilli())
	}
	return r.applied
}

// commit executes a write; ok is false at a server that is not the primary.
func (g *replication) commit(name string, id uint64) (position int64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if name != g.primary {
		return 0, false
	}
	position = time.Now().UnixMilli() + 1 // rounded up
	g.commits[id] = position
	return position, true
}

// required is the position that a session's read sent at a given time must see by what was answered a while before.
func (g *replication) required(session string, sentAt time.Time, noticeTime time.Duration) (position int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.answered[session] {
		if c.at.Add(noticeTime).Before(sentAt) {
			position = max(position, c.position)
		}
	}
	return position
}

// lastCommit is the latest commit of a session that was answered.
func (g *replication) lastCommit(session string) int64 { return g.required(session, time.Now(), 0) }

// recordAnswer records that a response with a server's role, and the commit of a write if there is one, was written whole.
func (g *replication) recordAnswer(name string, readOnly bool, session string, commit int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if commit > 0 {
		g.answered[session] = append(g.answered[session], answeredPos{commit, now})
	}
	if r := g.replicas[name]; readOnly && r.toldRoleAt.IsZero() {
		r.toldRoleAt = now
	}
}

// mayBeTakenForPrimary reports whether a read sent to a server at a given time is excused because the server has been
// the primary and no response told otherwise.
func (g *replication) mayBeTakenForPrimary(name string, sentAt time.Time, noticeTime time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[name]
	return r.wasPrimary && (r.toldRoleAt.IsZero() || sentAt.Before(r.toldRoleAt.Add(noticeTime)))
}

// freeze stops a random replica's replication for a while.
func (g *replication) freeze(name string, duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.position(name)
	g.replicas[name].frozenUntil = time.Now().Add(duration)
}

// promote makes a server the primary, with all commits; the former one follows it from where it stood.
func (g *replication) promote(name string, lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.position(g.primary)
	g.replicas[g.primary].lag = lag
	g.replicas[g.primary].toldRoleAt = time.Time{}
	g.primary = name
	g.replicas[name].wasPrimary, g.replicas[name].toldRoleAt = true, time.Time{}
	g.replicas[name].frozenUntil = time.Time{}
}

func (g *replication) mode(name string) string {
	if name == g.primary {
		return "read-write"
	}
	return "read-only"
}

// randomLag draws a replication lag.
func randomLag(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(maxReplicationLag)))
}
