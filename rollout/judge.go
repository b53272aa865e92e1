package rollout

import (
	"fmt"
	"math"
	"slices"
)

// Health is the value that was served in time as a share of what was asked for, over slots of time, for all txns and for
// each route. Before a change its mean and spread are followed; after it each slot's shortfall, in spreads, is
// added up as a CUSUM does (Page 1954): drops that noise explains drain away, a lasting one adds up, and a deep
// one is told within a slot or two. Slots that were disturbed from outside are left out, and so are those in which
// much more was asked for than before, while no less is served.
const (
	slot      = int64(500e6) // long against a txn, short against the time to undo
	slack     = 0.75         // spreads that a slot may fall short of the mean without counting
	limit     = 10.0         // sum of what counts that is no noise; more by the logarithm of how many series there are
	fade      = 120          // slots that the time before remembers
	fewSlots  = 10           // slots that make a time before
	fewTxns   = 20           // in a slot: with fewer it goes on into the next
	mostPart  = 0.9          // of a slot that the next may be taken to keep
	leastSd   = 0.005        // of a series that never varies
	mostSlack = 6.0          // a slot counts for no more than this many spreads: one alone proves nothing
	jump      = 1.5          // times as much asked for as before is a jump
	holds     = 0.8          // part of what was served before that is as much
	aftermath = 2            // slots after a disturbance that are left out with it
)

// series is the health of all txns, or of a route.
type series struct {
	asked, got float64 // of the slot that is under way
	n          int
	mean, dev  float64 // of the time before, and the square of the spread
	last, with float64 // the latest slot's distance from the mean; how slots go with the one before
	demand     float64 // worth that is asked for in a slot
	slots      float64
	sum        float64 // CUSUM of the time after
	after      float64 // what was got and asked for after
	afterAsked float64
}

// verdict is what the time after shows.
type verdict struct {
	worse bool
	text  string
}

type judge struct {
	now       int64
	ends      int64 // of the slot under way
	all       series
	routes    map[int32]*series
	order     []int32
	watching  bool
	disturbed int // slots that are left out yet
	judged    int64
	worst     verdict
	came      bool
}

func (j *judge) clock(now int64) {
	j.now = now
	if j.ends == 0 {
		j.ends = now + slot
	}
	for n := 0; now >= j.ends; n++ {
		if n > 4 { // nobody called for long: what lies between is not known
			j.ends = now + slot
			return
		}
		j.close()
		j.ends += slot
	}
}

func (j *judge) add(route int32, worth, served float64) {
	j.came = true
	j.all.add(worth, served)
	if route < 0 {
		return
	}
	s := j.routes[route]
	if s == nil {
		if j.routes == nil {
			j.routes = map[int32]*series{}
		}
		s = new(series)
		j.routes[route] = s
		at, _ := slices.BinarySearch(j.order, route)
		j.order = slices.Insert(j.order, at, route)
	}
	s.add(worth, served)
}

func (s *series) add(worth, served float64) {
	s.asked += worth
	s.got += served
	s.n++
}

func (j *judge) disturb() { j.disturbed = 1 + aftermath }

// close ends a slot.
func (j *judge) close() {
	if j.disturbed > 0 {
		j.disturbed--
		j.all.drop()
		for _, id := range j.order {
			j.routes[id].drop()
		}
		return
	}
	// Clients that fail at once ask more often: a jump counts as one from outside only while as much is served as before.
	usual := j.all.demand
	if j.watching && j.all.slots >= fewSlots && j.all.asked > jump*usual && j.all.got >= holds*j.all.mean*usual {
		j.all.drop()
		for _, id := range j.order {
			j.routes[id].drop()
		}
		return
	}
	series := 1
	for _, id := range j.order {
		if j.routes[id].slots >= fewSlots {
			series++
		}
	}
	bound := limit + math.Log(float64(series))
	j.closeOne(&j.all, "all", bound)
	for _, id := range j.order {
		j.closeOne(j.routes[id], fmt.Sprint("route ", id), bound)
	}
	if j.watching {
		j.judged += slot
	}
}

func (s *series) drop() { s.asked, s.got, s.n = 0, 0, 0 }

func (j *judge) closeOne(s *series, name string, bound float64) {
	if s.n < fewTxns {
		return // it goes on into the next slot
	}
	share := 0.0
	if s.asked > 0 {
		share = s.got / s.asked
	}
	if !j.watching {
		s.learn(share)
	} else if s.slots >= fewSlots {
		sd := s.spread()
		s.after += s.got
		s.afterAsked += s.asked
		s.sum = max(0, s.sum+min(mostSlack, (s.mean-share)/sd)-slack)
		if s.sum > bound && !j.worst.worse {
			j.worst = verdict{true, fmt.Sprintf(": %s served %.3f of its worth, %.3f before, spread %.3f", name, s.after/max(1e-9, s.afterAsked), s.mean, sd)}
		}
	}
	s.drop()
}

// learn follows mean and spread, with a weight that is even at first and fades later.
func (s *series) learn(share float64) {
	s.slots++
	weight := 1 / min(s.slots, fade)
	d := share - s.mean
	s.mean += weight * d
	s.dev += weight * (d*(share-s.mean) - s.dev)
	s.with += weight * (d*s.last - s.with)
	s.last = share - s.mean
	s.demand += weight * (s.asked - s.demand)
}

// spread is that of a slot's share. Noise that lasts from slot to slot adds up like a lasting drop: for a series of
// which each slot keeps a part of the one before, sums spread by the root of (1+part)/(1-part) more. Neither is known
// well from few slots.
func (s *series) spread() float64 {
	few := 1 / math.Sqrt(s.slots)
	part := 0.0
	if s.dev > 0 {
		part = min(mostPart, max(0, s.with/s.dev+few))
	}
	return max(leastSd, math.Sqrt(s.dev*(1+part)/(1-part))*(1+few))
}

func (j *judge) begin() {
	j.watching, j.judged, j.worst, j.came = true, 0, verdict{}, false
	j.all.begin()
	for _, id := range j.order {
		j.routes[id].begin()
	}
}

func (s *series) begin() {
	s.drop() // the slot is half before, half after
	s.sum, s.after, s.afterAsked = 0, 0, 0
}

func (j *judge) end() {
	j.watching = false
	j.all.drop()
	for _, id := range j.order {
		j.routes[id].drop()
	}
}

func (j *judge) verdict() verdict { return j.worst }

func (j *judge) idle() bool { return !j.came }

func (j *judge) before() string {
	if j.all.slots < fewSlots {
		return "health not known yet"
	}
	return fmt.Sprintf("health %.3f, spread %.3f", j.all.mean, j.all.spread())
}

func (j *judge) after() string {
	if j.all.afterAsked == 0 {
		return "nothing judged, " + j.before()
	}
	return fmt.Sprintf("health %.3f after, %.3f before", j.all.after/j.all.afterAsked, j.all.mean)
}
