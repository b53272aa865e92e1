package rehearse

import (
	"fmt"
	"math"

	"magpieglade/rehearse/audit"
)

// cluster is a group's log and its members.
type cluster struct {
	no      int
	plan    GroupConfig
	members []*database
	log     []commit            // by position
	last    int64               // position of the latest
	of      map[uint64][]int    // by session: its commits, as numbers in the log
	keys    map[uint64]*keyHeld // that repeats are told by
}

type commit struct {
	at      int64 // its position
	session uint64
	version uint64
	lost    bool
}

type keyHeld struct {
	at      int64
	version uint64
}

// database is one member.
type database struct {
	w        *world
	of       *cluster
	no       int // in the world
	name     string
	zone     int
	primary  bool
	up       bool
	run      int   // counts its processes
	born     int64 // of this one; 0 is long ago
	paused   bool
	replaced bool     // as the primary, while it was paused
	held     []*query // that came while it was paused
	slow     float64
	errors   float64
	lost     float64
	late     int64 // more than its group's lag
	drained  bool
	gone     bool // as the list has it
	running  int
	queue    []*query
	conns    int
	next     int // of the log: the first that it has not applied
	freeAt   int64
	applied  int64
	window   []offered // of a cold one
	offer    float64
}

type offered struct {
	at   int64
	cost int64
}

// query is a submission at a member.
type query struct {
	gateway *node
	run     int
	t       *asked
	id      uint64
	key     uint64
	session uint64
	version uint64
	kind    int // txn type
	floor   int64
	came    int64
	cost    int64
	first   int64 // cost before any slow-down
	reply   func(reply)
}

// reply is what a member answers.
type reply struct {
	result   int // see the decide package; the values of its Result
	primary  bool
	position int64
	version  uint64
}

// reaches gives up to which position a member has applied all, now: commits come after the way of shipping, and are
// applied one after another.
func (d *database) reaches() int64 {
	now := d.w.Now
	if d.primary {
		d.applied = max(now, d.of.last)
		d.next, d.freeAt = len(d.of.log), now
		return d.applied
	}
	ship := d.of.plan.ReplicationLag + d.late
	for d.next < len(d.of.log) {
		c := &d.of.log[d.next]
		if c.at+ship > now {
			break
		}
		end := max(d.freeAt, c.at+ship) + d.of.plan.ApplyTime
		if end > now {
			return d.applied
		}
		d.freeAt = end
		d.applied = max(d.applied, c.at)
		d.next++
	}
	d.applied = max(d.applied, now-ship)
	if d.next < len(d.of.log) { // not beyond one that has not come
		d.applied = min(d.applied, d.of.log[d.next].at-1)
	}
	return d.applied
}

// shows is the latest version of a session within a position.
func (c *cluster) shows(session uint64, position int64) uint64 {
	all := c.of[session]
	for i := len(all) - 1; i >= 0; i-- {
		if x := &c.log[all[i]]; x.at <= position && !x.lost {
			return x.version
		}
	}
	return 0
}

// age is how warm it is: the share of its speed that it has.
func (d *database) warmth() float64 {
	p := &d.of.plan
	age := d.w.Now - d.born
	if d.born == 0 || age >= p.WarmUp {
		return 1
	}
	return p.ColdFraction + (1-p.ColdFraction)*float64(age)/float64(p.WarmUp)
}

// take is a query that has come to it.
func (d *database) take(q *query) {
	q.came = d.w.Now
	if d.paused {
		d.held = append(d.held, q)
		return
	}
	d.admit(q)
}

func (d *database) work(q *query, kind audit.SubmissionKind, version uint64) {
	if q.id == 0 {
		return
	}
	d.w.log.Submissions = append(d.w.log.Submissions, audit.Submission{ID: q.id, Key: q.key, Session: q.session, Version: version, Member: d.no,
		Gateway: q.gateway.no, Kind: kind, At: d.w.Now, ReceivedAt: q.came, Cost: q.first})
}

func (d *database) admit(q *query) {
	t := &d.w.s.Types[q.kind]
	write := t.Consistency == "mutate"
	if write && !d.primary {
		d.work(q, audit.Rejected, 0)
		d.answers(q, reply{result: missed, position: d.reaches()})
		return
	}
	if q.floor > 0 && d.reaches() < q.floor {
		if waited := d.w.Now - q.came; waited < d.of.plan.ReplicaWait {
			run := d.run
			d.w.After(min(d.of.plan.ReplicaWait-waited, int64(2e6)), func() {
				if d.run == run && !d.paused {
					d.admit(q)
				} else if d.run == run {
					d.held = append(d.held, q)
				}
			})
			return
		}
		d.work(q, audit.Rejected, 0)
		d.answers(q, reply{result: missed, position: d.reaches(), primary: d.primary})
		return
	}
	if !d.bears(q) {
		return
	}
	if d.running >= d.of.plan.Cores {
		d.queue = append(d.queue, q)
		return
	}
	d.serve(q)
}

// bears has a cold member fall over that gets more than it can bear.
func (d *database) bears(q *query) bool {
	if d.warmth() == 1 {
		d.window, d.offer = nil, 0
		return true
	}
	d.window = append(d.window, offered{d.w.Now, q.first})
	d.offer += float64(q.first)
	for d.window[0].at <= d.w.Now-1e9 {
		d.offer -= float64(d.window[0].cost)
		d.window = d.window[1:]
	}
	if d.offer <= d.of.plan.OverloadFactor*d.warmth()*float64(d.of.plan.Cores)*1e9 {
		return true
	}
	d.w.said("%s falls over, cold", d.name)
	d.work(q, audit.Read, 0)
	d.crash(d.of.plan.RestartTime)
	return false
}

func (d *database) serve(q *query) {
	d.running++
	run := d.run
	took := float64(q.cost) * d.slow / d.warmth()
	if n := d.running + len(d.queue); n > d.of.plan.ThrashingThreshold {
		took *= float64(n) / float64(d.of.plan.ThrashingThreshold)
	}
	seen := d.reaches() // what a read shows is as of its begin
	d.w.After(int64(took), func() {
		if d.run != run {
			return
		}
		d.running--
		d.done(q, seen)
		if len(d.queue) > 0 && d.running < d.of.plan.Cores && d.run == run {
			next := d.queue[0]
			d.queue = d.queue[1:]
			d.serve(next)
		}
	})
}

func (d *database) done(q *query, seen int64) {
	r := reply{result: committed, primary: d.primary}
	if d.errors > 0 && d.w.rng.Float64() < d.errors {
		r.result = failed
		d.answers(q, r)
		return
	}
	if d.w.s.Types[q.kind].Consistency == "mutate" {
		if !d.primary { // it was moved meanwhile
			d.work(q, audit.Rejected, 0)
			d.answers(q, reply{result: missed, position: d.reaches()})
			return
		}
		r.position, r.version = d.of.write(d, q)
	} else {
		r.version = d.of.shows(q.session, seen)
		r.position = seen
		d.work(q, audit.Read, r.version)
	}
	if d.lost > 0 && d.w.rng.Float64() < d.lost {
		r.result = broken
	}
	d.answers(q, r)
}

// write commits, or drops a repeat of a key that it remembers.
func (c *cluster) write(d *database, q *query) (position int64, version uint64) {
	if k := c.keys[q.key]; q.key != 0 && k != nil && d.w.Now-k.at < d.w.s.Types[q.kind].DedupWindow {
		d.work(q, audit.Repeat, k.version)
		return c.last, k.version
	}
	c.last = max(c.last+1, d.w.Now)
	c.of[q.session] = append(c.of[q.session], len(c.log))
	c.log = append(c.log, commit{at: c.last, session: q.session, version: q.version})
	if q.key != 0 {
		c.keys[q.key] = &keyHeld{d.w.Now, q.version}
	}
	d.work(q, audit.Write, q.version)
	return c.last, q.version
}

// answers sends a reply back, unless its gateway's process has ended.
func (d *database) answers(q *query, r reply) {
	run := d.run
	d.w.send(d.zone, q.gateway.zone, func() {
		if r.result != broken && d.run != run { // the connection went with the process
			r.result = broken
		}
		q.reply(r)
	})
}

// crash ends its process; another starts after a span, cold.
func (d *database) crash(span int64) {
	if !d.up {
		return
	}
	d.up, d.paused, d.replaced = false, false, false
	d.run++
	d.running, d.conns = 0, 0
	pending := append(d.queue, d.held...)
	d.queue, d.held, d.window, d.offer = nil, nil, nil, 0
	d.w.notice(audit.Event{Kind: audit.MemberDied, Member: d.no})
	for _, q := range pending {
		d.answers(q, reply{result: broken})
	}
	for _, g := range d.w.nodes {
		g.memberEnded(d)
	}
	c := d.of
	if d.primary {
		d.reaches()
		d.primary = false
		d.w.After(c.plan.DetectionTime, c.elect)
	}
	run := d.run
	d.w.After(2e9, func() { // as long as the list service takes to see it
		if !d.up && d.run == run {
			d.gone = true
			d.w.relist()
		}
	})
	d.w.After(span, func() {
		d.up, d.gone, d.born = true, false, d.w.Now
		d.w.notice(audit.Event{Kind: audit.MemberStarted, Member: d.no})
		d.w.relist()
	})
}

// elect makes the replica that has applied most the primary, if there is none.
func (c *cluster) elect() {
	var best *database
	for _, d := range c.members {
		if d.primary {
			return
		}
		if d.up && !d.paused && (best == nil || d.reaches() > best.reaches()) {
			best = d
		}
	}
	if best == nil {
		c.members[0].w.After(c.plan.DetectionTime/2+1, c.elect)
		return
	}
	c.promote(best)
}

func (c *cluster) promote(d *database) {
	at := d.reaches()
	if !c.plan.SyncReplication {
		for i := range c.log {
			if x := &c.log[i]; x.at > at && !x.lost {
				x.lost = true
			}
		}
	}
	d.primary, d.late = true, 0
	d.w.said("%s is the primary", d.name)
}

// move hands over to another member.
func (c *cluster) move(to *database) {
	for _, d := range c.members {
		if d.primary {
			d.reaches()
			d.primary = false
		}
	}
	to.w.After(c.plan.SwitchoverTime, func() {
		for _, d := range c.members {
			if d.primary {
				return
			}
		}
		if to.up && !to.paused {
			c.promote(to)
		} else {
			c.elect()
		}
	})
}

// draw is a service time.
func (w *world) draw(t *TypeConfig) int64 {
	mean := float64(t.Cost)
	switch t.Distribution {
	case Exponential:
		mean *= w.rng.ExpFloat64()
	case Lognormal: // with a deviation of one, whose mean is held
		mean *= math.Exp(w.rng.NormFloat64() - 0.5)
	}
	return max(1, int64(mean))
}

func newCluster(w *world, no int, p GroupConfig) *cluster {
	c := &cluster{no: no, plan: p, of: map[uint64][]int{}, keys: map[uint64]*keyHeld{}}
	for i := range p.Members {
		d := &database{w: w, of: c, no: len(w.bases), name: fmt.Sprintf("%d.%d", no, i), zone: i % len(w.s.Zones), primary: i == 0, up: true, slow: 1}
		c.members, w.bases = append(c.members, d), append(w.bases, d)
		w.log.Cores, w.log.Names = append(w.log.Cores, p.Cores), append(w.log.Names, d.name)
	}
	return c
}
