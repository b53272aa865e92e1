// Package rehearse simulates fleets of gateways in virtual time in one process: it runs the real decision modules
// over modelled networks and databases. The same scenario gives the same results, except for processor time.
package rehearse

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magpieglade/internal/agenda"
	"magpieglade/session"
)

// Policy selects how reads of sessions are placed.
type Policy string

// Covered, Fenced and Own are the session module's sources; the others are baselines without it.
const (
	Covered Policy = "covered"
	Fenced  Policy = "fenced"
	Own     Policy = "own"     // each gateway knows only its own writes
	Primary Policy = "primary" // every read goes to the primary
	Sticky  Policy = "sticky"  // for a window after a write that this gateway saw, reads go to the primary
)

// SessionConfig configures a run: sessions that write at one gateway and read at that or another, over one group with
// replicas behind its primary.
type SessionConfig struct {
	Seed           uint64
	Policy         Policy
	Gateways       int
	Rate           float64       // txns a second at each gateway
	Sessions       int           // at each gateway
	Writes         float64       // fraction of txns
	Roam           float64       // fraction of txns sent to a gateway other than the session's own
	Loss           float64       // fraction of messages between gateways that are lost
	Lag            time.Duration // of the replicas' apply
	NetworkDelay   time.Duration `json:"Way"`    // mean one-way delay between two machines
	ReplicaWait    time.Duration `json:"Hold"`   // how long a replica waits for a position
	StickyWindow   time.Duration `json:"Window"` // of Sticky
	Duration       time.Duration `json:"Length"`
	KillInterval   time.Duration `json:"Kill"`   // interval at which the gateways in turn are killed and restarted; 0 is never
	MessagesPerTxn float64       `json:"Budget"` // messages per txn; 0 is the module's default
}

// DefaultSessionConfig is a small fleet without faults.
func DefaultSessionConfig() SessionConfig {
	return SessionConfig{Seed: 1, Policy: Covered, Gateways: 3, Rate: 200, Sessions: 200, Writes: 0.2, Roam: 0.5, Lag: 20 * time.Millisecond,
		NetworkDelay: 200 * time.Microsecond, ReplicaWait: 20 * time.Millisecond, StickyWindow: time.Second, Duration: 10 * time.Second}
}

// SessionResult is the result of a run.
type SessionResult struct {
	Config           SessionConfig `json:"Day"`
	Txns             int
	Reads            int
	Stale            int     // reads that missed a write confirmed to their session
	Refused          int     // reads that got no floor in time
	Lost             int     // reads in progress at a gateway that was killed
	FencedFraction   float64 `json:"Fenced"`  // fraction of reads that waited for the primary's position
	PrimaryFraction  float64 `json:"Primary"` // fraction of reads on the primary
	WaitFraction     float64 `json:"Held"`    // fraction of reads that waited on a replica
	P50, P99         time.Duration
	MessagesPerTxn   float64       `json:"Messages"` // between gateways, per txn
	BytesPerTxn      float64       `json:"Bytes"`    // of these messages, per txn
	FencesPerRead    float64       `json:"Fences"`   // position requests to the primary, per read
	ModuleTimePerTxn time.Duration `json:"Module"`
}

// Sizes in bytes of a message and of an entry in it, as internal/peerwire encodes them.
const (
	messageBytes = 72
	entryBytes   = 23
)

// sessionSimulation is a running simulation of sessions.
type sessionSimulation struct {
	config SessionConfig
	rng    *rand.Rand
	agenda.Scheduler
	gateways     []*sessionGateway
	epoch        uint64
	lastPosition int64              // the latest commit's position
	confirmed    map[uint64]int64   // position last confirmed to each session
	stickyWrites []map[uint64]int64 // Sticky: when a gateway saw a session's write, in simulated time
	reads        map[uint64]*pendingRead
	lastReadID   uint64
	result       SessionResult
	addedLatency *hdrhistogram.Histogram // microseconds
	primaryReads int
	waitedReads  int
	messages     int
	bytes        int
	moduleTime   time.Duration
}

type sessionGateway struct {
	index       int
	module      *session.Sessions
	incarnation uint64
	wake        int64
	skew        int64
	priorStats  session.Stats // of earlier processes
}

type pendingRead struct {
	gateway     *sessionGateway
	incarnation uint64
	session     uint64
	startedAt   int64
	minPosition int64
}

// SimulateSessions runs a simulation.
func SimulateSessions(d SessionConfig) (SessionResult, error) {
	if d.Gateways < 1 || d.Rate <= 0 || d.Sessions < 1 || d.Duration <= 0 {
		return SessionResult{}, fmt.Errorf("a day needs gateways, sessions, a rate and a length")
	}
	w := &sessionSimulation{config: d, rng: rand.New(rand.NewPCG(d.Seed, 77)), Scheduler: agenda.Scheduler{Now: 1e9}, confirmed: map[uint64]int64{},
		reads: map[uint64]*pendingRead{}, addedLatency: hdrhistogram.New(1, 60_000_000, 3)}
	for i := range d.Gateways {
		g := &sessionGateway{index: i, skew: w.rng.Int64N(4e9)}
		w.gateways = append(w.gateways, g)
		w.stickyWrites = append(w.stickyWrites, map[uint64]int64{})
	}
	for _, g := range w.gateways {
		if err := w.start(g); err != nil {
			return SessionResult{}, err
		}
		w.scheduleTxn(g)
	}
	if d.KillInterval > 0 {
		w.scheduleKill(0)
	}
	w.Run(w.Now + int64(d.Duration))
	return w.summarize(), nil
}

// networkDelay draws the time that a message takes.
func (w *sessionSimulation) networkDelay() int64 {
	return int64(float64(w.config.NetworkDelay) * (0.5 + w.rng.ExpFloat64()/2))
}

func (w *sessionSimulation) usesModule() bool {
	return w.config.Policy == Covered || w.config.Policy == Fenced || w.config.Policy == Own
}

func (w *sessionSimulation) start(g *sessionGateway) error {
	w.epoch++
	g.incarnation, g.wake = w.epoch, 0
	if !w.usesModule() {
		return nil
	}
	t := session.DefaultConfig()
	t.Self, t.FleetSize, t.Source = g.index, w.config.Gateways, session.FloorSource(w.config.Policy)
	if w.config.MessagesPerTxn > 0 {
		t.MessagesPerTxn = w.config.MessagesPerTxn
	}
	m, err := session.New(t, w.config.Seed+uint64(g.index), w.epoch)
	if err != nil {
		return err
	}
	if g.module != nil {
		g.priorStats = addStats(g.priorStats, g.module.Stats())
	}
	g.module = m
	w.executePending(g)
	return nil
}

// scheduleKill restarts a gateway without state after KillInterval, then schedules the next gateway's restart.
func (w *sessionSimulation) scheduleKill(no int) {
	w.After(int64(w.config.KillInterval), func() {
		_ = w.start(w.gateways[no]) // no error: it started before
		w.stickyWrites[no] = map[uint64]int64{}
		w.scheduleKill((no + 1) % len(w.gateways))
	})
}

// scheduleTxn schedules the next txn of a gateway's own sessions.
func (w *sessionSimulation) scheduleTxn(home *sessionGateway) {
	w.After(int64(w.rng.ExpFloat64()/w.config.Rate*1e9), func() {
		w.scheduleTxn(home)
		s := uint64(1 + home.index*w.config.Sessions + w.rng.IntN(w.config.Sessions))
		g := home
		if len(w.gateways) > 1 && w.rng.Float64() < w.config.Roam {
			g = w.gateways[(home.index+1+w.rng.IntN(len(w.gateways)-1))%len(w.gateways)]
		}
		w.result.Txns++
		if w.rng.Float64() < w.config.Writes {
			w.write(g, s)
		} else {
			w.read(g, s)
		}
	})
}

func (w *sessionSimulation) write(g *sessionGateway, s uint64) {
	run := g.incarnation
	w.After(w.networkDelay(), func() { // at the primary
		w.lastPosition = max(w.lastPosition+1, w.Now)
		p := w.lastPosition
		w.After(w.networkDelay(), func() {
			if g.incarnation != run {
				return // the commit is never confirmed
			}
			if w.usesModule() {
				w.step(g, func() { g.module.RecordCommit(0, s, session.Position(p)) })
			}
			w.stickyWrites[g.index][s] = w.Now
			w.confirmed[s] = max(w.confirmed[s], p)
		})
	})
}

func (w *sessionSimulation) read(g *sessionGateway, s uint64) {
	w.result.Reads++
	w.lastReadID++
	id := w.lastReadID
	w.reads[id] = &pendingRead{g, g.incarnation, s, w.Now, w.confirmed[s]}
	switch w.config.Policy {
	case Primary:
		w.serveRead(id, math.MaxInt64)
	case Sticky:
		floor := int64(0)
		if at, ok := w.stickyWrites[g.index][s]; ok && w.Now-at < int64(w.config.StickyWindow) {
			floor = math.MaxInt64
		}
		w.serveRead(id, floor)
	default:
		w.step(g, func() { g.module.AddRead(id, 0, s, 0, false, w.Now+g.skew+1e9) })
	}
}

// step passes an input to a gateway's module and executes its decisions.
func (w *sessionSimulation) step(g *sessionGateway, input func()) {
	began := time.Now()
	g.module.SetTime(w.Now + g.skew)
	input()
	w.moduleTime += time.Since(began)
	w.executePending(g)
}

func (w *sessionSimulation) executePending(g *sessionGateway) {
	for {
		began := time.Now()
		g.module.SetTime(w.Now + g.skew)
		d, ok := g.module.Next()
		w.moduleTime += time.Since(began)
		if !ok {
			return
		}
		w.execute(g, d)
	}
}

func (w *sessionSimulation) execute(g *sessionGateway, d session.Decision) {
	run := g.incarnation
	switch d.Kind {
	case session.Serve:
		w.serveRead(d.ReadID, int64(d.Floor))
	case session.Refuse:
		w.result.Refused++
		delete(w.reads, d.ReadID)
	case session.Wake:
		w.After(max(1, d.Delay), func() {
			if g.incarnation == run {
				w.executePending(g)
			}
		})
	case session.Fence:
		g.module.ReadRouted(d.ReadID)
		w.After(w.networkDelay(), func() {
			p := session.Position(max(w.lastPosition, w.Now))
			w.After(w.networkDelay(), func() {
				if g.incarnation == run {
					w.serveRead(d.ReadID, math.MaxInt64)
					w.step(g, func() { g.module.FenceCompleted(d.Group, d.RequestID, p) })
				}
			})
		})
	case session.RequestEntries, session.SendEntries:
		w.messages++
		w.bytes += messageBytes + entryBytes*len(d.Page.Entries)
		if w.rng.Float64() < w.config.Loss {
			return
		}
		to := w.gateways[d.Peer]
		w.After(w.networkDelay(), func() {
			w.step(to, func() {
				if d.Kind == session.RequestEntries {
					to.module.HandleRequest(g.index, d.RequestID, d.Page.Epoch, d.Page.Last)
				} else {
					to.module.HandlePage(g.index, d.RequestID, d.Page)
				}
			})
		})
	}
}

// serveRead serves a read from a replica that has reached its floor or reaches it within ReplicaWait, else from the
// primary, and counts it as stale if it sees less than was confirmed to its session.
func (w *sessionSimulation) serveRead(id uint64, floor int64) {
	r := w.reads[id]
	if r == nil {
		return
	}
	delete(w.reads, id)
	if r.incarnation != r.gateway.incarnation {
		w.result.Lost++
		return
	}
	replica := w.Now - int64(w.config.Lag) // the replicas' applied position
	visible, wait := replica, int64(0)
	switch {
	case floor <= replica:
	case floor <= replica+int64(w.config.ReplicaWait):
		wait = floor - replica
		visible = floor
		w.waitedReads++
	default:
		visible = math.MaxInt64
		w.primaryReads++
	}
	if visible < r.minPosition {
		w.result.Stale++
	}
	_ = w.addedLatency.RecordValue(max(1, (w.Now-r.startedAt+wait)/1000))
}

func addStats(a, b session.Stats) session.Stats {
	a.EntryRequests, a.PagesSent, a.FenceRequests, a.Fenced, a.Covered = a.EntryRequests+b.EntryRequests, a.PagesSent+b.PagesSent, a.FenceRequests+b.FenceRequests, a.Fenced+b.Fenced, a.Covered+b.Covered
	return a
}

func (w *sessionSimulation) summarize() SessionResult {
	r := &w.result
	r.Config = w.config
	var all session.Stats
	for _, g := range w.gateways {
		all = addStats(all, g.priorStats)
		if g.module != nil {
			all = addStats(all, g.module.Stats())
		}
	}
	reads, txns := float64(max(1, r.Reads)), float64(max(1, r.Txns))
	r.FencedFraction, r.FencesPerRead = float64(all.Fenced)/reads, float64(all.FenceRequests)/reads
	r.PrimaryFraction, r.WaitFraction = float64(w.primaryReads)/reads, float64(w.waitedReads)/reads
	r.P50 = time.Duration(w.addedLatency.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(w.addedLatency.ValueAtQuantile(99)) * time.Microsecond
	r.MessagesPerTxn, r.BytesPerTxn = float64(w.messages)/txns, float64(w.bytes)/txns
	r.ModuleTimePerTxn = w.moduleTime / time.Duration(max(1, r.Txns))
	return *r
}
