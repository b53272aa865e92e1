package contracts

import "slices"

// Reservation is the capacity that each gateway reserves for a tenant now: in-flight slots guaranteed to the
// tenant. Unused slots are lent to others and return as the txns that borrowed them end.
type Reservation struct {
	Tenant   string
	InFlight int
	Names    []string // of the contracts
}

// Reservations returns the reservations at a time, by tenant, and when they change next, 0 for never. Slots
// are reserved from the start of the ramp to the end of the cooldown by the gateway's own clock, so ramp and
// cooldown must cover the clock difference between gateways.
func (b *Book) Reservations(now int64) (all []Reservation, next int64) {
	noteChange := func(at int64) {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	for _, c := range b.BookedContracts() {
		t := &c.Latest().Terms
		phase, h := t.PhaseAt(now)
		switch phase {
		case Ended:
			continue
		case Pending:
			noteChange(h.From)
			continue
		}
		noteChange(h.To)
		i := slices.IndexFunc(all, func(x Reservation) bool { return x.Tenant == t.Tenant })
		if i < 0 {
			i = len(all)
			all = append(all, Reservation{Tenant: t.Tenant})
		}
		all[i].InFlight += t.InFlight
		all[i].Names = append(all[i].Names, t.Name)
	}
	slices.SortFunc(all, func(x, y Reservation) int {
		if x.Tenant < y.Tenant {
			return -1
		}
		return 1
	})
	return all, next
}
