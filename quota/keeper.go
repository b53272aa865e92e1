package quota

import (
	"cmp"
	"slices"
)

// shard is the allocator's state of one shard.
type shard struct {
	active     bool
	quietUntil int64
	entries    map[uint64]*limitState
	// Sequence number of the latest grant. It never restarts: a holder that was removed here would take a
	// lower number for an old grant.
	lastSequence uint64
}

// limitState is the allocator's state of one limit.
type limitState struct {
	grants         map[holder]*grant
	incarnations   map[ID]uint64 // latest incarnation of each holder
	allocated      int64         // sum of all grants
	allocatedBurst int64
	sweptAt        int64 // when expired grants were last removed
	shares         map[holder]share
	sharesAt       int64
	tokens         float64 // of a rate: tokens earned by the unallocated part
	unallocated    int64   // unallocated part when tokens were last computed
	refilledAt     int64
}

// holder is a gateway in one incarnation. What a killed incarnation had begun goes on at members for a
// while, so its grant is kept apart.
type holder struct {
	id          ID
	incarnation uint64
}

// grant is an allocation as the allocator knows it.
type grant struct {
	amount      int64  // upper bound of what the holder limits itself to
	burst       int64  // of a rate: maximum tokens that the holder may accumulate
	expiry      int64  // by then the holder has lost its allocation and all work begun under it has ended
	sequence    uint64 // sequence number of the latest response
	demand      int64
	used        int64
	requestedAt int64 // time of its latest request, by the holder's clock
}

// handleRequest responds to a request for allocations.
func (q *Quota) handleRequest(m *Message) {
	b := &q.shards[m.Shard]
	if !b.active || q.now >= q.leaseUntil || m.AssignmentVersion != q.assignment.Version {
		return
	}
	out := Message{Kind: AllocationResponse, To: m.From, Shard: m.Shard, AssignmentVersion: q.assignment.Version, Incarnation: m.Incarnation, RequestTime: m.RequestTime}
	for i := range m.Items {
		x := &m.Items[i]
		limit := q.limits[x.Key]
		if limit == nil || shardOf(x.Key) != m.Shard {
			continue
		}
		e := b.entries[x.Key]
		if e == nil {
			// What a previous allocator granted earns no tokens here before it has expired.
			e = &limitState{grants: map[holder]*grant{}, incarnations: map[ID]uint64{}, refilledAt: max(q.now, b.quietUntil)}
			b.entries[x.Key] = e
		}
		if item, ok := q.allocate(b, e, limit, m, x); ok {
			out.Items = append(out.Items, item)
		}
	}
	if len(out.Items) > 0 {
		q.send(out)
	}
}

// allocate handles one limit of a request. The sequence number in the request tells which grant the
// holder applies: if it is the latest one, the holder limits itself to the amount in the request;
// otherwise the previous upper bound holds, including all later grants.
func (q *Quota) allocate(b *shard, e *limitState, limit *Limit, m *Message, x *Item) (Item, bool) {
	if q.now-e.sweptAt >= sweepInterval {
		e.sweptAt = q.now
		e.removeExpired(q.now)
	}
	requester := holder{m.From, m.Incarnation}
	switch previous := e.incarnations[m.From]; {
	case previous > m.Incarnation:
		return Item{}, false // from an earlier incarnation, delayed
	case previous < m.Incarnation && limit.Kind == Rate:
		e.remove(holder{m.From, previous}) // a killed holder spends nothing more of a rate
	}
	e.incarnations[m.From] = m.Incarnation
	l := e.grants[requester]
	if l != nil && q.now >= l.expiry { // a request after the expiry starts a new grant
		e.remove(requester)
		l = nil
	}
	switch {
	case l == nil:
		l = &grant{}
		e.grants[requester] = l
		// An allocation from a previous allocator is taken as its holder states it: all of those together are
		// within the limit, and one that is not reported before the quiet period ends has expired. After the
		// quiet period, what the holder uses was begun under a grant that has expired since.
		if q.now < b.quietUntil {
			e.update(l, x.Amount, x.Burst)
		} else {
			e.update(l, x.Used, 0)
		}
	case m.RequestTime <= l.requestedAt: // delayed or duplicate
		return Item{}, false
	case x.Sequence == l.sequence:
		e.update(l, x.Amount, x.Burst)
	}
	l.requestedAt, l.demand, l.used = m.RequestTime, x.Demand, x.Used
	unallocated, unallocatedBurst := limit.Amount-e.allocated, limit.Burst-e.allocatedBurst
	e.refill(q.now, limit, unallocated, unallocatedBurst)
	c := e.shareOf(requester, limit, q.now)
	// The amount is below the share while more than the limit is held: the limit was lowered, or work of
	// expired grants goes on.
	amount := max(0, min(c.amount, l.amount+unallocated))
	if q.now < b.quietUntil { // in the quiet period only existing allocations are renewed
		amount = min(amount, l.amount)
	}
	item := Item{Key: x.Key, Amount: amount}
	if limit.Kind == Rate {
		e.grantTokens(&item, l, c.burst, max(0, unallocated), max(0, unallocatedBurst), q.now < b.quietUntil)
		amount = item.Amount
	}
	b.lastSequence++
	l.sequence = b.lastSequence
	item.Sequence = l.sequence
	e.unallocated -= max(0, amount-l.amount)
	e.update(l, max(l.amount, amount), max(l.burst, item.Burst))
	l.expiry = q.now + q.config.LeaseDuration + q.config.ClockError + q.config.MaxEffectDelay
	if limit.Kind == Concurrency {
		l.expiry += q.config.MaxTxnDuration
	}
	return item, true
}

// removeExpired removes grants that have expired.
func (e *limitState) removeExpired(now int64) {
	for o, l := range e.grants {
		if l.expiry != 0 && now >= l.expiry {
			e.remove(o)
			if e.incarnations[o.id] == o.incarnation {
				delete(e.incarnations, o.id)
			}
		}
	}
}

// update sets what a holder limits itself to; remove deletes its grant.
func (e *limitState) update(l *grant, part, burst int64) {
	e.allocated += part - l.amount
	e.allocatedBurst += burst - l.burst
	l.amount, l.burst = part, burst
}

func (e *limitState) remove(o holder) {
	if l := e.grants[o]; l != nil {
		e.update(l, 0, 0)
		delete(e.grants, o)
	}
}

// shareOf returns the share of one holder. With many holders the shares are computed several times per
// second instead of for each request; that is safe since grants never exceed the unallocated part,
// whatever the shares.
func (e *limitState) shareOf(requester holder, limit *Limit, now int64) share {
	c, ok := e.shares[requester]
	if ok && len(e.grants) > maxHoldersUncached && now-e.sharesAt < sweepInterval {
		return c
	}
	e.shares, e.sharesAt = map[holder]share{}, now
	for _, c := range e.fairShares(limit) {
		e.shares[c.holder] = c
	}
	return e.shares[requester]
}

// grantTokens sets how many tokens of a rate a holder may accumulate, and hands it earned tokens. A
// holder that may accumulate none, or cannot yet because others have not returned theirs, gets the
// tokens of single transactions from the unallocated part while it has demand.
func (e *limitState) grantTokens(item *Item, l *grant, burst, unallocated, unallocatedBurst int64, quiet bool) {
	item.Burst = min(burst, l.burst+unallocatedBurst)
	if quiet {
		item.Burst = min(item.Burst, l.burst)
	}
	switch earned := int64(e.tokens); {
	case item.Amount == 0 && l.demand == 0:
		item.Burst = 0
	case item.Amount > 0 && item.Burst >= UnitsPerTxn:
		if added := item.Amount - l.amount; added > 0 { // a proportional share of the unallocated tokens, at least enough for a first transaction
			item.Tokens = max(int64(e.tokens*float64(added)/float64(unallocated)), min(UnitsPerTxn, earned))
		}
		item.Tokens = min(item.Tokens, item.Burst)
	case quiet:
		item.Amount, item.Burst = 0, 0
	default:
		if item.Amount, item.Burst = 0, 0; l.demand > 0 && earned >= UnitsPerTxn && l.burst+unallocatedBurst >= UnitsPerTxn {
			item.Burst, item.Tokens = UnitsPerTxn, UnitsPerTxn
		}
	}
	e.tokens = max(0, min(e.tokens-float64(item.Tokens), float64(unallocatedBurst-max(0, item.Burst-l.burst))))
}

// refill adds the tokens earned by the unallocated part of a rate.
func (e *limitState) refill(now int64, limit *Limit, unallocated, unallocatedBurst int64) {
	if limit.Kind != Rate || now <= e.refilledAt {
		e.unallocated = min(e.unallocated, unallocated)
		return
	}
	earning := float64(max(0, min(unallocated, e.unallocated))) // units that were returned meanwhile earn from now on
	e.unallocated = unallocated
	e.tokens = min(float64(max(0, unallocatedBurst)), e.tokens+earning*(1-1.0/clockDriftDivisor)*float64(now-e.refilledAt)/1e9)
	e.refilledAt = now
}

// share is what a holder should get.
type share struct {
	holder        holder
	demand        int64
	amount, burst int64
}

// fairShares returns the max-min fair shares of all holders: the demand of each plus headroom, or,
// where the total demand exceeds the limit, a division in which no holder gets more than another one
// with a higher demand. The burst of a rate is divided along with it, at least one transaction's
// tokens each, to the largest shares first: an allocation is useless to a holder that may not
// accumulate the tokens of one transaction.
func (e *limitState) fairShares(limit *Limit) (all []share) {
	for o, l := range e.grants {
		w := l.demand
		if w > 0 {
			w += max(1, w/headroomDivisor)
		}
		all = append(all, share{holder: o, demand: max(w, l.used)})
	}
	slices.SortFunc(all, func(x, y share) int {
		return cmp.Or(cmp.Compare(x.demand, y.demand), cmp.Compare(x.holder.id, y.holder.id), cmp.Compare(x.holder.incarnation, y.holder.incarnation))
	})
	remaining := limit.Amount
	for i := range all {
		c := &all[i]
		c.amount = min(c.demand, remaining/int64(len(all)-i))
		if c.demand > 0 && c.amount == 0 && remaining > 0 {
			c.amount = 1
		}
		remaining -= c.amount
	}
	remainingBurst := limit.Burst - max(UnitsPerTxn, limit.Burst/4) // the rest is for holders without a share of the burst
	for i := len(all) - 1; i >= 0 && limit.Kind == Rate; i-- {
		if c := &all[i]; c.amount > 0 && remainingBurst >= UnitsPerTxn {
			c.burst = min(remainingBurst, UnitsPerTxn+int64(float64(limit.Burst)/2*float64(c.amount)/float64(limit.Amount)))
			remainingBurst -= c.burst
		}
	}
	return all
}

// Grant is an allocation as its allocator knows it.
type Grant struct {
	Holder    ID    `json:"holder"`
	Amount    int64 `json:"part"`
	Used      int64 `json:"used"`
	Demand    int64 `json:"want"`
	Remaining int64 `json:"left"` // nanoseconds until it can be granted to another holder
}

// Grants returns all grants of a limit; active is false if this gateway is not its allocator.
func (q *Quota) Grants(key uint64) (all []Grant, active bool) {
	b := &q.shards[shardOf(key)]
	if !b.active || b.entries[key] == nil {
		return nil, b.active
	}
	for id, l := range b.entries[key].grants {
		all = append(all, Grant{id.id, l.amount, l.used, l.demand, l.expiry - q.now})
	}
	slices.SortFunc(all, func(x, y Grant) int { return cmp.Compare(x.Holder, y.Holder) })
	return all, true
}
