package rollout

import (
	"fmt"
	"math"
	"slices"
)

// Health is the value served in time as a fraction of the value requested, per time slot, for all txns and for each
// route. Before a change its mean and standard deviation are tracked. After the change the shortfall of each slot,
// in standard deviations, is summed as a CUSUM (Page 1954): drops that noise explains decay, a lasting one adds up,
// and a deep one is detected within a slot or two. Slots disturbed from outside are skipped, and so are those in
// which much more is requested than before while no less is served.
const (
	slotDuration                 = int64(500e6) // long compared to a txn, short compared to the time to undo a change
	cusumSlack                   = 0.75         // standard deviations by which a slot may fall short of the mean without counting
	cusumLimit                   = 10.0         // CUSUM that noise does not reach; the logarithm of the number of series is added
	maxBaselineSlots             = 120          // slots that the baseline remembers
	minBaselineSlots             = 10           // slots that make a baseline
	minSlotTxns                  = 20           // a slot with fewer txns is merged into the next one
	maxAutocorrelation           = 0.9          // upper bound of the estimate
	minStdDev                    = 0.005        // of a series that never varies
	maxDeviation                 = 6.0          // upper bound of a slot's shortfall in standard deviations: one slot alone proves nothing
	demandJumpFactor             = 1.5          // ratio to the baseline's demand from which a slot is a jump of traffic
	minServedRatio               = 0.8          // ratio to the value served in the baseline that counts as no less
	slotsSkippedAfterDisturbance = 2            // in addition to the slot of the disturbance
)

// series is the health of all txns or of one route.
type series struct {
	requested, served             float64 // in the current slot
	txns                          int
	mean, variance                float64 // of the baseline
	lastDeviation, autocovariance float64 // distance of the latest slot from the mean; covariance of successive slots
	demand                        float64 // value requested per slot
	baselineSlots                 float64
	cusum                         float64 // since the change
	watchedServed                 float64 // since the change, like watchedRequested
	watchedRequested              float64
}

// verdict is the result since the change.
type verdict struct {
	worse bool
	text  string
}

// healthMonitor measures health and detects that it worsens.
type healthMonitor struct {
	now         int64
	slotEnd     int64 // of the current slot
	all         series
	routes      map[int32]*series
	order       []int32
	watching    bool
	slotsToSkip int // slots that are still to be skipped
	judged      int64
	worst       verdict
	anyTxn      bool
}

func (m *healthMonitor) clock(now int64) {
	m.now = now
	if m.slotEnd == 0 {
		m.slotEnd = now + slotDuration
	}
	for n := 0; now >= m.slotEnd; n++ {
		if n > 4 { // no call for long: what happened in between is unknown
			m.slotEnd = now + slotDuration
			return
		}
		m.closeSlot()
		m.slotEnd += slotDuration
	}
}

func (m *healthMonitor) add(route int32, value, served float64) {
	m.anyTxn = true
	m.all.add(value, served)
	if route < 0 {
		return
	}
	s := m.routes[route]
	if s == nil {
		if m.routes == nil {
			m.routes = map[int32]*series{}
		}
		s = new(series)
		m.routes[route] = s
		at, _ := slices.BinarySearch(m.order, route)
		m.order = slices.Insert(m.order, at, route)
	}
	s.add(value, served)
}

func (s *series) add(value, served float64) {
	s.requested += value
	s.served += served
	s.txns++
}

func (m *healthMonitor) disturb() { m.slotsToSkip = 1 + slotsSkippedAfterDisturbance }

// closeSlot ends the current slot.
func (m *healthMonitor) closeSlot() {
	if m.slotsToSkip > 0 {
		m.slotsToSkip--
		m.all.resetSlot()
		for _, id := range m.order {
			m.routes[id].resetSlot()
		}
		return
	}
	// Clients whose requests fail at once retry more often: a jump counts as one from outside only while as much is
	// served as before.
	baseline := m.all.demand
	if m.watching && m.all.baselineSlots >= minBaselineSlots && m.all.requested > demandJumpFactor*baseline && m.all.served >= minServedRatio*m.all.mean*baseline {
		m.all.resetSlot()
		for _, id := range m.order {
			m.routes[id].resetSlot()
		}
		return
	}
	count := 1
	for _, id := range m.order {
		if m.routes[id].baselineSlots >= minBaselineSlots {
			count++
		}
	}
	limit := cusumLimit + math.Log(float64(count))
	m.closeSeries(&m.all, "all", limit)
	for _, id := range m.order {
		m.closeSeries(m.routes[id], fmt.Sprint("route ", id), limit)
	}
	if m.watching {
		m.judged += slotDuration
	}
}

func (s *series) resetSlot() { s.requested, s.served, s.txns = 0, 0, 0 }

func (m *healthMonitor) closeSeries(s *series, name string, limit float64) {
	if s.txns < minSlotTxns {
		return // merged into the next slot
	}
	health := 0.0
	if s.requested > 0 {
		health = s.served / s.requested
	}
	if !m.watching {
		s.learn(health)
	} else if s.baselineSlots >= minBaselineSlots {
		stdDev := s.stdDev()
		s.watchedServed += s.served
		s.watchedRequested += s.requested
		s.cusum = max(0, s.cusum+min(maxDeviation, (s.mean-health)/stdDev)-cusumSlack)
		if s.cusum > limit && !m.worst.worse {
			m.worst = verdict{true, fmt.Sprintf(": %s served %.3f of its worth, %.3f before, spread %.3f", name, s.watchedServed/max(1e-9, s.watchedRequested), s.mean, stdDev)}
		}
	}
	s.resetSlot()
}

// learn updates mean and variance, with equal weights at first and exponential decay later.
func (s *series) learn(health float64) {
	s.baselineSlots++
	weight := 1 / min(s.baselineSlots, maxBaselineSlots)
	deviation := health - s.mean
	s.mean += weight * deviation
	s.variance += weight * (deviation*(health-s.mean) - s.variance)
	s.autocovariance += weight * (deviation*s.lastDeviation - s.autocovariance)
	s.lastDeviation = health - s.mean
	s.demand += weight * (s.requested - s.demand)
}

// stdDev is the standard deviation of a slot's health. Noise that is correlated between slots adds up like a lasting
// drop: with autocorrelation r, sums deviate more by the root of (1+r)/(1-r). With few slots both estimates are
// uncertain, which widens the result.
func (s *series) stdDev() float64 {
	uncertainty := 1 / math.Sqrt(s.baselineSlots)
	correlation := 0.0
	if s.variance > 0 {
		correlation = min(maxAutocorrelation, max(0, s.autocovariance/s.variance+uncertainty))
	}
	return max(minStdDev, math.Sqrt(s.variance*(1+correlation)/(1-correlation))*(1+uncertainty))
}

func (m *healthMonitor) begin() {
	m.watching, m.judged, m.worst, m.anyTxn = true, 0, verdict{}, false
	m.all.begin()
	for _, id := range m.order {
		m.routes[id].begin()
	}
}

func (s *series) begin() {
	s.resetSlot() // the slot spans the change
	s.cusum, s.watchedServed, s.watchedRequested = 0, 0, 0
}

func (m *healthMonitor) end() {
	m.watching = false
	m.all.resetSlot()
	for _, id := range m.order {
		m.routes[id].resetSlot()
	}
}

func (m *healthMonitor) verdict() verdict { return m.worst }

func (m *healthMonitor) idle() bool { return !m.anyTxn }

func (m *healthMonitor) describeBaseline() string {
	if m.all.baselineSlots < minBaselineSlots {
		return "health not known yet"
	}
	return fmt.Sprintf("health %.3f, spread %.3f", m.all.mean, m.all.stdDev())
}

func (m *healthMonitor) describeResult() string {
	if m.all.watchedRequested == 0 {
		return "nothing judged, " + m.describeBaseline()
	}
	return fmt.Sprintf("health %.3f after, %.3f before", m.all.watchedServed/m.all.watchedRequested, m.all.mean)
}
