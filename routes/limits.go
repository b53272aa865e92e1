package routes

import "math"

// Shares decides whether a tenant may have one more txn in flight. Each tenant has a share of the in-flight limit, by
// its weight. The part of a share that its tenant leaves unused is lent to others, except for a reserve that lets the
// tenant begin at once when it comes back. A tenant that was rejected within its share reclaims all of it: for a while
// nothing of it is lent, so the tenant gets it back as the borrowers' txns end.
type Shares struct {
	maxInFlight int // of all tenants; 0 is no limit
	reclaiming  []int32
	tenants     []tenantShare
	inFlight    int
	reserved    float64 // sum of all reserves, which no tenant may borrow
}

// tenantShare is the share of one tenant and its usage.
type tenantShare struct {
	own         float64 // what it has without borrowing
	inFlight    int
	bytes       int64
	clients     int
	tokens      float64 // of its rate limit's token bucket
	refilledAt  int64   // when the tokens were last refilled
	byWeight    float64 // what it has by its weight
	heldSlots   int     // slots held for it, whatever its weight
	reclaims    bool    // it was rejected within its share
	reclaimedAt int64
	limits      Tenant
}

// Fractions of an unused share that are never lent.
const (
	reserveFraction     = 0.1 // a tenant that comes back with a burst of this size does not wait
	heldReserveFraction = 0.5 // for a tenant with held slots: the first txns of its event do not wait
)

// DefaultBurst is the burst of a rate that has none set: a tenth of a second's txns.
func DefaultBurst(rate float64) float64 { return max(1, rate/10) }

// reclaimDuration is how long a tenant that was rejected within its share lends nothing, in nanoseconds: long against
// a txn.
const reclaimDuration = int64(1e9)

// RejectReason is why a tenant may not have one more txn or connection.
type RejectReason uint8

// Allowed means that the tenant may.
const (
	Allowed              RejectReason = iota
	GatewayFull                       // the limit on all txns in flight is reached
	ShareInUse                        // the tenant uses its share, and the unused parts of others are lent
	TenantInFlight                    // the tenant's own limit on txns in flight is reached
	TenantBytes                       // the same of bytes in flight
	TenantRate                        // the same of txns a second
	TenantConnections                 // the same of connections
	WrongGroup                        // the route does not allow the txn's group
	AgreementUnavailable              // this gateway can't tell whether the agreed settings are still in force
)

// String returns the text for clients and logs.
func (r RejectReason) String() string {
	return [...]string{"free", "too many txns in flight", "the tenant's share is in use", "the tenant's txns in flight",
		"the tenant's bytes in flight", "the tenant's rate", "the tenant's connections", "the route does not go to that cluster", "the fleet's agreement is not renewed"}[r]
}

// NewShares creates the shares of a table. Txns that began under another table are not counted; the host adds those in
// flight with CarryOver.
func NewShares(t *Table, now int64) *Shares {
	s := &Shares{maxInFlight: t.MaxInFlight}
	totalWeight := 0.0
	for i := range t.Tenants {
		totalWeight += t.Tenants[i].Weight
	}
	for i := range t.Tenants {
		x := tenantShare{limits: t.Tenants[i], tokens: t.Tenants[i].Burst, refilledAt: now}
		if x.limits.FleetWide { // package quota divides these limits among the gateways
			x.limits.MaxInFlight, x.limits.MaxBytes, x.limits.Rate, x.limits.MaxConnections = 0, 0, 0, 0
		}
		if totalWeight > 0 {
			x.byWeight = float64(s.maxInFlight) * x.limits.Weight / totalWeight
		}
		x.own = x.byWeight
		s.tenants = append(s.tenants, x)
		s.reserved += x.reserve()
	}
	return s
}

// reserve is the part of a tenant's share that no other tenant may borrow now.
func (x *tenantShare) reserve() float64 {
	fraction := reserveFraction
	switch {
	case x.reclaims:
		fraction = 1
	case x.heldSlots > 0:
		fraction = heldReserveFraction
	}
	return fraction * max(0, x.own-float64(x.inFlight))
}

// HoldSlots holds in-flight slots for tenants, by their indexes: from now on each has so many txns in flight of its
// own, and the others share the rest by their weights. Held slots that are unused are lent, except for a larger
// reserve. A tenant that is not in the map has no held slots any more. It returns how many slots are held; if they
// exceed the limit, all are reduced by the same ratio.
func (s *Shares) HoldSlots(slots map[int32]int) (held int) {
	requested, rest := 0, 0.0
	for _, n := range slots {
		requested += n
	}
	ratio := 1.0
	if requested > s.maxInFlight {
		ratio = float64(s.maxInFlight) / float64(max(1, requested))
	}
	weight := 0.0
	for i := range s.tenants {
		if x := &s.tenants[i]; slots[int32(i)] == 0 {
			weight += x.byWeight
		}
	}
	rest = float64(s.maxInFlight) - min(float64(s.maxInFlight), float64(requested))
	s.reserved = 0
	for i := range s.tenants {
		x := &s.tenants[i]
		if x.heldSlots = slots[int32(i)]; x.heldSlots > 0 {
			x.own = float64(x.heldSlots) * ratio
			held += x.heldSlots
		} else if x.own = 0; weight > 0 {
			x.own = rest * x.byWeight / weight
		}
		if requested == 0 {
			x.own = x.byWeight
		}
		s.reserved += x.reserve()
	}
	return min(held, s.maxInFlight)
}

// setReclaims sets whether a tenant reclaims its share.
func (s *Shares) setReclaims(tenant int32, reclaims bool, now int64) {
	x := &s.tenants[tenant]
	s.reserved -= x.reserve()
	if reclaims && !x.reclaims {
		s.reclaiming = append(s.reclaiming, tenant)
	}
	x.reclaims, x.reclaimedAt = reclaims, now
	s.reserved += x.reserve()
}

// expireReclaims lets tenants lend again that were last rejected reclaimDuration ago.
func (s *Shares) expireReclaims(now int64) {
	kept := s.reclaiming[:0]
	for _, n := range s.reclaiming {
		if now-s.tenants[n].reclaimedAt >= reclaimDuration {
			s.setReclaims(n, false, now)
		} else {
			kept = append(kept, n)
		}
	}
	s.reclaiming = kept
}

// CanBegin reports whether a tenant may have a txn of so many bytes now, and if not, after how many nanoseconds its
// rate allows one; 0 is unknown. A tenant below 0 is none: only the limit on all txns applies.
func (s *Shares) CanBegin(tenant int32, bytes, now int64) (reason RejectReason, after int64) {
	s.expireReclaims(now)
	if s.maxInFlight > 0 && s.inFlight >= s.maxInFlight {
		if tenant >= 0 && float64(s.tenants[tenant].inFlight+1) <= s.tenants[tenant].own {
			s.setReclaims(tenant, true, now)
		}
		return GatewayFull, 0
	}
	if tenant < 0 {
		if s.maxInFlight > 0 && float64(s.inFlight+1)+s.reserved > float64(s.maxInFlight) {
			return GatewayFull, 0
		}
		return Allowed, 0
	}
	x := &s.tenants[tenant]
	l := &x.limits
	switch {
	case l.MaxInFlight > 0 && x.inFlight >= l.MaxInFlight:
		return TenantInFlight, 0
	case l.MaxBytes > 0 && x.bytes > 0 && x.bytes+bytes > l.MaxBytes: // a single txn may be larger than the limit
		return TenantBytes, 0
	case s.maxInFlight > 0 && float64(x.inFlight+1) > x.own && float64(s.inFlight+1)+s.reserved-x.reserve() > float64(s.maxInFlight):
		return ShareInUse, 0
	}
	if l.Rate > 0 {
		x.refill(now)
		if x.tokens < 1 {
			return TenantRate, int64(math.Ceil((1 - x.tokens) / l.Rate * 1e9))
		}
	}
	return Allowed, 0
}

func (x *tenantShare) refill(now int64) {
	if now > x.refilledAt {
		x.tokens = min(x.limits.Burst, x.tokens+float64(now-x.refilledAt)/1e9*x.limits.Rate)
		x.refilledAt = now
	}
}

// Begin counts a txn that CanBegin allowed.
func (s *Shares) Begin(tenant int32, bytes, now int64) {
	s.addInFlight(tenant, 1, bytes)
	if tenant >= 0 && s.tenants[tenant].limits.Rate > 0 {
		s.tenants[tenant].refill(now)
		s.tenants[tenant].tokens--
	}
}

// CarryOver counts a txn that began under another table: it is in flight, but took its token of the rate there.
func (s *Shares) CarryOver(tenant int32, bytes int64) { s.addInFlight(tenant, 1, bytes) }

// End removes a txn that has ended.
func (s *Shares) End(tenant int32, bytes int64) { s.addInFlight(tenant, -1, -bytes) }

func (s *Shares) addInFlight(tenant int32, n int, bytes int64) {
	s.inFlight += n
	if tenant < 0 {
		return
	}
	x := &s.tenants[tenant]
	s.reserved -= x.reserve()
	x.inFlight += n
	x.bytes += bytes
	s.reserved += x.reserve()
}

// CanConnect reports whether a tenant may have one more connection.
func (s *Shares) CanConnect(tenant int32) bool {
	return tenant < 0 || s.tenants[tenant].limits.MaxConnections == 0 || s.tenants[tenant].clients < s.tenants[tenant].limits.MaxConnections
}

// AddConnections counts connections that open, or with a number below 0 close.
func (s *Shares) AddConnections(tenant int32, n int) {
	if tenant >= 0 {
		s.tenants[tenant].clients += n
	}
}

// Usage returns how many txns a tenant has in flight, and how many it may have without borrowing.
func (s *Shares) Usage(tenant int32) (inFlight int, own float64) {
	x := &s.tenants[tenant]
	return x.inFlight, x.own
}
