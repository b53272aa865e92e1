package gateway

import (
	"syscall"

	"golang.org/x/sys/unix"

	"magpieglade/decide"
	"magpieglade/internal/slots"
)

// A stall is a time in which the event loop read nothing: the process was stopped, got no processor, or a turn took long.
// Afterwards events are pending that came in an order which the loop does not see, such as a query, its cancellation on
// another connection, the end of its client and a list in which a member drains. The recovery reads all that has arrived
// before deadlines are handled and anything is decided or sent, and dates queries by their arrival.

const (
	heartbeatInterval = 50 * decide.Millisecond // between deadlines of the loop that serve to notice a stall
	stallThreshold    = 25 * decide.Millisecond // lateness of the earliest deadline that counts as a stall
	recoveryRound     = 1 * decide.Millisecond  // for the loop to read what is pending
	quietRounds       = 2                       // rounds in a row without events that end a recovery
	maxRecoveryTime   = 20 * decide.Millisecond // of a recovery during which events keep coming
	maxRestarts       = 3                       // of a recovery by further stalls: a starved process has to go on
	// Age of a query from which its client may have left unnoticed, so that the connection is looked at before it is sent.
	uncheckedQueryAge = 20 * decide.Millisecond
)

// stallRecovery is the state of the recovery from a stall. Only the event loop may use it.
type stallRecovery struct {
	active      bool
	startedAt   decide.Nanos
	stalledFrom decide.Nanos // what the loop finds unread arrived no earlier
	events      int          // connections opened, read and closed since the last round
	quietRounds int          // rounds in a row without any
	restarts    int          // by stalls during the recovery
	heldQueries []slots.Ref  // member connections that became ready for their query
}

// checkForStall begins a recovery if the earliest deadline has been missed by more than stallThreshold. During a recovery that
// is its next round: what has arrived since has to be read too.
func (g *Gateway) checkForStall() {
	now := g.clock.now()
	if g.timerSetTo == 0 || g.inTurn || g.loop == nil || now-decide.Nanos(g.timerSetTo) <= stallThreshold {
		return
	}
	if r := &g.recovery; r.active {
		if r.restarts++; r.restarts <= maxRestarts {
			r.startedAt, r.events, r.quietRounds = now, 0, 0
			g.setTimerTo(int64(now + recoveryRound))
		}
		return
	}
	g.outcomes.stalls++
	g.recovery = stallRecovery{active: true, startedAt: now, stalledFrom: g.lastTurnAt, heldQueries: g.recovery.heldQueries[:0]}
	g.setTimerTo(int64(now + recoveryRound))
}

// continueRecovery ends a round of the recovery. It returns false if another one follows. A round is a task of the loop, which
// reads between two of them.
func (g *Gateway) continueRecovery() (done bool) {
	r := &g.recovery
	now := g.clock.now()
	switch {
	case r.events > 0:
		r.quietRounds = 0
	case g.hasPendingClients():
		r.quietRounds = 0
	default:
		r.quietRounds++
	}
	r.events = 0
	if r.quietRounds < quietRounds && now-r.startedAt < maxRecoveryTime {
		g.setTimerTo(int64(now + recoveryRound))
		return false
	}
	r.active = false
	return true
}

// hasPendingClients reports whether connections wait to be accepted.
func (g *Gateway) hasPendingClients() (pending bool) {
	l, ok := g.listener.(interface {
		SyscallConn() (syscall.RawConn, error)
	})
	if !ok {
		return false
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		descriptors := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(descriptors, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// scheduleHeartbeat keeps a deadline near, by which a stall is noticed.
func (g *Gateway) scheduleHeartbeat() {
	g.deadlines.Add(int64(g.clock.now()+heartbeatInterval), timerEvent{kind: timerHeartbeat})
}

// hasLeft reports whether a client has closed its connection, which the loop may not have read yet.
func (c *client) hasLeft() bool {
	n, err := peek(c.conn.Fd())
	switch {
	case err == unix.EAGAIN:
		return false
	case err != nil || n == 0:
		return true
	}
	// The end may lie behind unread input.
	descriptors := []unix.PollFd{{Fd: int32(c.conn.Fd()), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(descriptors, 0)
	return err == nil && n > 0 && descriptors[0].Revents&(unix.POLLRDHUP|unix.POLLHUP) != 0
}

// clientHasLeft reports whether the client of a job that is about to be sent has left. Then its connection is closed.
func (g *Gateway) clientHasLeft(j *job, now decide.Nanos) bool {
	t := g.txns.Get(j.txn)
	if j.probe || t == nil || t.answered || now-t.arrivedAtSocket < uncheckedQueryAge {
		return false
	}
	c := g.clients.conns.Get(t.client)
	if !c.hasLeft() {
		return false
	}
	g.clients.close(c, closedByClient)
	return true
}

// sendHeldQueries sends the queries of the member connections that became ready during a recovery.
func (ms *members) sendHeldQueries() {
	held := ms.g.recovery.heldQueries
	ms.g.recovery.heldQueries = held[:0]
	for _, ref := range held {
		m := ms.conns.Get(ref)
		switch {
		case m == nil || m.phase != starting:
		case m.hasJob:
			ms.sendQuery(ref)
		default: // its job ended meanwhile
			m.response = response{}
			ms.returnToPool(ref)
		}
	}
}
