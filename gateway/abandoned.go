package gateway

import "magpieglade/decide"

// abandonedWrites remembers writes that must run once only and whose clients left before their answer, although they may have
// run. A client that believes its request unread sends it again under the same id: it must not run a second time.
type abandonedWrites struct {
	expireAt map[uint64]decide.Nanos // by id
	order    []uint64                // oldest first
}

const (
	abandonedWriteTime = 10_000 * decide.Millisecond // for which a write is remembered: longer than clients wait
	maxAbandonedWrites = 1 << 14
)

// add remembers a write.
func (a *abandonedWrites) add(id uint64, now decide.Nanos) {
	if a.expireAt == nil {
		a.expireAt = map[uint64]decide.Nanos{}
	}
	for len(a.order) > 0 && (a.expireAt[a.order[0]] <= now || len(a.order) >= maxAbandonedWrites) {
		delete(a.expireAt, a.order[0])
		a.order = a.order[1:]
	}
	if _, known := a.expireAt[id]; !known {
		a.order = append(a.order, id)
	}
	a.expireAt[id] = now + abandonedWriteTime
}

// contains reports whether a write is remembered.
func (a *abandonedWrites) contains(id uint64, now decide.Nanos) bool { return a.expireAt[id] > now }

// mayHaveRun reports whether a submission with this result may have had an effect.
func mayHaveRun(r decide.Result) bool {
	switch r {
	case decide.Committed, decide.Failed, decide.TimedOut, decide.Broken, decide.Cancelled:
		return true
	}
	return false
}
