package gateway

import (
	"cmp"
	"context"
	"slices"

	"magpieglade/fleet"
	"magpieglade/quota"
	"magpieglade/routes"
)

// fleetBounds are the keys of a tenant's bounds that are the fleet's, 0 where it has no such bound.
type fleetBounds struct {
	tenant                        string
	rate, flight, bytes, connects uint64
}

// fleetBoundsOf gives them by tenant, nil for one whose bounds are each gateway's own.
func fleetBoundsOf(t *routes.Table) (all []*fleetBounds, bounds []quota.Limit) {
	if t == nil {
		return nil, nil
	}
	for i := range t.Tenants {
		x := &t.Tenants[i]
		if !x.FleetWide {
			all = append(all, nil)
			continue
		}
		add := func(what string, kind quota.LimitKind, amount, burst int64) uint64 {
			if amount == 0 {
				return 0
			}
			b := quota.Limit{Name: x.Name + ", " + what, Kind: kind, Amount: amount, Burst: burst}
			b.Key = quota.KeyOf(b.Name)
			bounds = append(bounds, b)
			return b.Key
		}
		all = append(all, &fleetBounds{x.Name,
			add("rate", quota.Rate, int64(x.Rate*quota.UnitsPerTxn), int64(x.Burst*quota.UnitsPerTxn)),
			add("in flight", quota.Concurrency, int64(x.MaxInFlight), 0),
			add("bytes", quota.Concurrency, x.MaxBytes, 0),
			add("connections", quota.Concurrency, int64(x.MaxConnections), 0)})
	}
	return all, bounds
}

// rebound tells the module of the fleet's bounds: while another version is on its way the lesser of both.
func (gs *generations) rebound() {
	if gs.g.quotas == nil {
		return
	}
	var all []quota.Limit
	for _, x := range []*generation{gs.inForce, gs.pending} {
		if x == nil {
			continue
		}
		var bounds []quota.Limit
		x.fleetLimits, bounds = fleetBoundsOf(x.table)
		for _, b := range bounds {
			i := slices.IndexFunc(all, func(o quota.Limit) bool { return o.Key == b.Key })
			if i < 0 {
				all = append(all, b)
				continue
			}
			all[i].Amount, all[i].Burst = min(all[i].Amount, b.Amount), min(all[i].Burst, b.Burst)
		}
	}
	if err := gs.g.quotas.SetLimits(all); err != nil {
		gs.g.log.Error("bounds of the fleet are not taken", "why", err)
	}
	for _, ref := range gs.g.txns.Refs() { // what is under way counts, whatever it was begun under
		t := gs.g.txns.Get(ref)
		if t.counted && len(t.bounds) == 0 {
			t.bounds = gs.boundsOf(t)
			for _, b := range t.bounds {
				gs.g.quotas.Module.AddExisting(b.flight, 1)
				t.bytes = gs.g.quotas.Module.ClampToLimit(b.bytes, int64(t.size))
				gs.g.quotas.Module.AddExisting(b.bytes, t.bytes)
			}
		}
	}
}

// boundsOf are the fleet's bounds that a txn counts against: its tenant's, and that of a version that comes next.
func (gs *generations) boundsOf(t *txn) (all []*fleetBounds) {
	if n := t.route.Tenant; n >= 0 && int(n) < len(gs.inForce.fleetLimits) && gs.inForce.fleetLimits[n] != nil && t.generation == gs.inForce {
		all = append(all, gs.inForce.fleetLimits[n])
	}
	if gs.pending != nil && t.alsoTenant >= 0 && int(t.alsoTenant) < len(gs.pending.fleetLimits) {
		if b := gs.pending.fleetLimits[t.alsoTenant]; b != nil && (len(all) == 0 || all[0].tenant != b.tenant) {
			all = append(all, b)
		}
	}
	return all
}

// mayOfFleet tells whether a txn may begin by the fleet's bounds; first that an answer is on its way which may let it.
func (gs *generations) mayOfFleet(t *txn) (why routes.RejectReason, after int64, first bool) {
	q := gs.g.quotas
	if q == nil || len(gs.inForce.fleetLimits) == 0 && gs.pending == nil {
		return routes.Allowed, 0, false
	}
	t.bounds = gs.boundsOf(t)
	if len(t.bounds) == 0 {
		return routes.Allowed, 0, false
	}
	q.UpdateClock()
	q.RequestRound()
	t.bytes = int64(t.size)
	for _, b := range t.bounds {
		t.bytes = min(t.bytes, q.Module.ClampToLimit(b.bytes, t.bytes))
		for _, x := range [...]struct {
			key   uint64
			units int64
			why   routes.RejectReason
		}{{b.rate, quota.UnitsPerTxn, routes.TenantRate}, {b.flight, 1, routes.TenantInFlight}, {b.bytes, t.bytes, routes.TenantBytes}} {
			if x.key == 0 {
				continue
			}
			if ok, wait, none := q.Module.CanBegin(x.key, x.units); !ok && why == routes.Allowed {
				why, after, first = x.why, wait, none
			}
		}
	}
	if why != routes.Allowed {
		t.bounds = nil
	}
	return why, after, first
}

// beginOfFleet counts a txn that mayOfFleet allowed, endOfFleet takes it back.
func (gs *generations) beginOfFleet(t *txn) {
	for _, b := range t.bounds {
		gs.g.quotas.Module.Begin(b.rate, quota.UnitsPerTxn)
		gs.g.quotas.Module.Begin(b.flight, 1)
		gs.g.quotas.Module.Begin(b.bytes, t.bytes)
	}
}

func (gs *generations) endOfFleet(t *txn) {
	for _, b := range t.bounds {
		gs.g.quotas.Module.End(b.flight, 1)
		gs.g.quotas.Module.End(b.bytes, t.bytes)
	}
	t.bounds = nil
}

// mayConnect tells whether a client of a tenant may be let in by the fleet's bound, and counts it; first is as above.
func (gs *generations) mayConnect(c *client, tenant int32) (ok, first bool) {
	if int(tenant) >= len(gs.inForce.fleetLimits) || gs.inForce.fleetLimits[tenant] == nil || gs.inForce.fleetLimits[tenant].connects == 0 {
		return true, false
	}
	q, key := gs.g.quotas, gs.inForce.fleetLimits[tenant].connects
	q.UpdateClock()
	q.RequestRound()
	if ok, _, first = q.Module.CanBegin(key, 1); ok {
		q.Module.Begin(key, 1)
		c.connects = key
	}
	return ok, first
}

// waitsForPart tells whether a client's query, or its coming, is to wait a moment for a first part of a bound of the fleet.
func (cs *clients) waitsForPart(c *client) bool {
	now := int64(cs.g.clock.now())
	c.partAt, c.partSeen = cmp.Or(c.partAt, now), cs.g.quotas.Module.ResponseCount()
	return now-c.partAt < quota.MaxFirstWait
}

// stillWaits tells, without asking for more, whether one that waits goes on to: nothing has come since it was told so.
func (cs *clients) stillWaits(c *client) bool {
	return c.partAt != 0 && c.partSeen == cs.g.quotas.Module.ResponseCount() && int64(cs.g.clock.now())-c.partAt < quota.MaxFirstWait
}

// Shares tells of the bounds of the fleet as this gateway has them; nil where it agrees on nothing with others.
func (g *Gateway) Shares(ctx context.Context) (all []fleet.LimitStatus, err error) {
	err = g.inLoop(ctx, func() error {
		if g.quotas != nil {
			all = g.quotas.Limits()
		}
		return nil
	})
	return all, err
}
