package gateway

import (
	"time"

	"magpieglade/decide"
)

// clock aligns the time of day, in which positions are given, with a monotonic clock, once at the start. Both count from the
// same zero, clockLeadMs before the start, so that no relevant time lies before it.
type clock struct {
	startedAt   time.Time
	elapsed     func() time.Duration // since startedAt
	startOffset decide.Nanos
	zeroUnixMs  int64
	wallLead    func() time.Duration // how far the wall clock has been stepped forward since the start, nil if unknown
}

const clockLeadMs = 60 * 1000

func newClock(elapsed func() time.Duration) clock {
	now := time.Now()
	zero := now.UnixMilli() - clockLeadMs
	c := clock{startedAt: now, zeroUnixMs: zero, startOffset: decide.Nanos(now.UnixNano() - zero*1e6)}
	if elapsed != nil {
		start := elapsed()
		c.elapsed = func() time.Duration { return elapsed() - start }
		return c
	}
	c.elapsed = func() time.Duration { return time.Since(now) }
	c.wallLead = func() time.Duration {
		current := time.Now()
		return time.Duration(current.UnixNano()-now.UnixNano()) - current.Sub(now)
	}
	return c
}

func (c *clock) now() decide.Nanos { return c.startOffset + decide.Nanos(c.elapsed()) }

// fromUnixMs converts a Unix time in milliseconds to this clock; times before its zero become zero.
func (c *clock) fromUnixMs(unixMs float64) decide.Nanos {
	return max(0, decide.Millis(unixMs-float64(c.zeroUnixMs)))
}

// unixMs converts a time on this clock to Unix milliseconds, as in positions, and rounds up.
func (c *clock) unixMs(at decide.Nanos) float64 {
	ms := (at + 999_999) / decide.Millisecond
	return float64(c.zeroUnixMs + int64(ms))
}

// minClockStep is the least change of the wall clock against the monotonic clock that counts as a step.
const minClockStep = 5 * time.Millisecond

// checkWallClock tells the module when the wall clock was stepped. A second look confirms it: the process may have been held up
// between its readings of the two clocks.
func (g *Gateway) checkWallClock() {
	if g.clock.wallLead == nil {
		return
	}
	by := g.clock.wallLead() - g.wallLead
	if by.Abs() >= minClockStep {
		by = g.clock.wallLead() - g.wallLead
	}
	if by.Abs() < minClockStep {
		return
	}
	g.wallLead += by
	g.log.Info("the wall clock was stepped", "by_ms", by.Milliseconds())
	g.module.ClockStepped(decide.Nanos(by))
}
