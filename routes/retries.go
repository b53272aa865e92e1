package routes

import "math"

// RetryBudgets limits repeated submissions, by route, to a fraction of the recent first ones, so that retries can never
// be most of the load on members when many txns fail. A few are always allowed: with little traffic the fraction would
// round to none.
type RetryBudgets struct {
	ratios           []float64 // below 0 is no limit
	firstSubmissions []decayingSum
	retries          []decayingSum
}

// decayingSum is a sum that decays exponentially with time.
type decayingSum struct {
	sum       float64
	updatedAt int64
}

const (
	retryDecay = 10e9 // nanoseconds; long against one failure, short against an outage
	minRetries = 3.0  // recent retries that are allowed whatever the ratio
)

func (d *decayingSum) read(now int64) float64 {
	if now > d.updatedAt {
		d.sum *= math.Exp(-float64(now-d.updatedAt) / retryDecay)
		d.updatedAt = now
	}
	return d.sum
}

func (d *decayingSum) add(now int64, x float64) { d.sum = d.read(now) + x }

// NewRetryBudgets creates the budgets of a table's routes.
func NewRetryBudgets(t *Table) *RetryBudgets {
	b := &RetryBudgets{firstSubmissions: make([]decayingSum, len(t.Routes)), retries: make([]decayingSum, len(t.Routes))}
	for i := range t.Routes {
		b.ratios = append(b.ratios, t.Routes[i].RetryRatio)
	}
	return b
}

// RecordFirst counts a first submission.
func (b *RetryBudgets) RecordFirst(route int32, now int64) {
	if route >= 0 {
		b.firstSubmissions[route].add(now, 1)
	}
}

// TryRetry reports whether a retry is allowed now, and counts it if so.
func (b *RetryBudgets) TryRetry(route int32, now int64) bool {
	if route < 0 || b.ratios[route] < 0 {
		return true
	}
	allowed := max(minRetries, b.ratios[route]*b.firstSubmissions[route].read(now))
	if b.retries[route].read(now)+1 > allowed {
		return false
	}
	b.retries[route].add(now, 1)
	return true
}
