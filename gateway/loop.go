package gateway

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"

	"magpieglade/decide"
	"magpieglade/internal/eventloop"
	"magpieglade/internal/slots"
)

// owner is the context of a connection of the loop: what the connection belongs to.
type owner struct {
	kind          ownerKind
	ref           slots.Ref // of a client or of a connection to a member
	call          *call
	connNo        uint64 // of a discovery connection: see call.connNo
	hasDescriptor bool   // holds a descriptor of the budget
	// Of a client whose connection had to wait to be accepted: it connected no earlier. 0 for any other.
	connectedAfter decide.Nanos
}

type ownerKind int

const (
	ownerClient ownerKind = iota
	ownerMember
	ownerDiscovery
)

// timerEvent is the event of a deadline.
type timerEvent struct {
	kind timerKind
	ref  slots.Ref
	call *call
}

type timerKind int

const (
	timerWake timerKind = iota
	timerConnect
	timerSubmission
	timerIdle
	timerCall
	timerClient
	timerReadable
	timerAnswer
	timerCloseClients
	timerCloseListener
	timerEndLoop
	timerList
	timerHeartbeat
)

// input is an event for the module. Inputs are applied at the beginning of a turn in the order of their arrival; decisions
// and the writes that they cause may add more.
type input struct {
	kind         inputKind
	ref          slots.Ref // a client with unread data, or a txn
	attempt      int
	server       decide.Server
	result       decide.Result
	elapsed      decide.Nanos
	role         decide.Role
	position     decide.Nanos
	report       []float64
	list         *listUpdate
	fenceAttempt uint64 // number of the fence request for which a probe seeks the primary, 0 for none
	group        int    // of the fence request
}

type inputKind int

const (
	inReadable inputKind = iota
	inEnded
	inProbed
	inProgress
	inWithdrawn
	inCancelled
	inRollBack
	inReject
	inList
	inListFailed
	inMemberUpdate
)

// handle processes an event and runs a turn after it. Events may be nested, as a write that fails closes its connection:
// nested events are only recorded, and no decision is executed before the outermost handler is done with its state.
func (g *Gateway) handle(event func()) {
	if g.handlingEvent {
		event()
		return
	}
	g.handlingEvent = true
	g.checkForStall()
	event()
	g.handlingEvent = false
	g.runTurn()
}

// runTurn applies the inputs to the module and executes its decisions until none is left. After a stall it waits for the end
// of the recovery.
func (g *Gateway) runTurn() {
	if g.inTurn || g.handlingEvent || g.loop == nil || g.loopStopped {
		return
	}
	if g.checkForStall(); g.recovery.active {
		return
	}
	g.inTurn = true
	startedAt := g.clock.now()
	g.lastTurnAt = startedAt
	g.turn++
	for {
		g.module.BeginRound(g.clock.now())
		if g.sessions != nil { // inputs are applied at the current time: after an idle period the time of the last turn is long past
			g.sessions.UpdateClock()
		}
		for i := 0; i < len(g.inputs); i++ {
			g.applyInput(g.inputs[i])
			g.inputs[i] = input{}
		}
		g.inputs = g.inputs[:0]
		g.members.sendHeldQueries()
		g.generations.processDecisions()
		if g.agreement != nil {
			g.agreement.processDecisions()
			g.quotas.ProcessDecisions()
			g.contracts.update()
		}
		if g.coordination != nil {
			g.coordination.coordination.ProcessDecisions()
		}
		if g.sessions != nil {
			g.sessions.ProcessDecisions()
		}
		for {
			d, ok := g.module.Next()
			if !ok {
				break
			}
			g.execute(d)
		}
		if len(g.inputs) == 0 {
			break
		}
	}
	g.inTurn = false
	g.longestTurn = max(g.longestTurn, g.clock.now()-startedAt)
	g.setTimer()
}

// applyInput passes an input to the module or to the part of the gateway that handles it.
func (g *Gateway) applyInput(in input) {
	switch in.kind {
	case inReadable:
		g.clients.readClient(in.ref)
	case inEnded:
		g.submissionEnded(in)
	case inProbed:
		g.module.ProbeEnded(in.server, in.result, in.elapsed, in.report)
		if in.fenceAttempt != 0 {
			g.searchEnded(&in)
		} else if g.coordination != nil {
			g.coordination.probeEnded(in.server, in.result)
		}
	case inProgress:
		g.module.ResponseProgress(in.server)
	case inWithdrawn:
		g.withdrawTxn(in.ref)
	case inCancelled:
		g.cancelTxn(in.ref)
	case inReject:
		if t := g.txns.Get(in.ref); t != nil {
			g.reject(t.id, in.elapsed)
		}
	case inRollBack:
		if t := g.txns.Get(in.ref); t != nil {
			g.rollBack(t.id)
		}
	case inList:
		g.discovery.applyList(in.list)
	case inListFailed:
		g.module.MemberListFailed()
	case inMemberUpdate:
		g.module.ReceiveUpdate(decide.MemberUpdate{Server: in.server, Position: in.position, Primary: in.role == decide.RolePrimary})
	}
}

// execute carries out a decision of the module.
func (g *Gateway) execute(d decide.Decision) {
	switch d.Kind {
	case decide.Submit:
		g.submit(d)
	case decide.Reject:
		g.reject(d.Txn, d.Delay)
	case decide.RollBack:
		g.rollBack(d.Txn)
	case decide.Cancel:
		g.cancelSubmission(d.Txn, int(d.Attempt))
	case decide.Probe:
		if g.coordination != nil {
			g.coordination.requestProbe(d.Server)
		} else {
			g.members.probe(d.Server)
		}
	case decide.CloseIdle:
		g.members.closeIdle(d.Server)
	case decide.SubscribeList:
		g.discovery.startCall(callWatch)
	case decide.FetchList:
		g.discovery.startCall(callFetch)
	case decide.Wake:
		g.deadlines.Add(int64(g.clock.now()+d.Delay), timerEvent{kind: timerWake})
	case decide.SendUpdates:
		if g.coordination != nil {
			g.coordination.reportUpdates(d.Updates)
		} else {
			g.sendUpdates(d.Updates)
		}
	case decide.Log:
		g.log.Info(d.Text)
	}
}

// setTimer sets the only timer to the earliest deadline.
func (g *Gateway) setTimer() {
	at, ok := g.deadlines.Next()
	if ok && at != g.timerSetTo {
		g.setTimerTo(at)
	}
}

// setTimerTo sets the timer to a time.
func (g *Gateway) setTimerTo(at int64) {
	g.timerSetTo = at
	wait := time.Duration(max(0, at-int64(g.clock.now())))
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, func() { g.post(g.onTimer) })
		return
	}
	g.timer.Reset(wait)
}

// onTimer handles all deadlines that have passed.
func (g *Gateway) onTimer() {
	if g.timerSetTo != 0 {
		g.maxTimerDelay = max(g.maxTimerDelay, g.clock.now()-decide.Nanos(g.timerSetTo))
	}
	if g.recovery.active && !g.continueRecovery() {
		return
	}
	g.timerSetTo = 0
	for {
		d, ok := g.deadlines.PopDue(int64(g.clock.now()))
		if !ok {
			return
		}
		switch d.kind {
		case timerConnect:
			g.members.connectTimedOut(d.ref)
		case timerSubmission:
			g.members.submissionTimedOut(d.ref)
		case timerIdle:
			g.members.idleTimedOut(d.ref)
		case timerCall:
			g.discovery.callTimedOut(d.call)
		case timerClient:
			g.clients.clientTimedOut(d.ref)
		case timerAnswer:
			g.sessions.AnswerOverdue(d.ref)
		case timerReadable:
			if c := g.clients.conns.Get(d.ref); c != nil {
				c.pollScheduled = false
			}
			g.inputs = append(g.inputs, input{kind: inReadable, ref: d.ref})
		case timerList:
			g.coordination.makeDeferredCalls()
		case timerCloseClients:
			g.closeIdleClients()
		case timerCloseListener:
			g.closeListener()
		case timerHeartbeat:
			g.checkWallClock()
			g.scheduleHeartbeat()
		}
	}
}

// begin starts what needs the loop, as the loop's first task.
func (g *Gateway) begin() {
	close(g.started)
	g.scheduleHeartbeat()
	g.discovery.queueCachedList()
	if g.peerLink != nil {
		go g.peerLink.Receive(func() { g.post(g.receiveDatagrams) })
	}
	if g.sessions != nil {
		g.sessions.Started()
	}
	g.generations.applyStartConfig(g.config.Change)
	go g.acceptClients()
}

// Opened hands a connection to its owner.
func (g *Gateway) Opened(c *eventloop.Conn) (out []byte, keep bool) {
	g.handle(func() { out, keep = g.connOpened(c) })
	return out, keep
}

func (g *Gateway) connOpened(c *eventloop.Conn) (out []byte, keep bool) {
	o := c.Context().(*owner)
	g.recovery.events++
	if o.hasDescriptor && g.dialsFailing {
		g.dialsFailing = false
		g.log.Info("connecting works again")
	}
	switch o.kind {
	case ownerClient:
		return nil, g.clients.clientOpened(c, o)
	case ownerMember:
		g.budget.release(1)
		return g.members.memberOpened(c, o.ref)
	case ownerDiscovery:
		g.budget.release(1)
		return nil, g.discovery.connOpened(c, o)
	}
	return nil, false
}

// Received handles received data. Connections to members are closed by posting, as the turn may still report on them; clients are
// closed immediately, see closeUnlessUnread. Events for a closed connection find its object and not its descriptor, which may be reused.
func (g *Gateway) Received(c *eventloop.Conn) {
	o := c.Context().(*owner)
	g.handle(func() { g.readConn(c, o) })
	g.endIfDone()
}

// readConn passes received data to the owner of the connection.
func (g *Gateway) readConn(c *eventloop.Conn, o *owner) {
	g.recovery.events++
	switch o.kind {
	case ownerClient:
		g.clients.dateInput(o)
		g.inputs = append(g.inputs, input{kind: inReadable, ref: o.ref})
	case ownerMember:
		g.members.readMember(o.ref)
	case ownerDiscovery:
		g.discovery.readConn(c, o)
	}
}

// Closed is called when a connection has ended, whichever side closed it, and possibly within a write to it.
func (g *Gateway) Closed(c *eventloop.Conn, err error) {
	o := c.Context().(*owner)
	g.handle(func() { g.connClosed(c, o, err) })
	g.endIfDone()
}

// connClosed releases what a connection held.
func (g *Gateway) connClosed(c *eventloop.Conn, o *owner, err error) {
	g.recovery.events++
	if o.hasDescriptor {
		g.budget.release(1)
	}
	switch o.kind {
	case ownerClient:
		g.clients.clientClosed(o.ref, err)
	case ownerMember:
		flushed := c.OutboundBuffered() == 0
		c.DropOutput() // a query that counts as never executed may not be sent in full
		g.members.memberClosed(o.ref, flushed)
	case ownerDiscovery:
		g.discovery.connClosed(o, c, errors.Is(err, io.EOF))
	}
}

// hasUnread reports whether a socket has data, an end of stream or an error that the loop has not read.
func hasUnread(fd int) bool {
	_, err := peek(fd)
	return err != unix.EAGAIN
}

// peek looks at unread data of a socket without consuming it: 0 bytes without an error are the end of the stream.
func peek(fd int) (n int, err error) {
	var buf [1]byte
	for {
		n, _, err = unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != unix.EINTR {
			return n, err
		}
	}
}
