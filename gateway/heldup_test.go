package gateway

import (
	"strings"
	"testing"
	"time"

	"magpieglade/decide"
	"magpieglade/internal/slots"
	"magpieglade/session"
)

// TestHeldUpTurnDoesNotLowerASessionsFloor guards against a stale session read after a turn that was held up before the read was
// routed: the age of its floor was taken from a later clock than the one from which the decision module subtracts it.
func TestHeldUpTurnDoesNotLowerASessionsFloor(t *testing.T) {
	const readID, ms = 7, decide.Millisecond
	primary, replica := decide.Server{1}, decide.Server{2}
	for _, test := range []struct {
		name    string
		lag     decide.Nanos // of the replica behind the floor
		wantsIt bool
	}{
		{"replica behind the floor", 20 * ms, false},
		{"replica at the floor", 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := strings.NewReplacer(`"await"`, `"none"`, `"how":"answers"`, `"how":"probe"`).Replace(sessionTestSettings)
			module, err := decide.New(1, []byte(settings))
			if err != nil {
				t.Fatal(err)
			}
			heldUp := time.Duration(0)
			g := &Gateway{clock: newClock(func() time.Duration { return heldUp }), module: module, byID: map[uint64]slots.Ref{}}
			now := g.clock.now()
			module.BeginRound(now)
			module.UpdateMember(primary, 0, true, decide.Ready, 0, 1, 0, 0)
			module.UpdateMember(replica, 0, false, decide.Ready, 0, 1, 0, 0)
			module.EndMemberList(decide.FullList)
			floor := now - 100*ms
			module.ProbeEnded(replica, decide.Committed, 0, []float64{float64(floor-test.lag) / 1e9, 2})
			g.byID[readID] = g.txns.Add(txn{id: readID, class: 2, awaitingFloor: true, heldUntil: now + 3000*ms})

			heldUp = 40 * time.Millisecond
			sessionHost{g}.Serve(readID, session.Position(g.sessionPosition(floor)))
			sentTo := decide.Server{}
			for d, ok := module.Next(); ok; d, ok = module.Next() {
				if d.Kind == decide.Submit {
					sentTo = d.Server
				}
			}
			if (sentTo == replica) != test.wantsIt {
				t.Errorf("sent to %v", sentTo)
			}
		})
	}
}
