package audit

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Service measures the service of clients: the value served, late responses counting at LateValue, divided by the value
// requested. All attempts at a txn count once, at the time the first was due.
type Service struct {
	Overall   float64
	Worst10   float64 // minimum over all windows of ten seconds, at steps of half a second
	Types     []TypeService
	Seconds   []float64 // per second; NaN if nothing was requested
	Requested int       // txns, all attempts counted once
	Attempts  int
}

// TypeService is the service of one txn type.
type TypeService struct {
	Name                                    string
	Service                                 float64
	Requested, Served, Declined, RolledBack int
	Unanswered                              int
	P50, P90, P99, Max                      int64 // from due to served
	LateFraction                            float64
	histogram                               *hdrhistogram.Histogram
	servedValue, requestedValue             float64
	late                                    int
}

const (
	slotDuration = int64(5e8)
	slotsPer10s  = 20
)

// Measure computes the service. Latencies count from when an attempt was due, not from when it was sent.
func Measure(config Config, l *Log) Service {
	var s Service
	for i := range config.Types {
		s.Types = append(s.Types, TypeService{Name: config.Types[i].Name, histogram: hdrhistogram.New(1, 3_600_000_000, 3)})
	}
	type finalResponse struct {
		answer Response
		ok     bool
	}
	firstResponses := map[uint64]Response{}
	for _, x := range l.Responses {
		if _, ok := firstResponses[x.ID]; !ok {
			firstResponses[x.ID] = x
		}
	}
	finalResponses := map[uint64]finalResponse{} // by the first attempt's ID: the served response, else that of the last attempt
	for i := range l.Attempts {
		x := &l.Attempts[i]
		if y, ok := firstResponses[x.ID]; ok && !(finalResponses[x.FirstID].ok && finalResponses[x.FirstID].answer.Outcome == Served) {
			finalResponses[x.FirstID] = finalResponse{y, true}
		}
	}
	var requested, served []float64
	s.Attempts = len(l.Attempts)
	for i := range l.Attempts {
		x := &l.Attempts[i]
		if x.ID != x.FirstID {
			continue
		}
		k, ts := &config.Types[x.Type], &s.Types[x.Type]
		s.Requested++
		ts.Requested++
		n := int(max(0, x.DueAt) / slotDuration)
		for len(requested) <= n {
			requested, served = append(requested, 0), append(served, 0)
		}
		value := 0.0
		switch end := finalResponses[x.FirstID]; {
		case !end.ok || end.answer.Outcome == Disconnected:
			ts.Unanswered++
		case end.answer.Outcome == Declined:
			ts.Declined++
		case end.answer.Outcome == RolledBack:
			ts.RolledBack++
		default:
			latency := end.answer.At - x.DueAt
			_ = ts.histogram.RecordValue(max(1, latency/1000))
			ts.Served++
			value = k.Value
			if latency > k.TargetLatency {
				ts.late++
				value *= k.LateValue
			}
		}
		requested[n] += k.Value
		served[n] += value
		ts.requestedValue += k.Value
		ts.servedValue += value
	}
	totalRequested, totalServed := 0.0, 0.0
	s.Worst10 = 1
	for i := range requested {
		totalRequested, totalServed = totalRequested+requested[i], totalServed+served[i]
		if i+1 >= slotsPer10s {
			w, g := sum(requested[i+1-slotsPer10s:i+1]), sum(served[i+1-slotsPer10s:i+1])
			if w > 0 {
				s.Worst10 = min(s.Worst10, g/w)
			}
		}
		if i%2 == 1 || i == len(requested)-1 {
			w, g := sum(requested[i&^1:i+1]), sum(served[i&^1:i+1])
			s.Seconds = append(s.Seconds, g/w) // NaN if nothing was requested
		}
	}
	s.Overall = ratio(totalServed, totalRequested)
	if len(requested) < slotsPer10s {
		s.Worst10 = s.Overall
	}
	for i := range s.Types {
		ts := &s.Types[i]
		ts.Service = ratio(ts.servedValue, ts.requestedValue)
		ts.P50, ts.P90 = ts.histogram.ValueAtQuantile(50)*1000, ts.histogram.ValueAtQuantile(90)*1000
		ts.P99, ts.Max = ts.histogram.ValueAtQuantile(99)*1000, ts.histogram.Max()*1000
		if ts.Served > 0 {
			ts.LateFraction = float64(ts.late) / float64(ts.Served)
		}
	}
	return s
}

// WorstType returns the requested txn type with the lowest service.
func (s *Service) WorstType() (name string, service float64) {
	service = 1
	for i := range s.Types {
		if t := &s.Types[i]; t.Requested > 0 && (name == "" || t.Service < service) {
			name, service = t.Name, t.Service
		}
	}
	return name, service
}

// Quantiles returns a type's latencies at the given quantiles, in nanoseconds.
func (t *TypeService) Quantiles(at []float64) (all []int64) {
	for _, q := range at {
		all = append(all, t.histogram.ValueAtQuantile(q)*1000)
	}
	return all
}

// Sorted returns the seconds from the worst to the best, without those in which nothing was requested.
func (s *Service) Sorted() []float64 {
	all := slices.DeleteFunc(slices.Clone(s.Seconds), math.IsNaN)
	slices.Sort(all)
	return all
}

func sum(all []float64) (x float64) {
	for _, v := range all {
		x += v
	}
	return x
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}
