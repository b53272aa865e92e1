package gateway

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"magpieglade/decide"
	"magpieglade/internal/slots"
)

// clock joins the time of day, which positions are given in, and a monotonic one, once: both count from the
// same zero, a little before the start, so that nothing that matters stood before it.
type clock struct {
	began  time.Time
	passed func() time.Duration // since then
	before decide.Nanos
	zero   int64 // in Unix milliseconds
}

const clockLead = 60 * 1000 // milliseconds

func newClock(elapsed func() time.Duration) clock {
	now := time.Now()
	zero := now.UnixMilli() - clockLead
	c := clock{began: now, zero: zero, before: decide.Nanos(now.UnixNano() - zero*1e6)}
	if c.passed = func() time.Duration { return time.Since(now) }; elapsed != nil {
		from := elapsed()
		c.passed = func() time.Duration { return elapsed() - from }
	}
	return c
}

func (c *clock) now() decide.Nanos { return c.before + decide.Nanos(c.passed()) }

// at is a Unix time in milliseconds on this clock; what lies before its zero is zero.
func (c *clock) at(unixMs float64) decide.Nanos {
	return max(0, decide.Millis(unixMs-float64(c.zero)))
}

// unixMs is a time on this clock as positions are worded, never below it.
func (c *clock) unixMs(at decide.Nanos) float64 {
	ms := (at + 999_999) / decide.Millisecond
	return float64(c.zero + int64(ms))
}

// owner is what a connection of gnet's belongs to.
type owner struct {
	kind    ownerKind
	ref     slots.Ref // of a client or a member's connection
	call    *call
	no      uint64 // of a discovery connection: which of the call's
	counted bool   // has a descriptor of the budget
	opened  bool   // the loop has the connection
}

type ownerKind int

const (
	ownerStarter ownerKind = iota // brings the loop's handle, and its close tells that the loop has ended
	ownerClient
	ownerMember
	ownerDiscovery
)

// due is what a deadline is for.
type due struct {
	kind dueKind
	ref  slots.Ref
	call *call
}

type dueKind int

const (
	dueWake dueKind = iota
	dueConnect
	dueSubmission
	dueIdle
	dueCall
	dueClient
	dueReadable
	dueAnswer
	dueClosing
	dueFinal
	dueLast
	dueList
)

// input is one thing for the module to be told. They are told at the beginning of a turn, in the order in
// which they came: decisions and the writes that they cause may bring more.
type input struct {
	kind     inputKind
	ref      slots.Ref // a client with something to read; a txn
	no       int
	server   decide.Server
	result   decide.Result
	elapsed  decide.Nanos
	role     decide.Role
	position decide.Nanos
	report   []float64
	list     *news
	fence    uint64 // the question that a probe was, 0 for none
	group    int    // of that
}

type inputKind int

const (
	inReadable inputKind = iota
	inEnded
	inProbed
	inHeard
	inWithdrawn
	inCancelled
	inRepeated
	inRefused
	inList
	inListFailed
	inNews
)

// handle deals with an event and runs a turn behind it. Other events may come within one, as a write that fails closes
// its connection: they are noted, and no decision is carried out before the outermost handler is done with its state.
func (g *Gateway) handle(event func()) {
	if g.handling {
		event()
		return
	}
	g.handling = true
	event()
	g.handling = false
	g.turn()
}

// turn tells the module what came and carries out its decisions until none is left.
func (g *Gateway) turn() {
	if g.turning || g.handling || g.loop == nil || g.stopped {
		return
	}
	g.turning = true
	began := g.clock.now()
	for {
		g.turnAt = g.clock.now()
		g.module.BeginRound(g.turnAt)
		if g.sessions != nil { // what comes is told at its time: after a quiet spell the former one is long past
			g.sessions.UpdateClock()
		}
		for i := 0; i < len(g.inputs); i++ {
			g.tell(g.inputs[i])
			g.inputs[i] = input{}
		}
		g.inputs = g.inputs[:0]
		g.generations.processDecisions()
		if g.agreed != nil {
			g.agreed.processDecisions()
			g.quotas.ProcessDecisions()
			g.reserved.carryOut()
		}
		if g.coordinated != nil {
			g.coordinated.c.ProcessDecisions()
		}
		if g.sessions != nil {
			g.sessions.ProcessDecisions()
		}
		for {
			d, ok := g.module.Next()
			if !ok {
				break
			}
			g.carryOut(d)
		}
		if len(g.inputs) == 0 {
			break
		}
	}
	g.turning = false
	g.longest = max(g.longest, g.clock.now()-began)
	g.setTimer()
}

func (g *Gateway) tell(in input) {
	switch in.kind {
	case inReadable:
		g.clients.readClient(in.ref)
	case inEnded:
		g.tellEnded(in)
	case inProbed:
		g.module.ProbeEnded(in.server, in.result, in.elapsed, in.report)
		if in.fence != 0 {
			g.fenced(&in)
		} else if g.coordinated != nil {
			g.coordinated.probed(in.server, in.result)
		}
	case inHeard:
		g.module.ResponseProgress(in.server)
	case inWithdrawn:
		g.tellWithdrawn(in.ref)
	case inCancelled:
		g.tellCancelled(in.ref)
	case inRefused:
		if t := g.txns.Get(in.ref); t != nil {
			g.decline(t.id, in.elapsed)
		}
	case inRepeated:
		if t := g.txns.Get(in.ref); t != nil {
			g.rollBack(t.id)
		}
	case inList:
		g.discovery.tellList(in.list)
	case inListFailed:
		g.module.MemberListFailed()
	case inNews:
		g.module.ReceiveUpdate(decide.MemberUpdate{Server: in.server, Position: in.position, Primary: in.role == decide.RolePrimary})
	}
}

func (g *Gateway) carryOut(d decide.Decision) {
	switch d.Kind {
	case decide.Submit:
		g.submit(d)
	case decide.Reject:
		g.decline(d.Txn, d.Delay)
	case decide.RollBack:
		g.rollBack(d.Txn)
	case decide.Cancel:
		g.cancel(d.Txn, int(d.Attempt))
	case decide.Probe:
		if g.coordinated != nil {
			g.coordinated.probe(d.Server)
		} else {
			g.members.probe(d.Server)
		}
	case decide.CloseIdle:
		g.members.closeIdle(d.Server)
	case decide.SubscribeList:
		g.discovery.call(callWatch)
	case decide.FetchList:
		g.discovery.call(callFetch)
	case decide.Wake:
		g.deadlines.Add(int64(g.clock.now()+d.Delay), due{kind: dueWake})
	case decide.SendUpdates:
		if g.coordinated != nil {
			g.coordinated.told(d.Updates)
		} else {
			g.tellNews(d.Updates)
		}
	case decide.Log:
		g.log.Info(d.Text)
	}
}

// setTimer sets the one timer to the first deadline.
func (g *Gateway) setTimer() {
	at, ok := g.deadlines.Next()
	if !ok || at == g.timerAt {
		return
	}
	g.timerAt = at
	wait := time.Duration(max(0, at-int64(g.clock.now())))
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, func() { g.post(g.onTimer) })
		return
	}
	g.timer.Reset(wait)
}

func (g *Gateway) onTimer() {
	if g.timerAt != 0 {
		g.latest = max(g.latest, g.clock.now()-decide.Nanos(g.timerAt))
	}
	g.timerAt = 0
	for {
		d, ok := g.deadlines.PopDue(int64(g.clock.now()))
		if !ok {
			return
		}
		switch d.kind {
		case dueConnect:
			g.members.connectTimedOut(d.ref)
		case dueSubmission:
			g.members.submissionTimedOut(d.ref)
		case dueIdle:
			g.members.idleTooLong(d.ref)
		case dueCall:
			g.discovery.callTimedOut(d.call)
		case dueClient:
			g.clients.clientOverdue(d.ref)
		case dueAnswer:
			g.sessions.AnswerOverdue(d.ref)
		case dueReadable:
			if c := g.clients.open.Get(d.ref); c != nil {
				c.polled = false
			}
			g.inputs = append(g.inputs, input{kind: inReadable, ref: d.ref})
		case dueList:
			g.coordinated.asks()
		case dueClosing:
			g.closeIdleClients()
		case dueFinal:
			g.closeListener()
		}
	}
}

// OnOpen gives a connection to whom it belongs.
func (g *Gateway) OnOpen(c gnet.Conn) (out []byte, action gnet.Action) {
	g.handle(func() { out, action = g.opened(c) })
	return out, action
}

func (g *Gateway) opened(c gnet.Conn) (out []byte, action gnet.Action) {
	o := c.Context().(*owner)
	o.opened = true
	if o.counted && g.dialsFail {
		g.dialsFail = false
		g.log.Info("connecting works again")
	}
	switch o.kind {
	case ownerClient:
		return g.clients.clientOpened(c, o)
	case ownerStarter:
		g.loop = c.EventLoop()
		close(g.started)
		g.discovery.start()
		if g.link != nil {
			go g.link.Receive(func() { g.post(g.cameFromOthers) })
		}
		if g.sessions != nil {
			g.sessions.Started()
		}
		g.generations.applyStartConfig(g.config.Change)
		go g.acceptClients()
		return nil, gnet.None
	case ownerMember:
		g.budget.give(1)
		return g.members.memberOpened(c, o.ref)
	case ownerDiscovery:
		g.budget.give(1)
		return g.discovery.discoveryOpened(c, o)
	}
	return nil, gnet.Close
}

// OnTraffic notes what came. Connections to members are closed by posting, as more may be told of them
// in the turn; clients at once, see sendAway. Events that come for a closed one find its object, not its descriptor.
func (g *Gateway) OnTraffic(c gnet.Conn) gnet.Action {
	o, ok := c.Context().(*owner)
	if !ok {
		return gnet.Close
	}
	g.handle(func() { g.read(c, o) })
	if g.end() != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

// read takes what came on a connection.
func (g *Gateway) read(c gnet.Conn, o *owner) {
	switch o.kind {
	case ownerClient:
		g.inputs = append(g.inputs, input{kind: inReadable, ref: o.ref})
	case ownerMember:
		g.members.readMember(o.ref)
	case ownerDiscovery:
		g.discovery.readDiscovery(c, o)
	}
}

// OnClose comes when a connection has ended, whoever ended it, and may come within a write to it.
func (g *Gateway) OnClose(c gnet.Conn, why error) gnet.Action {
	o, ok := c.Context().(*owner)
	if !ok {
		return gnet.None
	}
	g.handle(func() { g.closed(c, o, why) })
	if g.end() != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

// closed gives back what a connection held.
func (g *Gateway) closed(c gnet.Conn, o *owner, why error) {
	if o.counted {
		g.budget.give(1)
	}
	switch o.kind {
	case ownerStarter: // the loop closes it as its last act
		close(g.loopEnded)
	case ownerClient:
		g.clients.clientClosed(o.ref, why)
	case ownerMember:
		flushed := c.OutboundBuffered() == 0
		if !flushed { // the library would write the rest before it closes: a query that counts as never run would run
			_ = unix.Shutdown(c.Fd(), unix.SHUT_WR)
		}
		g.members.memberClosed(o.ref, flushed)
	case ownerDiscovery:
		g.discovery.discoveryClosed(o, c, errors.Is(why, io.EOF))
	}
}

// hasUnread tells whether something waits on a socket that the loop has not read, be it its end.
func hasUnread(fd int) bool {
	_, err := peek(fd)
	return err != unix.EAGAIN
}

// peek looks at what waits on a socket that the loop has not read: 0 bytes without an error is its end.
func peek(fd int) (n int, err error) {
	var one [1]byte
	for {
		n, _, err = unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != unix.EINTR {
			return n, err
		}
	}
}

// gnetLog passes what gnet logs to slog; it is chatty below warnings.
type gnetLog struct{ to *slog.Logger }

func (l gnetLog) Debugf(string, ...any)         {}
func (l gnetLog) Infof(string, ...any)          {}
func (l gnetLog) Warnf(format string, a ...any) { l.to.Warn("gnet: " + fmt.Sprintf(format, a...)) }
func (l gnetLog) Errorf(format string, a ...any) {
	l.to.Error("gnet: " + fmt.Sprintf(format, a...))
}
func (l gnetLog) Fatalf(format string, a ...any) {
	l.to.Error("gnet, fatal: " + fmt.Sprintf(format, a...))
}
