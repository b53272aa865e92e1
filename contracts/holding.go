package contracts

import "slices"

// Holding is the room that each gateway holds for a tenant now: txns in flight that nobody else may keep from it. What it
// leaves of that is lent, and back as what was lent ends.
type Reservation struct {
	Tenant   string
	InFlight int
	Names    []string // of the contracts
}

// Holdings are those of a time, by tenant, and when they change next, 0 for never. Room is held from the ramp on to the end of
// the cool-down; by the clock of the gateway, so clocks that are apart have it begin and end apart by as much, which ramp and
// cool-down are to cover.
func (b *Book) Reservations(now int64) (all []Reservation, next int64) {
	sooner := func(at int64) {
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
			sooner(h.From)
			continue
		}
		sooner(h.To)
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
