package routes

import "math"

// Retries are the budgets of repeated submissions, by route: a share of the first ones of late, so that what is
// repeated can never be most of what members get when much fails. A few are always allowed: with little traffic a
// share of it would be none.
type Retries struct {
	shares []float64 // below 0 is no bound
	first  []fading
	more   []fading
}

// fading is a sum whose parts fade with time.
type fading struct {
	sum float64
	at  int64
}

const (
	fadeRetries  = 10e9 // nanoseconds; long against one failure, short against an outage. Ours
	leastRetries = 3.0  // allowed of late whatever the share. Ours
)

func (f *fading) read(now int64) float64 {
	if now > f.at {
		f.sum *= math.Exp(-float64(now-f.at) / fadeRetries)
		f.at = now
	}
	return f.sum
}

func (f *fading) add(now int64, x float64) { f.sum = f.read(now) + x }

// NewRetries makes the budgets of a table.
func NewRetries(t *Table) *Retries {
	r := &Retries{first: make([]fading, len(t.Routes)), more: make([]fading, len(t.Routes))}
	for i := range t.Routes {
		r.shares = append(r.shares, t.Routes[i].Retries)
	}
	return r
}

// First counts a first submission.
func (r *Retries) First(route int32, now int64) {
	if route >= 0 {
		r.first[route].add(now, 1)
	}
}

// May tells whether one more may be repeated now, and counts it if so.
func (r *Retries) May(route int32, now int64) bool {
	if route < 0 || r.shares[route] < 0 {
		return true
	}
	allowed := max(leastRetries, r.shares[route]*r.first[route].read(now))
	if r.more[route].read(now)+1 > allowed {
		return false
	}
	r.more[route].add(now, 1)
	return true
}
