package gateway

import (
	"math/rand/v2"
	"strings"
	"testing"

	"magpieglade/decide"
)

// From when discovery has a change and can be reached until the gateway has it: six seconds at most, by the module's pauses and
// the spans of calls here, whatever failed before and however: refused, silent, an answer that drips, a watch that fell silent
// at any moment. The machine's own lateness has what is left of the six.
func TestListChangeKnownWithinSixSeconds(t *testing.T) {
	const ms, maxDelay = decide.Millisecond, 6000 * decide.Millisecond
	var longest decide.Nanos
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 34))
		randomUpTo := func(span decide.Nanos) decide.Nanos { return decide.Nanos(rng.Int64N(int64(span))) }
		settings := strings.Replace(heldSettings, `"askWithinMs":10000`, `"askWithinMs":`+[]string{"4000", "10000", "60000"}[seed%3], 1)
		g, err := decide.New(seed, []byte(settings))
		if err != nil {
			t.Fatal(err)
		}
		now := 60000 * ms
		// asks lets time pass until the module asks.
		awaitRequest := func() {
			for end := now + 20000*ms; ; now += ms {
				g.BeginRound(now)
				for d, ok := g.Next(); ok; d, ok = g.Next() {
					if d.Kind == decide.SubscribeList {
						return
					}
				}
				if now > end {
					t.Fatalf("seed %d: it does not ask", seed)
				}
			}
		}
		failCall := func() { g.BeginRound(now); g.MemberListFailed() }
		g.BeginRound(now)
		g.EndMemberList(decide.CachedList)
		awaitRequest()
		now += randomUpTo(callTimeout)
		g.BeginRound(now)
		g.EndMemberList(decide.FullList)
		var reachableSince decide.Nanos // when discovery has the change and can be reached
		if seed%2 == 0 {      // a watch falls silent, the change comes right after
			reachableSince = now + randomUpTo(watchWaitMs*ms)
			now += watchWaitMs*ms + watchMargin
			failCall()
			awaitRequest()
		} else { // discovery is down for a while, and is back in the middle of a call or of a pause
			reachableSince = now + randomUpTo(30000*ms)
			for failCall(); ; failCall() {
				if awaitRequest(); now >= reachableSince {
					break
				}
				now += []decide.Nanos{0, ms, randomUpTo(callTimeout), callTimeout}[rng.IntN(4)]
			}
		}
		now += randomUpTo(callTimeout)
		longest = max(longest, now-reachableSince)
	}
	t.Logf("longest of 2,000: %d ms", longest/ms)
	if longest > maxDelay {
		t.Errorf("told after %d ms", longest/ms)
	}
}
