package gateway

import (
	"math/rand/v2"
	"strings"
	"testing"

	"magpieglade/decide"
)

// TestListChangeKnownWithinSixSeconds checks that at most six seconds pass from the moment when discovery has a change and can be
// reached until the gateway has it, by the module's backoffs and the timeouts of calls, after any earlier failure: a refused or
// silent call, a response that trickles in, or a watch that fell silent at any moment. What is left of the six seconds is for
// delays of the machine.
func TestListChangeKnownWithinSixSeconds(t *testing.T) {
	const ms, maxDelay = decide.Millisecond, 6000 * decide.Millisecond
	var longest decide.Nanos
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 34))
		randomUpTo := func(duration decide.Nanos) decide.Nanos { return decide.Nanos(rng.Int64N(int64(duration))) }
		settings := strings.Replace(testSettings, `"askWithinMs":10000`, `"askWithinMs":`+[]string{"4000", "10000", "60000"}[seed%3], 1)
		g, err := decide.New(seed, []byte(settings))
		if err != nil {
			t.Fatal(err)
		}
		now := 60000 * ms
		// awaitRequest advances the time until the module requests the list.
		awaitRequest := func() {
			for end := now + 20000*ms; ; now += ms {
				g.BeginRound(now)
				for d, ok := g.Next(); ok; d, ok = g.Next() {
					if d.Kind == decide.SubscribeList {
						return
					}
				}
				if now > end {
					t.Fatalf("seed %d: the module does not request the list", seed)
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
		if seed%2 == 0 {                // a watch falls silent and the change follows immediately
			reachableSince = now + randomUpTo(watchWaitMs*ms)
			now += watchWaitMs*ms + watchMargin
			failCall()
			awaitRequest()
		} else { // discovery is down for a while and returns during a call or a backoff
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
		t.Errorf("known after %d ms", longest/ms)
	}
}
