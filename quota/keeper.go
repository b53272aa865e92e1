package quota

import (
	"cmp"
	"slices"
)

// shard is the allocator's state of one shard.
type shard struct {
	active     bool
	quietUntil int64
	limits     map[uint64]*limitState
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
	sh := &q.shards[m.Shard]
	if !sh.active || q.now >= q.leaseUntil || m.AssignmentVersion != q.assignment.Version {
		return
	}
	response := Message{Kind: AllocationResponse, To: m.From, Shard: m.Shard, AssignmentVersion: q.assignment.Version, Incarnation: m.Incarnation, RequestTime: m.RequestTime}
	for i := range m.Items {
		requested := &m.Items[i]
		limit := q.limits[requested.Key]
		if limit == nil || shardOf(requested.Key) != m.Shard {
			continue
		}
		state := sh.limits[requested.Key]
		if state == nil {
			// What a previous allocator granted earns no tokens here before it has expired.
			state = &limitState{grants: map[holder]*grant{}, incarnations: map[ID]uint64{}, refilledAt: max(q.now, sh.quietUntil)}
			sh.limits[requested.Key] = state
		}
		if item, ok := q.allocate(sh, state, limit, m, requested); ok {
			response.Items = append(response.Items, item)
		}
	}
	if len(response.Items) > 0 {
		q.send(response)
	}
}

// allocate handles one limit of a request. The sequence number in the request tells which grant the
// holder applies: if it is the latest one, the holder limits itself to the amount in the request;
// otherwise the previous upper bound holds, including all later grants.
func (q *Quota) allocate(sh *shard, state *limitState, limit *Limit, m *Message, requested *Item) (Item, bool) {
	if q.now-state.sweptAt >= sweepInterval {
		state.sweptAt = q.now
		state.removeExpired(q.now)
	}
	requester := holder{m.From, m.Incarnation}
	switch previous := state.incarnations[m.From]; {
	case previous > m.Incarnation:
		return Item{}, false // from an earlier incarnation, delayed
	case previous < m.Incarnation && limit.Kind == Rate:
		state.remove(holder{m.From, previous}) // a killed holder spends nothing more of a rate
	}
	state.incarnations[m.From] = m.Incarnation
	g := state.grants[requester]
	if g != nil && q.now >= g.expiry { // a request after the expiry starts a new grant
		state.remove(requester)
		g = nil
	}
	switch {
	case g == nil:
		g = &grant{}
		state.grants[requester] = g
		// An allocation from a previous allocator is taken as its holder states it: all of those together are
		// within the limit, and one that is not reported before the quiet period ends has expired. After the
		// quiet period, what the holder uses was begun under a grant that has expired since.
		if q.now < sh.quietUntil {
			state.update(g, requested.Amount, requested.Burst)
		} else {
			state.update(g, requested.Used, 0)
		}
	case m.RequestTime <= g.requestedAt: // delayed or duplicate
		return Item{}, false
	case requested.Sequence == g.sequence:
		state.update(g, requested.Amount, requested.Burst)
	}
	g.requestedAt, g.demand, g.used = m.RequestTime, requested.Demand, requested.Used
	unallocated, unallocatedBurst := limit.Amount-state.allocated, limit.Burst-state.allocatedBurst
	state.refill(q.now, limit, unallocated, unallocatedBurst)
	fair := state.shareOf(requester, limit, q.now)
	// The amount is below the share while more than the limit is held: the limit was lowered, or work of
	// expired grants goes on.
	amount := max(0, min(fair.amount, g.amount+unallocated))
	if q.now < sh.quietUntil { // in the quiet period only existing allocations are renewed
		amount = min(amount, g.amount)
	}
	item := Item{Key: requested.Key, Amount: amount}
	if limit.Kind == Rate {
		state.grantTokens(&item, g, fair.burst, max(0, unallocated), max(0, unallocatedBurst), q.now < sh.quietUntil)
		amount = item.Amount
	}
	sh.lastSequence++
	g.sequence = sh.lastSequence
	item.Sequence = g.sequence
	state.unallocated -= max(0, amount-g.amount)
	state.update(g, max(g.amount, amount), max(g.burst, item.Burst))
	g.expiry = q.now + q.config.LeaseDuration + q.config.ClockError + q.config.MaxEffectDelay
	if limit.Kind == Concurrency {
		g.expiry += q.config.MaxTxnDuration
	}
	return item, true
}

// removeExpired removes grants that have expired.
func (s *limitState) removeExpired(now int64) {
	for h, g := range s.grants {
		if g.expiry != 0 && now >= g.expiry {
			s.remove(h)
			if s.incarnations[h.id] == h.incarnation {
				delete(s.incarnations, h.id)
			}
		}
	}
}

// update sets what a holder limits itself to; remove deletes its grant.
func (s *limitState) update(g *grant, amount, burst int64) {
	s.allocated += amount - g.amount
	s.allocatedBurst += burst - g.burst
	g.amount, g.burst = amount, burst
}

func (s *limitState) remove(h holder) {
	if g := s.grants[h]; g != nil {
		s.update(g, 0, 0)
		delete(s.grants, h)
	}
}

// shareOf returns the share of one holder. With many holders the shares are computed several times per
// second instead of for each request; that is safe since grants never exceed the unallocated part,
// whatever the shares.
func (s *limitState) shareOf(requester holder, limit *Limit, now int64) share {
	fair, ok := s.shares[requester]
	if ok && len(s.grants) > maxHoldersUncached && now-s.sharesAt < sweepInterval {
		return fair
	}
	s.shares, s.sharesAt = map[holder]share{}, now
	for _, fair := range s.fairShares(limit) {
		s.shares[fair.holder] = fair
	}
	return s.shares[requester]
}

// grantTokens sets how many tokens of a rate a holder may accumulate, and hands it earned tokens. A
// holder that may accumulate none, or cannot yet because others have not returned theirs, gets the
// tokens of single transactions from the unallocated part while it has demand.
func (s *limitState) grantTokens(item *Item, g *grant, burst, unallocated, unallocatedBurst int64, quiet bool) {
	item.Burst = min(burst, g.burst+unallocatedBurst)
	if quiet {
		item.Burst = min(item.Burst, g.burst)
	}
	switch earned := int64(s.tokens); {
	case item.Amount == 0 && g.demand == 0:
		item.Burst = 0
	case item.Amount > 0 && item.Burst >= UnitsPerTxn:
		if added := item.Amount - g.amount; added > 0 { // a proportional share of the unallocated tokens, at least enough for a first transaction
			item.Tokens = max(int64(s.tokens*float64(added)/float64(unallocated)), min(UnitsPerTxn, earned))
		}
		item.Tokens = min(item.Tokens, item.Burst)
	case quiet:
		item.Amount, item.Burst = 0, 0
	default:
		if item.Amount, item.Burst = 0, 0; g.demand > 0 && earned >= UnitsPerTxn && g.burst+unallocatedBurst >= UnitsPerTxn {
			item.Burst, item.Tokens = UnitsPerTxn, UnitsPerTxn
		}
	}
	s.tokens = max(0, min(s.tokens-float64(item.Tokens), float64(unallocatedBurst-max(0, item.Burst-g.burst))))
}

// refill adds the tokens earned by the unallocated part of a rate.
func (s *limitState) refill(now int64, limit *Limit, unallocated, unallocatedBurst int64) {
	if limit.Kind != Rate || now <= s.refilledAt {
		s.unallocated = min(s.unallocated, unallocated)
		return
	}
	earning := float64(max(0, min(unallocated, s.unallocated))) // units that were returned meanwhile earn from now on
	s.unallocated = unallocated
	s.tokens = min(float64(max(0, unallocatedBurst)), s.tokens+earning*(1-1.0/clockDriftDivisor)*float64(now-s.refilledAt)/1e9)
	s.refilledAt = now
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
func (s *limitState) fairShares(limit *Limit) (shares []share) {
	for h, g := range s.grants {
		demand := g.demand
		if demand > 0 {
			demand += max(1, demand/headroomDivisor)
		}
		shares = append(shares, share{holder: h, demand: max(demand, g.used)})
	}
	slices.SortFunc(shares, func(x, y share) int {
		return cmp.Or(cmp.Compare(x.demand, y.demand), cmp.Compare(x.holder.id, y.holder.id), cmp.Compare(x.holder.incarnation, y.holder.incarnation))
	})
	remaining := limit.Amount
	for i := range shares {
		fair := &shares[i]
		fair.amount = min(fair.demand, remaining/int64(len(shares)-i))
		if fair.demand > 0 && fair.amount == 0 && remaining > 0 {
			fair.amount = 1
		}
		remaining -= fair.amount
	}
	remainingBurst := limit.Burst - max(UnitsPerTxn, limit.Burst/4) // the rest is for holders without a share of the burst
	for i := len(shares) - 1; i >= 0 && limit.Kind == Rate; i-- {
		if fair := &shares[i]; fair.amount > 0 && remainingBurst >= UnitsPerTxn {
			fair.burst = min(remainingBurst, UnitsPerTxn+int64(float64(limit.Burst)/2*float64(fair.amount)/float64(limit.Amount)))
			remainingBurst -= fair.burst
		}
	}
	return shares
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
func (q *Quota) Grants(key uint64) (grants []Grant, active bool) {
	sh := &q.shards[shardOf(key)]
	if !sh.active || sh.limits[key] == nil {
		return nil, sh.active
	}
	for h, g := range sh.limits[key].grants {
		grants = append(grants, Grant{h.id, g.amount, g.used, g.demand, g.expiry - q.now})
	}
	slices.SortFunc(grants, func(x, y Grant) int { return cmp.Compare(x.Holder, y.Holder) })
	return grants, true
}
