package gateway

import (
	"magpieglade/decide"
	"magpieglade/internal/slots"
)

// How fast a client's messages are processed. What needs no member is answered at once, so a client that sends such messages at
// full speed would have the event loop for itself: those that execute nothing are limited, and a client whose queries are
// answered at once, as by a rejection, pauses after some of them.

const (
	maxQueriesPerTurn = 16                     // of one client
	pausePerClient    = 1 * decide.Millisecond // of a client with more queries, for each client that pauses
	// Messages other than statements to execute: empty statements, requests for encryption, Sync and the like.
	controlMessageInterval = 10 * decide.Millisecond   // between them, on average
	controlMessageBurst    = 1000 * decide.Millisecond // by which they may be ahead of that
)

// mayProcess reports whether another query of a client may be processed now. If not, the client pauses and is read again
// after that.
func (cs *clients) mayProcess(ref slots.Ref, c *client) bool {
	if c.stage == stagePaused {
		return false
	}
	if c.turn != cs.g.turn {
		c.turn, c.turnQueries = cs.g.turn, 0
	}
	if c.turnQueries++; c.turnQueries <= maxQueriesPerTurn {
		return true
	}
	cs.g.outcomes.clientPauses++
	cs.enterStage(ref, c, stagePaused)
	return false
}

// resume has a client that paused read again.
func (cs *clients) resume(ref slots.Ref, c *client) {
	cs.leaveStage(c)
	c.stage = 0 // the read determines it
	cs.g.inputs = append(cs.g.inputs, input{kind: inReadable, ref: ref})
}

// mayControl counts a message other than a statement to execute. It returns false, and ends the connection, if the client
// has sent too many of them.
func (cs *clients) mayControl(ref slots.Ref, c *client) bool {
	now := cs.g.clock.now()
	c.controlMessagesUntil = max(c.controlMessagesUntil, now) + controlMessageInterval
	if c.controlMessagesUntil-now <= controlMessageBurst {
		return true
	}
	cs.closeWithError(ref, "08P01", "too many messages that execute nothing")
	return false
}
