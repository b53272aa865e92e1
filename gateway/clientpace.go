package gateway

import (
	"magpieglade/decide"
	"magpieglade/internal/slots"
)

// How fast a client's queries are processed. What needs no member is answered at once, so a client that sends such queries at
// full speed would have the event loop for itself: after some that are answered at once, as by a rejection, it pauses.

const (
	maxQueriesPerTurn = 16                     // of one client
	pausePerClient    = 1 * decide.Millisecond // of a client with more queries, for each client that pauses
)

// pauseReason is what a client that has to wait for other clients had sent much of.
type pauseReason string

const (
	pausedForQueries         pauseReason = "queries"
	pausedForControlMessages pauseReason = "control messages"
)

// mayProcess reports whether another query of a client may be processed now. If not, the client pauses and is read again
// after that.
func (cs *clients) mayProcess(ref slots.Ref, c *client) bool {
	if c.stage == stagePaused {
		return false
	}
	cs.countTurn(c)
	if c.turnQueries++; c.turnQueries <= maxQueriesPerTurn {
		return true
	}
	cs.g.outcomes.clientPauses[pausedForQueries]++
	cs.enterStage(ref, c, stagePaused)
	return false
}

// countTurn begins to count anew what is processed of a client if this is another turn.
func (cs *clients) countTurn(c *client) {
	if c.turn != cs.g.turn {
		c.turn, c.turnQueries, c.turnControlBytes = cs.g.turn, 0, 0
	}
}

// resume has a client that paused read again.
func (cs *clients) resume(ref slots.Ref, c *client) {
	cs.endStage(c)
	cs.g.inputs = append(cs.g.inputs, input{kind: inReadable, ref: ref})
}
