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
type fleetLimits struct {
	tenant                                         string
	rateKey, inFlightKey, bytesKey, connectionsKey uint64
}

// fleetBoundsOf gives them by tenant, nil for one whose bounds are each gateway's own.
func fleetLimitsOf(t *routes.Table) (byTenant []*fleetLimits, limits []quota.Limit) {
	if t == nil {
		return nil, nil
	}
	for i := range t.Tenants {
		tenant := &t.Tenants[i]
		if !tenant.FleetWide {
			byTenant = append(byTenant, nil)
			continue
		}
		add := func(suffix string, kind quota.LimitKind, amount, burst int64) uint64 {
			if amount == 0 {
				return 0
			}
			limit := quota.Limit{Name: tenant.Name + ", " + suffix, Kind: kind, Amount: amount, Burst: burst}
			limit.Key = quota.KeyOf(limit.Name)
			limits = append(limits, limit)
			return limit.Key
		}
		byTenant = append(byTenant, &fleetLimits{tenant.Name,
			add("rate", quota.Rate, int64(tenant.Rate*quota.UnitsPerTxn), int64(tenant.Burst*quota.UnitsPerTxn)),
			add("in flight", quota.Concurrency, int64(tenant.MaxInFlight), 0),
			add("bytes", quota.Concurrency, tenant.MaxBytes, 0),
			add("connections", quota.Concurrency, int64(tenant.MaxConnections), 0)})
	}
	return byTenant, limits
}

// rebound tells the module of the fleet's bounds: while another version is on its way the lesser of both.
func (gs *generations) updateFleetLimits() {
	if gs.g.quotas == nil {
		return
	}
	var limits []quota.Limit
	for _, x := range []*generation{gs.inForce, gs.told} {
		if x == nil {
			continue
		}
		var added []quota.Limit
		x.fleet, added = fleetLimitsOf(x.table)
		for _, b := range added {
			i := slices.IndexFunc(limits, func(o quota.Limit) bool { return o.Key == b.Key })
			if i < 0 {
				limits = append(limits, b)
				continue
			}
			limits[i].Amount, limits[i].Burst = min(limits[i].Amount, b.Amount), min(limits[i].Burst, b.Burst)
		}
	}
	if err := gs.g.quotas.SetLimits(limits); err != nil {
		gs.g.log.Error("bounds of the fleet are not taken", "why", err)
	}
	for _, ref := range gs.g.txns.Refs() { // what is under way counts, whatever it was begun under
		t := gs.g.txns.Get(ref)
		if t.counted && len(t.bounds) == 0 {
			t.bounds = gs.fleetLimitsOf(t)
			for _, b := range t.bounds {
				gs.g.quotas.Module.AddExisting(b.inFlightKey, 1)
				t.bytes = gs.g.quotas.Module.ClampToLimit(b.bytesKey, int64(t.size))
				gs.g.quotas.Module.AddExisting(b.bytesKey, t.bytes)
			}
		}
	}
}

// boundsOf are the fleet's bounds that a txn counts against: its tenant's, and that of a version that comes next.
func (gs *generations) fleetLimitsOf(t *txn) (limits []*fleetLimits) {
	if n := t.route.Tenant; n >= 0 && int(n) < len(gs.inForce.fleet) && gs.inForce.fleet[n] != nil && t.generation == gs.inForce {
		limits = append(limits, gs.inForce.fleet[n])
	}
	if gs.told != nil && t.alsoTenant >= 0 && int(t.alsoTenant) < len(gs.told.fleet) {
		if b := gs.told.fleet[t.alsoTenant]; b != nil && (len(limits) == 0 || limits[0].tenant != b.tenant) {
			limits = append(limits, b)
		}
	}
	return limits
}

// mayOfFleet tells whether a txn may begin by the fleet's bounds; first that an answer is on its way which may let it.
func (gs *generations) checkFleetLimits(t *txn) (reason routes.RejectReason, retryAfter int64, unallocated bool) {
	q := gs.g.quotas
	if q == nil || len(gs.inForce.fleet) == 0 && gs.told == nil {
		return routes.Allowed, 0, false
	}
	t.bounds = gs.fleetLimitsOf(t)
	if len(t.bounds) == 0 {
		return routes.Allowed, 0, false
	}
	q.UpdateClock()
	q.RequestRound()
	t.bytes = int64(t.size)
	for _, b := range t.bounds {
		t.bytes = min(t.bytes, q.Module.ClampToLimit(b.bytesKey, t.bytes))
		for _, x := range [...]struct {
			key    uint64
			units  int64
			reason routes.RejectReason
		}{{b.rateKey, quota.UnitsPerTxn, routes.TenantRate}, {b.inFlightKey, 1, routes.TenantInFlight}, {b.bytesKey, t.bytes, routes.TenantBytes}} {
			if x.key == 0 {
				continue
			}
			if ok, wait, none := q.Module.CanBegin(x.key, x.units); !ok && reason == routes.Allowed {
				reason, retryAfter, unallocated = x.reason, wait, none
			}
		}
	}
	if reason != routes.Allowed {
		t.bounds = nil
	}
	return reason, retryAfter, unallocated
}

// beginOfFleet counts a txn that mayOfFleet allowed, endOfFleet takes it back.
func (gs *generations) acquireFleetLimits(t *txn) {
	for _, b := range t.bounds {
		gs.g.quotas.Module.Begin(b.rateKey, quota.UnitsPerTxn)
		gs.g.quotas.Module.Begin(b.inFlightKey, 1)
		gs.g.quotas.Module.Begin(b.bytesKey, t.bytes)
	}
}

func (gs *generations) releaseFleetLimits(t *txn) {
	for _, b := range t.bounds {
		gs.g.quotas.Module.End(b.inFlightKey, 1)
		gs.g.quotas.Module.End(b.bytesKey, t.bytes)
	}
	t.bounds = nil
}

// mayConnect tells whether a client of a tenant may be let in by the fleet's bound, and counts it; first is as above.
func (gs *generations) acquireConnection(c *client, tenant int32) (ok, unallocated bool) {
	if int(tenant) >= len(gs.inForce.fleet) || gs.inForce.fleet[tenant] == nil || gs.inForce.fleet[tenant].connectionsKey == 0 {
		return true, false
	}
	q, key := gs.g.quotas, gs.inForce.fleet[tenant].connectionsKey
	q.UpdateClock()
	q.RequestRound()
	if ok, _, unallocated = q.Module.CanBegin(key, 1); ok {
		q.Module.Begin(key, 1)
		c.connects = key
	}
	return ok, unallocated
}

// waitsForPart tells whether a client's query, or its coming, is to wait a moment for a first part of a bound of the fleet.
func (cs *clients) waitForAllocation(c *client) bool {
	now := int64(cs.g.clock.now())
	c.partAt, c.partSeen = cmp.Or(c.partAt, now), cs.g.quotas.Module.ResponseCount()
	return now-c.partAt < quota.MaxFirstWait
}

// stillWaits tells, without asking for more, whether one that waits goes on to: nothing has come since it was told so.
func (cs *clients) stillAwaitsAllocation(c *client) bool {
	return c.partAt != 0 && c.partSeen == cs.g.quotas.Module.ResponseCount() && int64(cs.g.clock.now())-c.partAt < quota.MaxFirstWait
}

// Shares tells of the bounds of the fleet as this gateway has them; nil where it agrees on nothing with others.
func (g *Gateway) FleetLimits(ctx context.Context) (limits []fleet.LimitStatus, err error) {
	err = g.inLoop(ctx, func() error {
		if g.quotas != nil {
			limits = g.quotas.Limits()
		}
		return nil
	})
	return limits, err
}
