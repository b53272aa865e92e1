package gateway

import (
	"cmp"
	"context"
	"slices"

	"magpieglade/fleet"
	"magpieglade/quota"
	"magpieglade/routes"
)

// fleetLimits holds the quota keys of a tenant's fleet-wide limits, 0 for a limit that it does not have.
type fleetLimits struct {
	tenant                                         string
	rateKey, inFlightKey, bytesKey, connectionsKey uint64
}

// fleetLimitsOf returns the fleet-wide limits of a table: their keys by tenant, nil for a tenant whose limits apply to each
// gateway separately, and the limits themselves.
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

// updateFleetLimits passes the fleet-wide limits to the quota module. While another version is pending the lower limit of
// both versions applies.
func (gs *generations) updateFleetLimits() {
	if gs.g.quotas == nil {
		return
	}
	var limits []quota.Limit
	for _, x := range []*generation{gs.inForce, gs.pending} {
		if x == nil {
			continue
		}
		var added []quota.Limit
		x.fleetLimits, added = fleetLimitsOf(x.table)
		for _, limit := range added {
			i := slices.IndexFunc(limits, func(o quota.Limit) bool { return o.Key == limit.Key })
			if i < 0 {
				limits = append(limits, limit)
				continue
			}
			limits[i].Amount, limits[i].Burst = min(limits[i].Amount, limit.Amount), min(limits[i].Burst, limit.Burst)
		}
	}
	if err := gs.g.quotas.SetLimits(limits); err != nil {
		gs.g.log.Error("fleet-wide limits are rejected", "why", err)
	}
	for _, txnRef := range gs.g.txns.Refs() { // txns in flight count, whichever version they began under
		t := gs.g.txns.Get(txnRef)
		if t.countedInFlight && len(t.fleetLimits) == 0 {
			t.fleetLimits = gs.fleetLimitsOf(t)
			for _, limit := range t.fleetLimits {
				gs.g.quotas.Module.AddExisting(limit.inFlightKey, 1)
				t.fleetLimitBytes = gs.g.quotas.Module.ClampToLimit(limit.bytesKey, int64(t.querySize))
				gs.g.quotas.Module.AddExisting(limit.bytesKey, t.fleetLimitBytes)
			}
		}
	}
}

// fleetLimitsOf returns the fleet-wide limits that a txn counts against: those of its tenant in the version in force and in
// the pending one.
func (gs *generations) fleetLimitsOf(t *txn) (limits []*fleetLimits) {
	if n := t.route.Tenant; n >= 0 && int(n) < len(gs.inForce.fleetLimits) && gs.inForce.fleetLimits[n] != nil && t.generation == gs.inForce {
		limits = append(limits, gs.inForce.fleetLimits[n])
	}
	if gs.pending != nil && t.nextTenant >= 0 && int(t.nextTenant) < len(gs.pending.fleetLimits) {
		if pending := gs.pending.fleetLimits[t.nextTenant]; pending != nil && (len(limits) == 0 || limits[0].tenant != pending.tenant) {
			limits = append(limits, pending)
		}
	}
	return limits
}

// checkFleetLimits reports whether a txn may begin under the fleet-wide limits. unallocated reports that no allocation is held
// yet and one has been requested.
func (gs *generations) checkFleetLimits(t *txn) (reason routes.RejectReason, retryAfter int64, unallocated bool) {
	quotas := gs.g.quotas
	if quotas == nil || len(gs.inForce.fleetLimits) == 0 && gs.pending == nil {
		return routes.Allowed, 0, false
	}
	t.fleetLimits = gs.fleetLimitsOf(t)
	if len(t.fleetLimits) == 0 {
		return routes.Allowed, 0, false
	}
	quotas.UpdateClock()
	quotas.RequestRound()
	t.fleetLimitBytes = int64(t.querySize)
	for _, limits := range t.fleetLimits {
		t.fleetLimitBytes = min(t.fleetLimitBytes, quotas.Module.ClampToLimit(limits.bytesKey, t.fleetLimitBytes))
		for _, check := range [...]struct {
			key    uint64
			units  int64
			reason routes.RejectReason
		}{{limits.rateKey, quota.UnitsPerTxn, routes.TenantRate}, {limits.inFlightKey, 1, routes.TenantInFlight}, {limits.bytesKey, t.fleetLimitBytes, routes.TenantBytes}} {
			if check.key == 0 {
				continue
			}
			if ok, wait, noAllocation := quotas.Module.CanBegin(check.key, check.units); !ok && reason == routes.Allowed {
				reason, retryAfter, unallocated = check.reason, wait, noAllocation
			}
		}
	}
	if reason != routes.Allowed {
		t.fleetLimits = nil
	}
	return reason, retryAfter, unallocated
}

// acquireFleetLimits counts a txn that checkFleetLimits allowed.
func (gs *generations) acquireFleetLimits(t *txn) {
	for _, limits := range t.fleetLimits {
		gs.g.quotas.Module.Begin(limits.rateKey, quota.UnitsPerTxn)
		gs.g.quotas.Module.Begin(limits.inFlightKey, 1)
		gs.g.quotas.Module.Begin(limits.bytesKey, t.fleetLimitBytes)
	}
}

// releaseFleetLimits ends the count of a txn's concurrency limits.
func (gs *generations) releaseFleetLimits(t *txn) {
	for _, limits := range t.fleetLimits {
		gs.g.quotas.Module.End(limits.inFlightKey, 1)
		gs.g.quotas.Module.End(limits.bytesKey, t.fleetLimitBytes)
	}
	t.fleetLimits = nil
}

// acquireConnection reports whether the fleet-wide connection limit of a tenant admits a client, and counts the client if so.
// unallocated is as for checkFleetLimits.
func (gs *generations) acquireConnection(c *client, tenant int32) (ok, unallocated bool) {
	if int(tenant) >= len(gs.inForce.fleetLimits) || gs.inForce.fleetLimits[tenant] == nil || gs.inForce.fleetLimits[tenant].connectionsKey == 0 {
		return true, false
	}
	quotas, key := gs.g.quotas, gs.inForce.fleetLimits[tenant].connectionsKey
	quotas.UpdateClock()
	quotas.RequestRound()
	if ok, _, unallocated = quotas.Module.CanBegin(key, 1); ok {
		quotas.Module.Begin(key, 1)
		c.connectionLimit = key
	}
	return ok, unallocated
}

// waitForAllocation reports whether a client's query or connection is to wait for the first allocation of a fleet-wide limit,
// which takes at most quota.MaxFirstWait.
func (cs *clients) waitForAllocation(c *client) bool {
	now := int64(cs.g.clock.now())
	c.allocationWaitSince, c.allocatorResponsesSeen = cmp.Or(c.allocationWaitSince, now), cs.g.quotas.Module.ResponseCount()
	return now-c.allocationWaitSince < quota.MaxFirstWait
}

// stillAwaitsAllocation reports, without a new request, whether a waiting client goes on waiting: no response has come since
// waitForAllocation.
func (cs *clients) stillAwaitsAllocation(c *client) bool {
	return c.allocationWaitSince != 0 && c.allocatorResponsesSeen == cs.g.quotas.Module.ResponseCount() && int64(cs.g.clock.now())-c.allocationWaitSince < quota.MaxFirstWait
}

// FleetLimits returns the state of the fleet-wide limits at this gateway, nil if it takes part in no agreement.
func (g *Gateway) FleetLimits(ctx context.Context) (limits []fleet.LimitStatus, err error) {
	err = g.inLoop(ctx, func() error {
		if g.quotas != nil {
			limits = g.quotas.Limits()
		}
		return nil
	})
	return limits, err
}
