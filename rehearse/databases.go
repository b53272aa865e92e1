package rehearse

import (
	"fmt"
	"math"

	"magpieglade/rehearse/audit"
)

// replicaGroup is a group's commit log and its members.
type replicaGroup struct {
	index            int
	plan             GroupConfig
	members          []*database
	log              []commit              // by position
	lastPosition     int64                 // position of the latest commit
	commitsBySession map[uint64][]int      // by session: indexes of its commits in the log
	keys             map[uint64]*keyRecord // idempotency keys, to detect repeated writes
}

type commit struct {
	position int64 // its position
	session  uint64
	version  uint64
	lost     bool
}

type keyRecord struct {
	firstSeen int64
	version   uint64
}

// database is one member.
type database struct {
	w                 *simulation
	group             *replicaGroup
	index             int // in simulation.databases
	name              string
	zone              int
	primary           bool
	up                bool
	incarnation       int   // counts its processes
	startedAt         int64 // start of this process; 0 is long ago
	paused            bool
	replaced          bool     // another became primary while it was paused
	pausedQueries     []*query // received while it was paused
	slowdown          float64
	errorRatio        float64
	responseLossRatio float64
	extraLag          int64 // in addition to its group's lag
	drained           bool
	delisted          bool // removed from the member list
	running           int
	queue             []*query
	connections       int
	nextCommit        int // index in the log of the first commit that it has not applied
	applyFreeAt       int64
	applied           int64
	coldLoad          []loadSample // recent load of a cold member
	coldLoadSum       float64
}

type loadSample struct {
	at   int64
	cost int64
}

// query is a submission at a member.
type query struct {
	gateway     *simGateway
	incarnation int
	t           *txn
	id          uint64
	key         uint64
	session     uint64
	version     uint64
	txnType     int // txn type
	floor       int64
	receivedAt  int64
	cost        int64
	baseCost    int64 // cost before any slowdown
	respond     func(reply)
}

// reply is a member's response.
type reply struct {
	result   int // a decide.Result
	primary  bool
	position int64
	version  uint64
}

// appliedPosition is the position up to which a member has applied all commits: they arrive after the lag and are
// applied one after another.
func (d *database) appliedPosition() int64 {
	now := d.w.Now
	if d.primary {
		d.applied = max(now, d.group.lastPosition)
		d.nextCommit, d.applyFreeAt = len(d.group.log), now
		return d.applied
	}
	ship := d.group.plan.ReplicationLag + d.extraLag
	for d.nextCommit < len(d.group.log) {
		c := &d.group.log[d.nextCommit]
		if c.position+ship > now {
			break
		}
		end := max(d.applyFreeAt, c.position+ship) + d.group.plan.ApplyTime
		if end > now {
			return d.applied
		}
		d.applyFreeAt = end
		d.applied = max(d.applied, c.position)
		d.nextCommit++
	}
	d.applied = max(d.applied, now-ship)
	if d.nextCommit < len(d.group.log) { // not beyond a commit that has not arrived
		d.applied = min(d.applied, d.group.log[d.nextCommit].position-1)
	}
	return d.applied
}

// visibleVersion is the latest version of a session at a position.
func (c *replicaGroup) visibleVersion(session uint64, position int64) uint64 {
	all := c.commitsBySession[session]
	for i := len(all) - 1; i >= 0; i-- {
		if x := &c.log[all[i]]; x.position <= position && !x.lost {
			return x.version
		}
	}
	return 0
}

// speedFraction is the fraction of its full speed that a member has: below 1 during warm-up.
func (d *database) speedFraction() float64 {
	p := &d.group.plan
	age := d.w.Now - d.startedAt
	if d.startedAt == 0 || age >= p.WarmUp {
		return 1
	}
	return p.ColdFraction + (1-p.ColdFraction)*float64(age)/float64(p.WarmUp)
}

// receive accepts a query.
func (d *database) receive(q *query) {
	q.receivedAt = d.w.Now
	if d.paused {
		d.pausedQueries = append(d.pausedQueries, q)
		return
	}
	d.admit(q)
}

func (d *database) recordSubmission(q *query, kind audit.SubmissionKind, version uint64) {
	if q.id == 0 {
		return
	}
	d.w.log.Submissions = append(d.w.log.Submissions, audit.Submission{ID: q.id, Key: q.key, Session: q.session, Version: version, Member: d.index,
		Gateway: q.gateway.index, Kind: kind, At: d.w.Now, ReceivedAt: q.receivedAt, Cost: q.baseCost})
}

func (d *database) admit(q *query) {
	t := &d.w.scenario.Types[q.txnType]
	write := t.Consistency == "mutate"
	if write && !d.primary {
		d.recordSubmission(q, audit.Rejected, 0)
		d.sendResponse(q, reply{result: notEligible, position: d.appliedPosition()})
		return
	}
	if q.floor > 0 && d.appliedPosition() < q.floor {
		if waited := d.w.Now - q.receivedAt; waited < d.group.plan.ReplicaWait {
			run := d.incarnation
			d.w.After(min(d.group.plan.ReplicaWait-waited, int64(2e6)), func() {
				if d.incarnation == run && !d.paused {
					d.admit(q)
				} else if d.incarnation == run {
					d.pausedQueries = append(d.pausedQueries, q)
				}
			})
			return
		}
		d.recordSubmission(q, audit.Rejected, 0)
		d.sendResponse(q, reply{result: notEligible, position: d.appliedPosition(), primary: d.primary})
		return
	}
	if !d.withinColdCapacity(q) {
		return
	}
	if d.running >= d.group.plan.Cores {
		d.queue = append(d.queue, q)
		return
	}
	d.serve(q)
}

// withinColdCapacity crashes a cold member whose load of the last second exceeds OverloadFactor times its capacity at its age,
// and then returns false.
func (d *database) withinColdCapacity(q *query) bool {
	if d.speedFraction() == 1 {
		d.coldLoad, d.coldLoadSum = nil, 0
		return true
	}
	d.coldLoad = append(d.coldLoad, loadSample{d.w.Now, q.baseCost})
	d.coldLoadSum += float64(q.baseCost)
	for d.coldLoad[0].at <= d.w.Now-1e9 {
		d.coldLoadSum -= float64(d.coldLoad[0].cost)
		d.coldLoad = d.coldLoad[1:]
	}
	if d.coldLoadSum <= d.group.plan.OverloadFactor*d.speedFraction()*float64(d.group.plan.Cores)*1e9 {
		return true
	}
	d.w.logf("%s falls over, cold", d.name)
	d.recordSubmission(q, audit.Read, 0)
	d.crash(d.group.plan.RestartTime)
	return false
}

func (d *database) serve(q *query) {
	d.running++
	run := d.incarnation
	took := float64(q.cost) * d.slowdown / d.speedFraction()
	if n := d.running + len(d.queue); n > d.group.plan.ThrashingThreshold {
		took *= float64(n) / float64(d.group.plan.ThrashingThreshold)
	}
	seen := d.appliedPosition() // a read sees the data as of its start
	d.w.After(int64(took), func() {
		if d.incarnation != run {
			return
		}
		d.running--
		d.complete(q, seen)
		if len(d.queue) > 0 && d.running < d.group.plan.Cores && d.incarnation == run {
			next := d.queue[0]
			d.queue = d.queue[1:]
			d.serve(next)
		}
	})
}

func (d *database) complete(q *query, seen int64) {
	r := reply{result: committed, primary: d.primary}
	if d.errorRatio > 0 && d.w.rng.Float64() < d.errorRatio {
		r.result = failed
		d.sendResponse(q, r)
		return
	}
	if d.w.scenario.Types[q.txnType].Consistency == "mutate" {
		if !d.primary { // the primary role moved meanwhile
			d.recordSubmission(q, audit.Rejected, 0)
			d.sendResponse(q, reply{result: notEligible, position: d.appliedPosition()})
			return
		}
		r.position, r.version = d.group.write(d, q)
	} else {
		r.version = d.group.visibleVersion(q.session, seen)
		r.position = seen
		d.recordSubmission(q, audit.Read, r.version)
	}
	if d.responseLossRatio > 0 && d.w.rng.Float64() < d.responseLossRatio {
		r.result = broken
	}
	d.sendResponse(q, r)
}

// write commits, or ignores a repeated write whose key is known.
func (c *replicaGroup) write(d *database, q *query) (position int64, version uint64) {
	if k := c.keys[q.key]; q.key != 0 && k != nil && d.w.Now-k.firstSeen < d.w.scenario.Types[q.txnType].DedupWindow {
		d.recordSubmission(q, audit.Repeat, k.version)
		return c.lastPosition, k.version
	}
	c.lastPosition = max(c.lastPosition+1, d.w.Now)
	c.commitsBySession[q.session] = append(c.commitsBySession[q.session], len(c.log))
	c.log = append(c.log, commit{position: c.lastPosition, session: q.session, version: q.version})
	if q.key != 0 {
		c.keys[q.key] = &keyRecord{d.w.Now, q.version}
	}
	d.recordSubmission(q, audit.Write, q.version)
	return c.lastPosition, q.version
}

// sendResponse sends a reply back to the gateway. The query's respond function ignores it if the gateway's process has ended.
func (d *database) sendResponse(q *query, r reply) {
	run := d.incarnation
	d.w.send(d.zone, q.gateway.zone, func() {
		if r.result != broken && d.incarnation != run { // the connection broke when the process ended
			r.result = broken
		}
		q.respond(r)
	})
}

// crash ends the member's process; a new one starts cold after the given duration.
func (d *database) crash(downtime int64) {
	if !d.up {
		return
	}
	d.up, d.paused, d.replaced = false, false, false
	d.incarnation++
	d.running, d.connections = 0, 0
	pending := append(d.queue, d.pausedQueries...)
	d.queue, d.pausedQueries, d.coldLoad, d.coldLoadSum = nil, nil, nil, 0
	d.w.recordEvent(audit.Event{Kind: audit.MemberDied, Member: d.index})
	for _, q := range pending {
		d.sendResponse(q, reply{result: broken})
	}
	for _, g := range d.w.gateways {
		g.memberDied(d)
	}
	c := d.group
	if d.primary {
		d.appliedPosition()
		d.primary = false
		d.w.After(c.plan.DetectionTime, c.elect)
	}
	run := d.incarnation
	d.w.After(2e9, func() { // detection delay of the list service
		if !d.up && d.incarnation == run {
			d.delisted = true
			d.w.publishList()
		}
	})
	d.w.After(downtime, func() {
		d.up, d.delisted, d.startedAt = true, false, d.w.Now
		d.w.recordEvent(audit.Event{Kind: audit.MemberStarted, Member: d.index})
		d.w.publishList()
	})
}

// elect promotes the replica that has applied most, if there is no primary.
func (c *replicaGroup) elect() {
	var best *database
	for _, d := range c.members {
		if d.primary {
			return
		}
		if d.up && !d.paused && (best == nil || d.appliedPosition() > best.appliedPosition()) {
			best = d
		}
	}
	if best == nil {
		c.members[0].w.After(c.plan.DetectionTime/2+1, c.elect)
		return
	}
	c.promote(best)
}

func (c *replicaGroup) promote(d *database) {
	at := d.appliedPosition()
	if !c.plan.SyncReplication {
		for i := range c.log {
			if x := &c.log[i]; x.position > at && !x.lost {
				x.lost = true
			}
		}
	}
	d.primary, d.extraLag = true, 0
	d.w.logf("%s is the primary", d.name)
}

// handOver moves the primary role to another member.
func (c *replicaGroup) handOver(to *database) {
	for _, d := range c.members {
		if d.primary {
			d.appliedPosition()
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

// drawServiceTime draws the service time of a query.
func (w *simulation) drawServiceTime(t *TypeConfig) int64 {
	mean := float64(t.Cost)
	switch t.Distribution {
	case Exponential:
		mean *= w.rng.ExpFloat64()
	case Lognormal: // sigma 1; the -0.5 keeps the mean
		mean *= math.Exp(w.rng.NormFloat64() - 0.5)
	}
	return max(1, int64(mean))
}

func newReplicaGroup(w *simulation, no int, p GroupConfig) *replicaGroup {
	c := &replicaGroup{index: no, plan: p, commitsBySession: map[uint64][]int{}, keys: map[uint64]*keyRecord{}}
	for i := range p.Members {
		d := &database{w: w, group: c, index: len(w.databases), name: fmt.Sprintf("%d.%d", no, i), zone: i % len(w.scenario.Zones), primary: i == 0, up: true, slowdown: 1}
		c.members, w.databases = append(c.members, d), append(w.databases, d)
		w.log.Cores, w.log.Names = append(w.log.Cores, p.Cores), append(w.log.Names, d.name)
	}
	return c
}
