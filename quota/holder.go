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
	limit, alloc := q.limits[key], q.allocations[key]
	if limit == nil {
		return nil
	}
	if alloc == nil {
		alloc = &allocation{limit: limit}
		q.allocations[key] = alloc
	}
	return alloc
}

// usable returns the units that may be used now. It never exceeds the limit, which may have been
// lowered since the grant.
func (a *allocation) usable(now int64) int64 {
	if now >= a.expiry {
		return 0
	}
	return min(a.amount, a.limit.Amount)
}

// refill adds the tokens that a rate has earned since the last call.
func (a *allocation) refill(now int64) {
	if now >= a.expiry {
		a.tokens, a.burst = 0, 0 // the allocator earns the tokens of an expired allocation anew
	}
	if now <= a.refilledAt {
		return
	}
	rate := float64(a.usable(now)) * (1 - 1.0/clockDriftDivisor)
	end := min(now, a.expiry)
	if end > a.refilledAt {
		a.tokens = min(float64(a.burst), a.tokens+rate*float64(end-a.refilledAt)/1e9)
	}
	a.refilledAt = now
}

// addDemand records that units were asked for.
func (a *allocation) addDemand(now, units int64) {
	a.decayDemand(now)
	a.lastDemandAt = now
	if a.limit.Kind == Rate {
		maxDemand := float64(a.limit.Amount) // demand above the limit would only take longer to decay
		a.recentDemand = min(maxDemand, a.recentDemand+float64(units)/demandWindow*1e9)
		a.longTermDemand = min(maxDemand, a.longTermDemand+float64(units)/longDemandWindow*1e9)
	} else {
		a.recentDemand = max(a.recentDemand, float64(a.used+units))
	}
}

func (a *allocation) decayDemand(now int64) {
	if now > a.decayedAt {
		a.recentDemand *= math.Exp(-float64(now-a.decayedAt) / demandWindow)
		a.longTermDemand *= math.Exp(-float64(now-a.decayedAt) / longDemandWindow)
		a.decayedAt = now
	}
}

// demand returns the current demand; of a concurrency limit at least what is in use.
func (a *allocation) demand(now int64) int64 {
	a.decayDemand(now)
	if a.limit.Kind == Concurrency {
		d := max(int64(math.Ceil(a.recentDemand)), a.used)
		if now-a.peakAt < int64(demandWindow) {
			d = max(d, int64(math.Ceil(a.peakDemand)))
		}
		return d
	}
	// At a few transactions per second they come in clusters: the longer window is steadier, the shorter
	// one forgets demand that has moved to another gateway.
	d := int64(math.Ceil(min(1.5*a.recentDemand, a.longTermDemand)))
	if now-a.lastDemandAt < idleTimeout { // an occasional transaction still needs the units of a whole one
		d = max(d, UnitsPerTxn)
	}
	return d
}

// CanBegin reports whether this many units may begin now; a transaction counts UnitsPerTxn of a rate.
// If they may not, retryAfter is the number of nanoseconds until they may or until the allocator is
// asked again, 0 if unknown. unallocated reports that no allocation is held and one is being
// requested: the response takes a few network round trips.
func (q *Quota) CanBegin(key uint64, units int64) (ok bool, retryAfter int64, unallocated bool) {
	alloc := q.allocationOf(key)
	if alloc == nil {
		return true, 0, false
	}
	alloc.requested = true
	alloc.addDemand(q.now, units)
	usable := alloc.usable(q.now)
	if alloc.limit.Kind == Rate {
		alloc.refill(q.now)
		if ok = q.now < alloc.expiry && alloc.tokens >= float64(units); !ok && usable > 0 {
			retryAfter = int64(math.Ceil((float64(units) - alloc.tokens) / float64(usable) * 1e9))
		}
	} else {
		ok = alloc.used+units <= usable
	}
	if !ok {
		if alloc.limit.Kind == Concurrency { // demand counts what is refused, at most the limit
			alloc.recentDemand = min(float64(alloc.limit.Amount), alloc.recentDemand+float64(units))
			if alloc.recentDemand >= alloc.peakDemand || q.now-alloc.peakAt >= int64(demandWindow) {
				alloc.peakDemand, alloc.peakAt = alloc.recentDemand, q.now
			}
		}
		state := &q.requests[shardOf(key)]
		state.urgent = true
		state.empty = state.empty || usable == 0
		if usable == 0 {
			retryAfter = retryInterval
		}
	}
	return ok, retryAfter, usable == 0
}

// ClampToLimit returns how many of the units count against a limit: a single transaction larger than
// the whole limit takes all of it.
func (q *Quota) ClampToLimit(key uint64, units int64) int64 {
	if limit := q.limits[key]; limit != nil {
		return min(units, limit.Amount)
	}
	return units
}

// Begin counts units that CanBegin admitted.
func (q *Quota) Begin(key uint64, units int64) {
	if alloc := q.allocationOf(key); alloc == nil {
		return
	} else if alloc.limit.Kind == Rate {
		alloc.refill(q.now)
		alloc.tokens -= float64(units)
	} else {
		alloc.used += units
	}
}

// AddExisting counts units of a concurrency limit that began before the limit existed, in addition to
// any allocation.
func (q *Quota) AddExisting(key uint64, units int64) {
	if alloc := q.allocationOf(key); alloc != nil && alloc.limit.Kind == Concurrency {
		alloc.used += units
		alloc.addDemand(q.now, 0)
	}
}

// End releases units of a concurrency limit.
func (q *Quota) End(key uint64, units int64) {
	if alloc := q.allocations[key]; alloc != nil && alloc.limit.Kind == Concurrency {
		if alloc.used = max(0, alloc.used-units); alloc.used == 0 && q.limits[key] == nil {
			delete(q.allocations, key)
		}
	}
}

// sendRequests asks allocators for what is demanded, and to renew what is held.
func (q *Quota) sendRequests() {
	for shardIndex := range q.requests {
		state := &q.requests[shardIndex]
		interval := state.interval(q.config.LeaseDuration)
		if state.sentAt != 0 && q.now-state.sentAt < interval-minWakeDelay || q.now >= q.leaseUntil { // a wake-up may come slightly early
			continue
		}
		allocator := q.assignment.allocator(shardIndex)
		var items []Item
		surplus := false
		for _, key := range q.keys {
			alloc := q.allocations[key]
			if shardOf(key) != shardIndex || alloc == nil || !alloc.requested {
				continue
			}
			demand := alloc.demand(q.now)
			if demand == 0 && alloc.used == 0 && q.now-alloc.lastDemandAt >= idleTimeout {
				alloc.requested = alloc.usable(q.now) > 0 // one more request reports zero demand and so returns the allocation
				alloc.amount, alloc.tokens, alloc.burst = 0, 0, 0
			}
			held := max(alloc.usable(q.now), alloc.used)
			if alloc.limit.Kind == Rate {
				if held = alloc.usable(q.now); held == 0 { // without an allocation it earns nothing: its tokens are all it has
					alloc.refill(q.now)
					alloc.burst = int64(alloc.tokens)
				}
			}
			surplus = surplus || 2*demand < held
			items = append(items, Item{Key: key, Sequence: alloc.sequence, Amount: held, Used: alloc.used, Demand: demand, Burst: alloc.burst})
		}
		state.urgent, state.empty, state.surplus = false, false, surplus
		if len(items) == 0 {
			state.unanswered, state.sentAt = 0, 0
			continue
		}
		state.sentAt = q.now
		if allocator == 0 {
			q.reportUnresponsive(shardIndex, 0)
			continue
		}
		if state.unanswered++; state.unanswered == 1 {
			state.unansweredSince = q.now
		}
		if state.unanswered > maxUnanswered && q.now-state.unansweredSince > q.config.LeaseDuration/2 {
			q.reportUnresponsive(shardIndex, allocator)
		}
		for chunk := range slices.Chunk(items, maxItems) {
			q.send(Message{Kind: AllocationRequest, To: allocator, Shard: shardIndex, AssignmentVersion: q.assignment.Version, Incarnation: q.config.Incarnation, RequestTime: q.now, Items: chunk})
		}
	}
}

// interval returns the time until the next request.
func (r *requestState) interval(leaseDuration int64) int64 {
	switch {
	case r.urgent:
		return r.retryDelay()
	case r.surplus: // other gateways may wait for what is not needed here
		return retryInterval
	}
	return leaseDuration / renewalsPerLease
}

// retryDelay returns the time until the next request after units were refused: short where no
// allocation is held, with backoff while the responses grant nothing.
func (r *requestState) retryDelay() int64 {
	if !r.empty {
		return retryInterval
	}
	return min(retryInterval, int64(emptyRetryInterval)<<min(r.emptyResponses, 3))
}

// reportUnresponsive tells the host that a shard has no allocator or its allocator does not respond.
// While that lasts it is repeated, at each request if there is no allocator, else after more than half
// a lease, but logged once.
func (q *Quota) reportUnresponsive(shardIndex int, allocator ID) {
	state := &q.requests[shardIndex]
	q.pending = append(q.pending, Decision{Kind: Reassign, Allocator: allocator})
	if !state.reported {
		state.reported = true
		q.log("shard %d has no allocator, or its allocator does not respond", shardIndex)
	}
	state.unanswered, state.unansweredSince = 1, q.now
}

// handleResponse takes a grant. Its lease counts from the time of the request, by this gateway's
// clock.
func (q *Quota) handleResponse(m *Message) {
	if m.Incarnation != q.config.Incarnation || m.From != q.assignment.allocator(m.Shard) || m.RequestTime+q.config.LeaseDuration <= q.now {
		return
	}
	state := &q.requests[m.Shard]
	q.responses++
	state.unanswered, state.reported = 0, false
	empty := true
	for i := range m.Items {
		item := &m.Items[i]
		alloc := q.allocations[item.Key]
		if alloc == nil || shardOf(item.Key) != m.Shard || item.Sequence <= alloc.sequence {
			continue
		}
		alloc.refill(q.now)
		alloc.sequence = item.Sequence
		alloc.amount, alloc.expiry = item.Amount, max(alloc.expiry, m.RequestTime+q.config.LeaseDuration)
		alloc.burst = item.Burst
		alloc.tokens = min(alloc.tokens+float64(item.Tokens), float64(alloc.burst))
		if empty = empty && alloc.amount == 0 && item.Tokens == 0; !empty {
			state.emptyResponses = 0
		}
	}
	if empty {
		state.emptyResponses++
	}
}

// nextDeadline returns when the next round is needed, 0 for never.
func (q *Quota) nextDeadline() (at int64) {
	if q.now >= q.leaseUntil { // rounds resume once a voter renews the lease
		return 0
	}
	for shardIndex := range q.requests {
		if state := &q.requests[shardIndex]; state.sentAt != 0 {
			interval := state.interval(q.config.LeaseDuration)
			if t := state.sentAt + interval; at == 0 || t < at {
				at = t
			}
		} else if state.urgent {
			return q.now
		}
	}
	return at
}

// Allocation returns what this gateway holds of a limit: its allocation, the units in use (the tokens
// of a rate), the demand, and the expiry of the lease.
func (q *Quota) Allocation(key uint64) (amount, used, demand, expiry int64) {
	alloc := q.allocations[key]
	if alloc == nil {
		return 0, 0, 0, 0
	}
	used = alloc.used
	if alloc.limit.Kind == Rate {
		alloc.refill(q.now)
		used = int64(alloc.tokens)
	}
	return alloc.usable(q.now), used, alloc.demand(q.now), alloc.expiry
}
