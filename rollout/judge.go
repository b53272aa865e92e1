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
	slotDuration                 = int64(500e6) // long against a txn, short against the time to undo
	cusumSlack                   = 0.75         // spreads that a slot may fall short of the mean without counting
	cusumLimit                   = 10.0         // sum of what counts that is no noise; more by the logarithm of how many series there are
	maxBaselineSlots             = 120          // slots that the time before remembers
	minBaselineSlots             = 10           // slots that make a time before
	minSlotTxns                  = 20           // in a slot: with fewer it goes on into the next
	maxAutocorrelation           = 0.9          // of a slot that the next may be taken to keep
	minStdDev                    = 0.005        // of a series that never varies
	maxDeviation                 = 6.0          // a slot counts for no more than this many spreads: one alone proves nothing
	demandJumpFactor             = 1.5          // times as much asked for as before is a jump
	minServedRatio               = 0.8          // part of what was served before that is as much
	slotsSkippedAfterDisturbance = 2            // slots after a disturbance that are left out with it
)

// series is the health of all txns, or of a route.
type series struct {
	requested, served             float64 // of the slot that is under way
	txns                          int
	mean, variance                float64 // of the time before, and the square of the spread
	lastDeviation, autocovariance float64 // the latest slot's distance from the mean; how slots go with the one before
	demand                        float64 // worth that is asked for in a slot
	baselineSlots                 float64
	cusum                         float64 // CUSUM of the time after
	watchedServed                 float64 // what was got and asked for after
	watchedRequested              float64
}

// verdict is what the time after shows.
type verdict struct {
	worse bool
	text  string
}

type healthMonitor struct {
	now         int64
	slotEnd     int64 // of the slot under way
	all         series
	routes      map[int32]*series
	order       []int32
	watching    bool
	slotsToSkip int // slots that are left out yet
	judged      int64
	worst       verdict
	anyTxn      bool
}

func (j *healthMonitor) clock(now int64) {
	j.now = now
	if j.slotEnd == 0 {
		j.slotEnd = now + slotDuration
	}
	for n := 0; now >= j.slotEnd; n++ {
		if n > 4 { // nobody called for long: what lies between is not known
			j.slotEnd = now + slotDuration
			return
		}
		j.closeSlot()
		j.slotEnd += slotDuration
	}
}

func (j *healthMonitor) add(route int32, worth, served float64) {
	j.anyTxn = true
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
	s.requested += worth
	s.served += served
	s.txns++
}

func (j *healthMonitor) disturb() { j.slotsToSkip = 1 + slotsSkippedAfterDisturbance }

// close ends a slot.
func (j *healthMonitor) closeSlot() {
	if j.slotsToSkip > 0 {
		j.slotsToSkip--
		j.all.resetSlot()
		for _, id := range j.order {
			j.routes[id].resetSlot()
		}
		return
	}
	// Clients that fail at once ask more often: a jump counts as one from outside only while as much is served as before.
	usual := j.all.demand
	if j.watching && j.all.baselineSlots >= minBaselineSlots && j.all.requested > demandJumpFactor*usual && j.all.served >= minServedRatio*j.all.mean*usual {
		j.all.resetSlot()
		for _, id := range j.order {
			j.routes[id].resetSlot()
		}
		return
	}
	series := 1
	for _, id := range j.order {
		if j.routes[id].baselineSlots >= minBaselineSlots {
			series++
		}
	}
	bound := cusumLimit + math.Log(float64(series))
	j.closeSeries(&j.all, "all", bound)
	for _, id := range j.order {
		j.closeSeries(j.routes[id], fmt.Sprint("route ", id), bound)
	}
	if j.watching {
		j.judged += slotDuration
	}
}

func (s *series) resetSlot() { s.requested, s.served, s.txns = 0, 0, 0 }

func (j *healthMonitor) closeSeries(s *series, name string, bound float64) {
	if s.txns < minSlotTxns {
		return // it goes on into the next slot
	}
	share := 0.0
	if s.requested > 0 {
		share = s.served / s.requested
	}
	if !j.watching {
		s.learn(share)
	} else if s.baselineSlots >= minBaselineSlots {
		sd := s.stdDev()
		s.watchedServed += s.served
		s.watchedRequested += s.requested
		s.cusum = max(0, s.cusum+min(maxDeviation, (s.mean-share)/sd)-cusumSlack)
		if s.cusum > bound && !j.worst.worse {
			j.worst = verdict{true, fmt.Sprintf(": %s served %.3f of its worth, %.3f before, spread %.3f", name, s.watchedServed/max(1e-9, s.watchedRequested), s.mean, sd)}
		}
	}
	s.resetSlot()
}

// learn follows mean and spread, with a weight that is even at first and fades later.
func (s *series) learn(share float64) {
	s.baselineSlots++
	weight := 1 / min(s.baselineSlots, maxBaselineSlots)
	d := share - s.mean
	s.mean += weight * d
	s.variance += weight * (d*(share-s.mean) - s.variance)
	s.autocovariance += weight * (d*s.lastDeviation - s.autocovariance)
	s.lastDeviation = share - s.mean
	s.demand += weight * (s.requested - s.demand)
}

// spread is that of a slot's share. Noise that lasts from slot to slot adds up like a lasting drop: for a series of
// which each slot keeps a part of the one before, sums spread by the root of (1+part)/(1-part) more. Neither is known
// well from few slots.
func (s *series) stdDev() float64 {
	few := 1 / math.Sqrt(s.baselineSlots)
	part := 0.0
	if s.variance > 0 {
		part = min(maxAutocorrelation, max(0, s.autocovariance/s.variance+few))
	}
	return max(minStdDev, math.Sqrt(s.variance*(1+part)/(1-part))*(1+few))
}

func (j *healthMonitor) begin() {
	j.watching, j.judged, j.worst, j.anyTxn = true, 0, verdict{}, false
	j.all.begin()
	for _, id := range j.order {
		j.routes[id].begin()
	}
}

func (s *series) begin() {
	s.resetSlot() // the slot is half before, half after
	s.cusum, s.watchedServed, s.watchedRequested = 0, 0, 0
}

func (j *healthMonitor) end() {
	j.watching = false
	j.all.resetSlot()
	for _, id := range j.order {
		j.routes[id].resetSlot()
	}
}

func (j *healthMonitor) verdict() verdict { return j.worst }

func (j *healthMonitor) idle() bool { return !j.anyTxn }

func (j *healthMonitor) describeBaseline() string {
	if j.all.baselineSlots < minBaselineSlots {
		return "health not known yet"
	}
	return fmt.Sprintf("health %.3f, spread %.3f", j.all.mean, j.all.stdDev())
}

func (j *healthMonitor) describeResult() string {
	if j.all.watchedRequested == 0 {
		return "nothing judged, " + j.describeBaseline()
	}
	return fmt.Sprintf("health %.3f after, %.3f before", j.all.watchedServed/j.all.watchedRequested, j.all.mean)
}
