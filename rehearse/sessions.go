// Package rehearse plays fleets of gateways in simulated time, many in one process: the decision modules themselves,
// with networks and databases modelled. The same day gives the same figures, but for the processor time.
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

// Policy is how reads of sessions are placed.
type Policy string

// Covered, Fenced and Own are the session module's sources; the others are baselines without it.
const (
	Covered Policy = "covered"
	Fenced  Policy = "fenced"
	Own     Policy = "own"     // each gateway knows its own writes alone
	Primary Policy = "primary" // every read goes to the primary
	Sticky  Policy = "sticky"  // for a window after a write that this gateway saw, reads go to the primary
)

// SessionDay is what is played: sessions that write at one gateway and read at that or another, over one group with
// replicas behind its primary.
type SessionDay struct {
	Seed     uint64
	Policy   Policy
	Gateways int
	Rate     float64       // txns a second at each gateway
	Sessions int           // at each gateway
	Writes   float64       // share of txns
	Roam     float64       // share of txns that go to another gateway than the session's own
	Loss     float64       // share of messages between gateways that are lost
	Lag      time.Duration // of the replicas' apply
	Way      time.Duration // mean time of a message between two machines, one way
	Hold     time.Duration // how long a replica waits for a position
	Window   time.Duration // of Sticky
	Length   time.Duration
	Kill     time.Duration // a gateway in turn is killed and started anew this often; 0 is never
	Budget   float64       // messages a txn; 0 is the module's own
}

// DefaultSessionDay is a small fleet in a calm hour.
func DefaultSessionDay() SessionDay {
	return SessionDay{Seed: 1, Policy: Covered, Gateways: 3, Rate: 200, Sessions: 200, Writes: 0.2, Roam: 0.5, Lag: 20 * time.Millisecond,
		Way: 200 * time.Microsecond, Hold: 20 * time.Millisecond, Window: time.Second, Length: 10 * time.Second}
}

// SessionResult is what came of a day.
type SessionResult struct {
	Day      SessionDay
	Txns     int
	Reads    int
	Stale    int     // reads that would have shown less than their session was answered
	Refused  int     // reads that got no floor in time
	Lost     int     // reads that were under way at a gateway that was killed
	Fenced   float64 // share of reads that waited for the primary's position
	Primary  float64 // share of reads on the primary
	Held     float64 // share of reads that waited on a replica
	P50, P99 time.Duration
	Messages float64 // between gateways, a txn
	Bytes    float64 // of them, a txn
	Fences   float64 // questions to the primary, a read
	Module   time.Duration
}

// bytes of a message and of an entry in it, as internal/peerwire words them.
const (
	messageBytes = 72
	entryBytes   = 23
)

// sessionWorld is a day under way.
type sessionWorld struct {
	day SessionDay
	rng *rand.Rand
	agenda.Scheduler
	gateways []*sessionGateway
	epoch    uint64
	last     int64              // the latest commit's position
	answered map[uint64]int64   // what each session was answered last
	saw      []map[uint64]int64 // Sticky: when a gateway saw a session's write, in simulated time
	reads    map[uint64]*reading
	ids      uint64
	result   SessionResult
	added    *hdrhistogram.Histogram // microseconds
	onMain   int
	held     int
	messages int
	bytes    int
	spent    time.Duration
}

type sessionGateway struct {
	no     int
	module *session.Sessions
	run    uint64
	wake   int64
	skew   int64
	before session.Stats // of former runs
}

type reading struct {
	gateway *sessionGateway
	run     uint64
	session uint64
	began   int64
	owed    int64
}

// PlaySessions plays a day.
func PlaySessions(d SessionDay) (SessionResult, error) {
	if d.Gateways < 1 || d.Rate <= 0 || d.Sessions < 1 || d.Length <= 0 {
		return SessionResult{}, fmt.Errorf("a day needs gateways, sessions, a rate and a length")
	}
	w := &sessionWorld{day: d, rng: rand.New(rand.NewPCG(d.Seed, 77)), Scheduler: agenda.Scheduler{Now: 1e9}, answered: map[uint64]int64{},
		reads: map[uint64]*reading{}, added: hdrhistogram.New(1, 60_000_000, 3)}
	for i := range d.Gateways {
		g := &sessionGateway{no: i, skew: w.rng.Int64N(4e9)}
		w.gateways = append(w.gateways, g)
		w.saw = append(w.saw, map[uint64]int64{})
	}
	for _, g := range w.gateways {
		if err := w.start(g); err != nil {
			return SessionResult{}, err
		}
		w.arrive(g)
	}
	if d.Kill > 0 {
		w.kill(0)
	}
	w.Run(w.Now + int64(d.Length))
	return w.sum(), nil
}

// way is how long a message takes.
func (w *sessionWorld) way() int64 { return int64(float64(w.day.Way) * (0.5 + w.rng.ExpFloat64()/2)) }

func (w *sessionWorld) uses() bool {
	return w.day.Policy == Covered || w.day.Policy == Fenced || w.day.Policy == Own
}

func (w *sessionWorld) start(g *sessionGateway) error {
	w.epoch++
	g.run, g.wake = w.epoch, 0
	if !w.uses() {
		return nil
	}
	t := session.DefaultConfig()
	t.Self, t.FleetSize, t.Source = g.no, w.day.Gateways, session.FloorSource(w.day.Policy)
	if w.day.Budget > 0 {
		t.MessagesPerTxn = w.day.Budget
	}
	m, err := session.New(t, w.day.Seed+uint64(g.no), w.epoch)
	if err != nil {
		return err
	}
	if g.module != nil {
		g.before = plus(g.before, g.module.Stats())
	}
	g.module = m
	w.pull(g)
	return nil
}

// kill ends a gateway and starts it from nothing; the next is another.
func (w *sessionWorld) kill(no int) {
	w.After(int64(w.day.Kill), func() {
		_ = w.start(w.gateways[no]) // it was started before
		w.saw[no] = map[uint64]int64{}
		w.kill((no + 1) % len(w.gateways))
	})
}

// arrive has a gateway's own sessions send their next txn.
func (w *sessionWorld) arrive(home *sessionGateway) {
	w.After(int64(w.rng.ExpFloat64()/w.day.Rate*1e9), func() {
		w.arrive(home)
		s := uint64(1 + home.no*w.day.Sessions + w.rng.IntN(w.day.Sessions))
		g := home
		if len(w.gateways) > 1 && w.rng.Float64() < w.day.Roam {
			g = w.gateways[(home.no+1+w.rng.IntN(len(w.gateways)-1))%len(w.gateways)]
		}
		w.result.Txns++
		if w.rng.Float64() < w.day.Writes {
			w.write(g, s)
		} else {
			w.read(g, s)
		}
	})
}

func (w *sessionWorld) write(g *sessionGateway, s uint64) {
	run := g.run
	w.After(w.way(), func() { // at the primary
		w.last = max(w.last+1, w.Now)
		p := w.last
		w.After(w.way(), func() {
			if g.run != run {
				return // never answered
			}
			if w.uses() {
				w.tell(g, func() { g.module.RecordCommit(0, s, session.Position(p)) })
			}
			w.saw[g.no][s] = w.Now
			w.answered[s] = max(w.answered[s], p)
		})
	})
}

func (w *sessionWorld) read(g *sessionGateway, s uint64) {
	w.result.Reads++
	w.ids++
	id := w.ids
	w.reads[id] = &reading{g, g.run, s, w.Now, w.answered[s]}
	switch w.day.Policy {
	case Primary:
		w.place(id, math.MaxInt64)
	case Sticky:
		floor := int64(0)
		if at, ok := w.saw[g.no][s]; ok && w.Now-at < int64(w.day.Window) {
			floor = math.MaxInt64
		}
		w.place(id, floor)
	default:
		w.tell(g, func() { g.module.AddRead(id, 0, s, 0, false, w.Now+g.skew+1e9) })
	}
}

// tell gives a gateway's module an input and carries out what it decides.
func (w *sessionWorld) tell(g *sessionGateway, input func()) {
	began := time.Now()
	g.module.SetTime(w.Now + g.skew)
	input()
	w.spent += time.Since(began)
	w.pull(g)
}

func (w *sessionWorld) pull(g *sessionGateway) {
	for {
		began := time.Now()
		g.module.SetTime(w.Now + g.skew)
		d, ok := g.module.Next()
		w.spent += time.Since(began)
		if !ok {
			return
		}
		w.carryOut(g, d)
	}
}

func (w *sessionWorld) carryOut(g *sessionGateway, d session.Decision) {
	run := g.run
	switch d.Kind {
	case session.Serve:
		w.place(d.ReadID, int64(d.Floor))
	case session.Refuse:
		w.result.Refused++
		delete(w.reads, d.ReadID)
	case session.Wake:
		w.After(max(1, d.Delay), func() {
			if g.run == run {
				w.pull(g)
			}
		})
	case session.Fence:
		w.After(w.way(), func() {
			p := session.Position(max(w.last, w.Now))
			w.After(w.way(), func() {
				if g.run == run {
					w.tell(g, func() { g.module.FenceCompleted(d.Group, d.RequestID, p) })
				}
			})
		})
	case session.RequestEntries, session.SendEntries:
		w.messages++
		w.bytes += messageBytes + entryBytes*len(d.Page.Entries)
		if w.rng.Float64() < w.day.Loss {
			return
		}
		to := w.gateways[d.Peer]
		w.After(w.way(), func() {
			w.tell(to, func() {
				if d.Kind == session.RequestEntries {
					to.module.HandleRequest(g.no, d.RequestID, d.Page.Epoch, d.Page.Last)
				} else {
					to.module.HandlePage(g.no, d.RequestID, d.Page)
				}
			})
		})
	}
}

// place serves a read from a replica that has reached its floor, or reaches it while it holds the read, else from the
// primary; what it then shows is held against what its session was owed.
func (w *sessionWorld) place(id uint64, floor int64) {
	r := w.reads[id]
	if r == nil {
		return
	}
	delete(w.reads, id)
	if r.run != r.gateway.run {
		w.result.Lost++
		return
	}
	replica := w.Now - int64(w.day.Lag) // where the replicas stand
	shown, wait := replica, int64(0)
	switch {
	case floor <= replica:
	case floor <= replica+int64(w.day.Hold):
		wait = floor - replica
		shown = floor
		w.held++
	default:
		shown = math.MaxInt64
		w.onMain++
	}
	if shown < r.owed {
		w.result.Stale++
	}
	_ = w.added.RecordValue(max(1, (w.Now-r.began+wait)/1000))
}

func plus(a, b session.Stats) session.Stats {
	a.EntryRequests, a.PagesSent, a.FenceRequests, a.Fenced, a.Covered = a.EntryRequests+b.EntryRequests, a.PagesSent+b.PagesSent, a.FenceRequests+b.FenceRequests, a.Fenced+b.Fenced, a.Covered+b.Covered
	return a
}

func (w *sessionWorld) sum() SessionResult {
	r := &w.result
	r.Day = w.day
	var all session.Stats
	for _, g := range w.gateways {
		all = plus(all, g.before)
		if g.module != nil {
			all = plus(all, g.module.Stats())
		}
	}
	reads, txns := float64(max(1, r.Reads)), float64(max(1, r.Txns))
	r.Fenced, r.Fences = float64(all.Fenced)/reads, float64(all.FenceRequests)/reads
	r.Primary, r.Held = float64(w.onMain)/reads, float64(w.held)/reads
	r.P50 = time.Duration(w.added.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(w.added.ValueAtQuantile(99)) * time.Microsecond
	r.Messages, r.Bytes = float64(w.messages)/txns, float64(w.bytes)/txns
	r.Module = w.spent / time.Duration(max(1, r.Txns))
	return *r
}
