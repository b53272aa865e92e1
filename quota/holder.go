package quota

import (
	"math"
	"slices"
)

// allocation is this gateway's allocation of one limit.
type allocation struct {
	limit      *Limit
	amount     int64 // units that may be used
	expiry     int64 // nothing new may begin after it
	sequence   uint64
	used       int64   // of a concurrency limit
	burst      int64   // of a rate: maximum tokens
	tokens     float64 // of a rate
	refilledAt int64   // when tokens were last computed
	// Decaying sum of what was asked for: units per second of a rate, units at a time of a concurrency
	// limit.
	recentDemand   float64
	longTermDemand float64 // of a rate: the same over longDemandWindow
	decayedAt      int64
	// Of a concurrency limit: maximum demand within the last demandWindow. The demand of a single large
	// transaction must not decay to a fraction of it.
	peakDemand   float64
	peakAt       int64
	lastDemandAt int64 // when a transaction last asked for units
	requested    bool  // units were asked for at all, so requests to the allocator include this limit
}

// requestState tracks the requests to the allocator of one shard.
type requestState struct {
	sentAt          int64 // time of the latest request
	urgent          bool  // units were refused since then
	empty           bool  // units were refused while no allocation was held
	emptyResponses  int   // consecutive responses that left the holder without an allocation
	surplus         bool  // demand is much lower than the allocation
	unanswered      int   // requests without a response
	unansweredSince int64 // time of the first of those
	reported        bool  // the lack of a response has been logged; reset by the next response
}

func (q *Quota) allocationOf(key uint64) *allocation {
	b, p := q.limits[key], q.allocations[key]
	if b == nil {
		return nil
	}
	if p == nil {
		p = &allocation{limit: b}
		q.allocations[key] = p
	}
	return p
}

// usable returns the units that may be used now. It never exceeds the limit, which may have been
// lowered since the grant.
func (p *allocation) usable(now int64) int64 {
	if now >= p.expiry {
		return 0
	}
	return min(p.amount, p.limit.Amount)
}

// refill adds the tokens that a rate has earned since the last call.
func (p *allocation) refill(now int64) {
	if now >= p.expiry {
		p.tokens, p.burst = 0, 0 // the allocator earns the tokens of an expired allocation anew
	}
	if now <= p.refilledAt {
		return
	}
	rate := float64(p.usable(now)) * (1 - 1.0/clockDriftDivisor)
	end := min(now, p.expiry)
	if end > p.refilledAt {
		p.tokens = min(float64(p.burst), p.tokens+rate*float64(end-p.refilledAt)/1e9)
	}
	p.refilledAt = now
}

// addDemand records that units were asked for.
func (p *allocation) addDemand(now, units int64) {
	p.decayDemand(now)
	p.lastDemandAt = now
	if p.limit.Kind == Rate {
		maxDemand := float64(p.limit.Amount) // demand above the limit would only take longer to decay
		p.recentDemand = min(maxDemand, p.recentDemand+float64(units)/demandWindow*1e9)
		p.longTermDemand = min(maxDemand, p.longTermDemand+float64(units)/longDemandWindow*1e9)
	} else {
		p.recentDemand = max(p.recentDemand, float64(p.used+units))
	}
}

func (p *allocation) decayDemand(now int64) {
	if now > p.decayedAt {
		p.recentDemand *= math.Exp(-float64(now-p.decayedAt) / demandWindow)
		p.longTermDemand *= math.Exp(-float64(now-p.decayedAt) / longDemandWindow)
		p.decayedAt = now
	}
}

// demand returns the current demand; of a concurrency limit at least what is in use.
func (p *allocation) demand(now int64) int64 {
	p.decayDemand(now)
	if p.limit.Kind == Concurrency {
		d := max(int64(math.Ceil(p.recentDemand)), p.used)
		if now-p.peakAt < int64(demandWindow) {
			d = max(d, int64(math.Ceil(p.peakDemand)))
		}
		return d
	}
	// At a few transactions per second they come in clusters: the longer window is steadier, the shorter
	// one forgets demand that has moved to another gateway.
	d := int64(math.Ceil(min(1.5*p.recentDemand, p.longTermDemand)))
	if now-p.lastDemandAt < idleTimeout { // an occasional transaction still needs the units of a whole one
		d = max(d, UnitsPerTxn)
	}
	return d
}

// CanBegin reports whether this many units may begin now; a transaction counts UnitsPerTxn of a rate.
// If they may not, retryAfter is the number of nanoseconds until they may or until the allocator is
// asked again, 0 if unknown. unallocated reports that no allocation is held and one is being
// requested: the response takes a few network round trips.
func (q *Quota) CanBegin(key uint64, units int64) (ok bool, retryAfter int64, unallocated bool) {
	p := q.allocationOf(key)
	if p == nil {
		return true, 0, false
	}
	p.requested = true
	p.addDemand(q.now, units)
	usable := p.usable(q.now)
	if p.limit.Kind == Rate {
		p.refill(q.now)
		if ok = q.now < p.expiry && p.tokens >= float64(units); !ok && usable > 0 {
			retryAfter = int64(math.Ceil((float64(units) - p.tokens) / float64(usable) * 1e9))
		}
	} else {
		ok = p.used+units <= usable
	}
	if !ok {
		if p.limit.Kind == Concurrency { // demand counts what is refused, at most the limit
			p.recentDemand = min(float64(p.limit.Amount), p.recentDemand+float64(units))
			if p.recentDemand >= p.peakDemand || q.now-p.peakAt >= int64(demandWindow) {
				p.peakDemand, p.peakAt = p.recentDemand, q.now
			}
		}
		a := &q.requests[shardOf(key)]
		a.urgent = true
		a.empty = a.empty || usable == 0
		if usable == 0 {
			retryAfter = retryInterval
		}
	}
	return ok, retryAfter, usable == 0
}

// ClampToLimit returns how many of the units count against a limit: a single transaction larger than
// the whole limit takes all of it.
func (q *Quota) ClampToLimit(key uint64, units int64) int64 {
	if b := q.limits[key]; b != nil {
		return min(units, b.Amount)
	}
	return units
}

// Begin counts units that CanBegin admitted.
func (q *Quota) Begin(key uint64, units int64) {
	if p := q.allocationOf(key); p == nil {
		return
	} else if p.limit.Kind == Rate {
		p.refill(q.now)
		p.tokens -= float64(units)
	} else {
		p.used += units
	}
}

// AddExisting counts units of a concurrency limit that began before the limit existed, in addition to
// any allocation.
func (q *Quota) AddExisting(key uint64, units int64) {
	if p := q.allocationOf(key); p != nil && p.limit.Kind == Concurrency {
		p.used += units
		p.addDemand(q.now, 0)
	}
}

// End releases units of a concurrency limit.
func (q *Quota) End(key uint64, units int64) {
	if p := q.allocations[key]; p != nil && p.limit.Kind == Concurrency {
		if p.used = max(0, p.used-units); p.used == 0 && q.limits[key] == nil {
			delete(q.allocations, key)
		}
	}
}

// sendRequests asks allocators for what is demanded, and to renew what is held.
func (q *Quota) sendRequests() {
	for b := range q.requests {
		a := &q.requests[b]
		interval := a.interval(q.config.LeaseDuration)
		if a.sentAt != 0 && q.now-a.sentAt < interval-minWakeDelay || q.now >= q.leaseUntil { // a wake-up may come slightly early
			continue
		}
		allocator := q.assignment.allocator(b)
		var items []Item
		surplus := false
		for _, key := range q.keys {
			p := q.allocations[key]
			if shardOf(key) != b || p == nil || !p.requested {
				continue
			}
			demand := p.demand(q.now)
			if demand == 0 && p.used == 0 && q.now-p.lastDemandAt >= idleTimeout {
				p.requested = p.usable(q.now) > 0 // one more request reports zero demand and so returns the allocation
				p.amount, p.tokens, p.burst = 0, 0, 0
			}
			held := max(p.usable(q.now), p.used)
			if p.limit.Kind == Rate {
				if held = p.usable(q.now); held == 0 { // without an allocation it earns nothing: its tokens are all it has
					p.refill(q.now)
					p.burst = int64(p.tokens)
				}
			}
			surplus = surplus || 2*demand < held
			items = append(items, Item{Key: key, Sequence: p.sequence, Amount: held, Used: p.used, Demand: demand, Burst: p.burst})
		}
		a.urgent, a.empty, a.surplus = false, false, surplus
		if len(items) == 0 {
			a.unanswered, a.sentAt = 0, 0
			continue
		}
		a.sentAt = q.now
		if allocator == 0 {
			q.reportUnresponsive(b, 0)
			continue
		}
		if a.unanswered++; a.unanswered == 1 {
			a.unansweredSince = q.now
		}
		if a.unanswered > maxUnanswered && q.now-a.unansweredSince > q.config.LeaseDuration/2 {
			q.reportUnresponsive(b, allocator)
		}
		for chunk := range slices.Chunk(items, maxItems) {
			q.send(Message{Kind: AllocationRequest, To: allocator, Shard: b, AssignmentVersion: q.assignment.Version, Incarnation: q.config.Incarnation, RequestTime: q.now, Items: chunk})
		}
	}
}

// interval returns the time until the next request.
func (a *requestState) interval(lease int64) int64 {
	switch {
	case a.urgent:
		return a.retryDelay()
	case a.surplus: // other gateways may wait for what is not needed here
		return retryInterval
	}
	return lease / renewalsPerLease
}

// retryDelay returns the time until the next request after units were refused: short where no
// allocation is held, with backoff while the responses grant nothing.
func (a *requestState) retryDelay() int64 {
	if !a.empty {
		return retryInterval
	}
	return min(retryInterval, int64(emptyRetryInterval)<<min(a.emptyResponses, 3))
}

// reportUnresponsive tells the host that a shard has no allocator or its allocator does not respond.
// It is repeated while that lasts, but logged once.
func (q *Quota) reportUnresponsive(b int, allocator ID) {
	a := &q.requests[b]
	q.out = append(q.out, Decision{Kind: Reassign, Allocator: allocator})
	if !a.reported {
		a.reported = true
		q.log("book %d: nobody keeps it, or its keeper does not answer", b)
	}
	a.unanswered, a.unansweredSince = 1, q.now
}

// handleResponse takes a grant. Its lease counts from the time of the request, by this gateway's
// clock.
func (q *Quota) handleResponse(m *Message) {
	if m.Incarnation != q.config.Incarnation || m.From != q.assignment.allocator(m.Shard) || m.RequestTime+q.config.LeaseDuration <= q.now {
		return
	}
	a := &q.requests[m.Shard]
	q.responses++
	a.unanswered, a.reported = 0, false
	empty := true
	for i := range m.Items {
		x := &m.Items[i]
		p := q.allocations[x.Key]
		if p == nil || shardOf(x.Key) != m.Shard || x.Sequence <= p.sequence {
			continue
		}
		p.refill(q.now)
		p.sequence = x.Sequence
		p.amount, p.expiry = x.Amount, max(p.expiry, m.RequestTime+q.config.LeaseDuration)
		p.burst = x.Burst
		p.tokens = min(p.tokens+float64(x.Tokens), float64(p.burst))
		if empty = empty && p.amount == 0 && x.Tokens == 0; !empty {
			a.emptyResponses = 0
		}
	}
	if empty {
		a.emptyResponses++
	}
}

// nextDeadline returns when the next round is needed, 0 for never.
func (q *Quota) nextDeadline() (at int64) {
	if q.now >= q.leaseUntil { // rounds resume once a voter renews the lease
		return 0
	}
	for b := range q.requests {
		if a := &q.requests[b]; a.sentAt != 0 {
			wait := a.interval(q.config.LeaseDuration)
			if t := a.sentAt + wait; at == 0 || t < at {
				at = t
			}
		} else if a.urgent {
			return q.now
		}
	}
	return at
}

// Allocation returns what this gateway holds of a limit: its allocation, the units in use (the tokens
// of a rate), the demand, and the expiry of the lease.
func (q *Quota) Allocation(key uint64) (amount, used, demand, expiry int64) {
	p := q.allocations[key]
	if p == nil {
		return 0, 0, 0, 0
	}
	used = p.used
	if p.limit.Kind == Rate {
		p.refill(q.now)
		used = int64(p.tokens)
	}
	return p.usable(q.now), used, p.demand(q.now), p.expiry
}
