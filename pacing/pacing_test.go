package pacing

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// simulatedClient has input without end.
type simulatedClient struct {
	Client
	queryTime time.Duration // that one of its queries takes
	readyAt   time.Duration
	lastTurn  time.Duration
	longest   time.Duration // between two of its turns
	processed int
}

// runFloods runs clients that all send at full speed, and returns the longest turn.
func runFloods(clients []*simulatedClient, duration time.Duration) (longestTurn time.Duration) {
	var p Pacer
	now, turn := time.Duration(0), uint64(0)
	for now < duration {
		ran := false
		for _, c := range clients {
			if c.readyAt > now {
				continue
			}
			ran = true
			p.Resume(&c.Client)
			turn++
			p.BeginTurn(turn)
			beganAt := now
			c.longest = max(c.longest, now-c.lastTurn)
			c.lastTurn = now
			for p.MayProcessQuery(&c.Client) {
				c.processed++
				now += c.queryTime
			}
			c.readyAt = now + p.Pause(&c.Client)
			longestTurn = max(longestTurn, now-beganAt)
		}
		if !ran {
			now += 10 * time.Microsecond
		}
	}
	return longestTurn
}

// TestEachClientGetsItsShare checks that a client with input has its turn within a bounded time, that no turn is longer than a
// share, and that clients get alike, whatever their number and what their queries cost.
func TestEachClientGetsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const duration = 3 * time.Second
		n := rapid.IntRange(1, 100).Draw(t, "clients")
		clients := make([]*simulatedClient, n)
		costliest, sum := time.Duration(0), time.Duration(0)
		for i := range clients {
			queryTime := time.Duration(rapid.IntRange(1, 20).Draw(t, "query time")) * time.Microsecond
			clients[i] = &simulatedClient{queryTime: queryTime}
			costliest = max(costliest, queryTime)
			sum += queryTime
		}
		if longest := runFloods(clients, duration); longest > MaxQueries*costliest {
			t.Errorf("a turn of %v", longest)
		}
		// A pause, and the turns of all others on both sides of it.
		bound := pausePerClient*time.Duration(n) + 2*MaxQueries*sum + 10*time.Microsecond
		fewest, most := clients[0].processed, clients[0].processed
		for _, c := range clients {
			if c.longest > bound {
				t.Errorf("%v between two turns of a client, want at most %v", c.longest, bound)
			}
			fewest, most = min(fewest, c.processed), max(most, c.processed)
		}
		if most > 2*fewest {
			t.Errorf("one client got %d queries, another one %d", most, fewest)
		}
		// Together they get at most a share for each pausePerClient, and the first turns before there were as many pauses.
		if total := MaxQueries * (int(duration/pausePerClient) + 2*n); sumOf(clients) > total {
			t.Errorf("%d queries were processed, want at most %d", sumOf(clients), total)
		}
	})
}

func sumOf(clients []*simulatedClient) (sum int) {
	for _, c := range clients {
		sum += c.processed
	}
	return sum
}

// TestClientThatWaitsMeetsNoLimit guards against pauses of clients that send a message a turn.
func TestClientThatWaitsMeetsNoLimit(t *testing.T) {
	var p Pacer
	var c Client
	for turn := range uint64(10_000) {
		p.BeginTurn(turn + 1)
		if !p.MayProcessQuery(&c) || !p.MayAnswerControl(&c) {
			t.Fatalf("limited in turn %d", turn)
		}
		p.CountControl(&c, MaxControlBytes)
		if p.MayAnswerControl(&c) {
			t.Fatal("a share is not limited")
		}
	}
}

// TestPausesAreCountedOnce guards against a count of paused clients that grows or falls as a client pauses or resumes twice.
func TestPausesAreCountedOnce(t *testing.T) {
	var p Pacer
	var a, b Client
	for range 3 {
		if got := p.Pause(&a); got != pausePerClient {
			t.Errorf("a pause of %v", got)
		}
	}
	if got := p.Pause(&b); got != 2*pausePerClient {
		t.Errorf("a pause of %v beside another client's", got)
	}
	p.Resume(&a)
	p.Resume(&a)
	if got := p.Pause(&b); got != pausePerClient {
		t.Errorf("a pause of %v after the other client's", got)
	}
}
