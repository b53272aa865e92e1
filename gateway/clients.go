package gateway

import (
	"cmp"
	"container/list"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"

	"golang.org/x/sys/unix"

	"magpieglade/decide"
	"magpieglade/internal/deadlines"
	"magpieglade/internal/eventloop"
	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
	"magpieglade/pacing"
)

// Limits on messages and buffers.
const (
	maxMessageSize           = 192 << 10      // bytes: a value of 64 KiB in hexadecimal and its statement
	clientInputMemoryDivisor = 16             // one client's unprocessed input may fill 1/16 of the memory limit
	bufferMemoryDivisor      = 4              // all clients' buffers may fill 1/4 of the memory limit
	guaranteedBufferSize     = 32 << 10       // bytes that a client may hold even when those buffers are full, if there is room for all clients
	maxDiscardedBytes        = 256 << 10      // bytes read from a client while it is being closed
	maxDroppedMessages       = 4096           // messages dropped for lack of memory that one client may be owed responses to; of others than queries, equal ones in a row count once
	maxUnansweredRuns        = 512            // dropped messages, counted in the same way, from which on nothing more is read from a client
	maxReadAhead             = maxMessageSize // bytes behind the message that a client waits with, from which on nothing more is read from it: the next one may be whole
	maxEncryptionRequests    = 8              // of one client, which has no use for more than one of each kind
	maxConsecutiveErrors     = 8              // invalid statements in a row, after which a client is disconnected
)

// Descriptors: how many are kept free, and from how many connections on idle clients are closed earlier.
const (
	memberDescriptorDivisor = 3                       // clients leave 1/3 of the descriptors to members and discovery
	spareDescriptorDivisor  = 8                       // idle clients are closed while less than 1/8 of the clients' descriptors is free
	maxRejectedClients      = reservedDescriptors / 4 // clients without a descriptor that are sent an error at the same time
	fewClientsDivisor       = 8                       // up to 1/8 of the descriptors, idle clients may stay for maxIdleTime
	crowdedDivisor          = 4                       // from 1/4 of the sockets on, clients are crowded: a client pool may hold 1/3 for its requests
)

// Timeouts of client connections.
const (
	firstQueryTimeout   = 2000 * decide.Millisecond  // from connecting to the first query
	messageTimeout      = 2000 * decide.Millisecond  // from the first byte of a message to its last
	minIdleTime         = 2000 * decide.Millisecond  // before a client that has sent a query is closed, unless clients are crowded
	minSilentTime       = 100 * decide.Millisecond   // before a client that has sent no query is closed: a startup message follows at once
	maxIdleTime         = 60000 * decide.Millisecond // of a client that has sent a query, while there are few clients
	responseReadTimeout = 5000 * decide.Millisecond  // for a client to read its responses
	lingerTimeout       = 300 * decide.Millisecond   // for a client that is being closed to read the error
	outputPollInterval  = 10 * decide.Millisecond    // between checks whether a response has been written out
)

// stage is the state of a client connection; each but stageInTxn ends by a deadline.
type stage int

const (
	stageConnected      stage = iota + 1 // has sent no query, and nothing is unread
	stagePartialMessage                  // part of a message has arrived
	stageInTxn                           // a txn is open, which the decision module ends
	stageIdle                            // has sent a query before, and nothing is unread
	stageUnreadOutput                    // has not read its responses yet
	stagePaused                          // has sent more than its share of a turn
	stageClosing                         // is sent nothing more; what it sends is discarded
)

// clients holds the client connections. Only the event loop may use it.
type clients struct {
	g             *Gateway
	conns         slots.Table[client]
	idleLists     [2]list.List // silent clients, longest silent first: those that never sent a query, and the others
	bufferedBytes int          // bytes in their buffers, as last counted
	pacer         pacing.Pacer
	rejecting     int                  // clients without a descriptor that are being sent an error
	atCapacity    bool                 // new clients are turned away
	cancelKeys    map[uint32]slots.Ref // admitted clients, by the process number of their cancel key
}

// client is a connection from a client. Only the event loop may use it; clientClosed releases it.
type client struct {
	conn                   *eventloop.Conn
	stage                  stage
	stageSince             decide.Nanos                 // when the stage began
	deadline               *deadlines.Entry[timerEvent] // when the stage times out
	idleElement            *list.Element                // its element in one of the idle lists
	openedAt               decide.Nanos
	user                   string
	database               string
	tenant                 int32 // number, in the generation in force, of the tenant whose connections it counts against, plus one
	admitted               bool  // its startup message was accepted
	hasQueried             bool  // has sent a valid query
	hasDescriptor          bool  // has a descriptor of the budget; a client without one is turned away
	skippingToSync         bool  // ignores messages up to Sync, after an error in the extended protocol
	consecutiveErrors      int   // invalid statements in a row
	bufferedBytes          int   // bytes in its buffers, as last counted
	discardedBytes         int   // bytes read from it since stageClosing began
	pace                   pacing.Client
	encryptionRequests     int       // received before its startup message
	pollScheduled          bool      // a timerReadable deadline is pending for it
	txn                    slots.Ref // the open txn; its query is the first in the connection's buffer
	allocationWaitSince    int64     // since when it has been waiting for a first allocation of a fleet-wide limit, 0 if it is not
	allocatorResponsesSeen int       // allocator responses received when that wait began or was renewed
	connectionLimit        uint64    // key of the fleet-wide connection limit that it counts against, 0 for none
	cancelKey              pgwire.CancelKey
	consumedBytes          int64         // input bytes already processed
	arrivals               []arrival     // arrival times of the bytes after those, oldest first
	unreadSince            decide.Nanos  // bytes without an arrival time came no earlier; 0 if all that came was read at once
	setAside               []messageRun  // control messages that are answered once it has read the answers before, ahead of its input
	dropped                *droppedInput // what it sent beyond its share of the memory, nil while nothing of that is unanswered
	fatalError             *fatalError   // to be sent once all that was read before it is answered, nil for none
	closeReason            closeReason   // why the gateway closes the connection, empty while it stays open
}

func (cs *clients) clientOpened(c *eventloop.Conn, o *owner) (keep bool) {
	reserved := cs.g.budget.total / memberDescriptorDivisor
	cs.freeDescriptors(reserved+(cs.g.budget.total-reserved)/spareDescriptorDivisor, minIdleTime)
	cs.freeDescriptors(reserved+1, minSilentTime) // a new client has a query to send
	counted := cs.g.budget.acquire(1, reserved)
	for !counted && cs.g.members.closeLongestIdle() {
		counted = cs.g.budget.acquire(1, reserved)
	}
	if !counted {
		cs.setAtCapacity(true)
		if cs.rejecting >= maxRejectedClients { // an error that a reset cuts off would be worse than none
			cs.g.outcomes.clientsClosed[closedNoDescriptor]++
			return false
		}
		cs.rejecting++
	}
	now := cs.g.clock.now()
	o.ref = cs.conns.Add(client{conn: c, hasDescriptor: counted, openedAt: now})
	o.hasDescriptor = counted
	cs.enterStage(o.ref, cs.conns.Get(o.ref), stageConnected)
	return true
}

// enterStage moves a client to a stage, sets its deadline and puts it on the idle list that applies.
func (cs *clients) enterStage(ref slots.Ref, c *client, to stage) {
	if c.stage == to {
		return
	}
	cs.leaveStage(c)
	c.stage, c.stageSince = to, cs.g.clock.now()
	end := c.stageSince
	switch to {
	case stageConnected:
		c.stageSince = c.openedAt
		end = c.stageSince + firstQueryTimeout
		c.idleElement = cs.idleLists[0].PushBack(ref)
	case stageIdle:
		end += minIdleTime
		if cs.crowded() { // such clients are likely to send one query and stay: close the longest idle one as well
			end = c.stageSince + minSilentTime
			if e := cs.idleLists[1].Front(); e != nil {
				cs.clientTimedOut(e.Value.(slots.Ref))
			}
		}
		c.idleElement = cs.idleLists[1].PushBack(ref)
	case stagePartialMessage:
		end += messageTimeout
	case stageUnreadOutput:
		end += responseReadTimeout
	case stagePaused:
		end += decide.Nanos(cs.pacer.Pause(&c.pace))
	case stageClosing:
		cs.resumeReading(c)
		end += lingerTimeout
	case stageInTxn:
		return
	}
	c.deadline = cs.g.deadlines.Add(int64(end), timerEvent{kind: timerClient, ref: ref})
}

func (cs *clients) leaveStage(c *client) {
	cs.g.deadlines.Remove(c.deadline)
	c.deadline = nil
	cs.pacer.Resume(&c.pace)
	if c.idleElement != nil {
		cs.idleLists[0].Remove(c.idleElement) // it is in one of the two lists
		cs.idleLists[1].Remove(c.idleElement)
		c.idleElement = nil
	}
}

// endStage ends a client's stage; the next read determines which one follows.
func (cs *clients) endStage(c *client) {
	cs.leaveStage(c)
	c.stage = 0
}

// freeDescriptors closes silent clients until the needed number of descriptors is free: first those that never
// sent a query, then those idle for at least minIdle, the longest silent first.
func (cs *clients) freeDescriptors(needed int, minIdle decide.Nanos) {
	now := cs.g.clock.now()
	for i, minSilence := range [...]decide.Nanos{minSilentTime, minIdle} {
		for e := cs.idleLists[i].Front(); e != nil && cs.g.budget.free < needed; {
			c := cs.conns.Get(e.Value.(slots.Ref))
			if now-c.stageSince < minSilence {
				break
			}
			e = e.Next()
			cs.closeUnlessUnread(c, closedForDescriptor)
		}
	}
}

// closeUnlessUnread closes a connection between its client's requests, unless a request has arrived that is not read
// yet: it is served first. It closes immediately: a request that the loop reads before a merely scheduled close
// would look accepted to the client and never be answered.
func (cs *clients) closeUnlessUnread(c *client, reason closeReason) {
	n, err := peek(c.conn.Fd())
	if err == nil && n > 0 || c.conn.InboundBuffered() > 0 || len(c.setAside) > 0 || c.dropped != nil {
		return
	}
	cs.close(c, reason)
}

// close closes a connection immediately; the first reason given is kept.
func (cs *clients) close(c *client, reason closeReason) {
	c.closeReason = cmp.Or(c.closeReason, reason)
	c.conn.Close()
}

// clientClosed is the one place where a client is released. Its open txn is withdrawn.
func (cs *clients) clientClosed(ref slots.Ref, err error) {
	c := cs.conns.Get(ref)
	if c == nil {
		return
	}
	if c.closeReason == "" {
		c.closeReason = closeReasonFor(err)
	}
	cs.g.outcomes.clientsClosed[c.closeReason]++
	cs.bufferedBytes -= c.bufferedBytes
	cs.releaseConnection(c)
	cs.leaveStage(c)
	if !c.hasDescriptor {
		cs.rejecting--
	}
	if cs.g.budget.free > cs.g.budget.total/memberDescriptorDivisor+(cs.g.budget.total-cs.g.budget.total/memberDescriptorDivisor)/spareDescriptorDivisor {
		cs.setAtCapacity(false)
	}
	cs.withdrawTxn(c)
	if cs.cancelKeys[c.cancelKey.Process] == ref {
		delete(cs.cancelKeys, c.cancelKey.Process)
	}
	cs.conns.Remove(ref)
	cs.g.scheduleEndIfEmpty()
}

// withdrawTxn withdraws the open txn of a client that disconnects or is being closed.
func (cs *clients) withdrawTxn(c *client) {
	if t := cs.g.txns.Get(c.txn); t != nil && !t.answered {
		t.answered = true
		cs.g.recordUnanswered(t, c.closeReason)
		cs.g.inputs = append(cs.g.inputs, input{kind: inWithdrawn, ref: c.txn})
	}
	c.txn = slots.Ref{}
}

// assignCancelKey gives a client an unguessable cancel key that no other connection has.
func (cs *clients) assignCancelKey(ref slots.Ref, c *client) {
	var random [8]byte
	for taken := true; taken; _, taken = cs.cancelKeys[c.cancelKey.Process] {
		_, _ = rand.Read(random[:]) // rand.Read never returns an error
		c.cancelKey = pgwire.CancelKey{Process: binary.BigEndian.Uint32(random[:]), Secret: binary.BigEndian.Uint32(random[4:])}
	}
	cs.cancelKeys[c.cancelKey.Process] = ref
}

// cancelQuery cancels the open query of the client that holds the key: the client gets an error immediately, and no further
// submission starts. An unknown key is ignored silently, and a cancel that arrives after the response has no effect.
func (cs *clients) cancelQuery(key pgwire.CancelKey) {
	c := cs.conns.Get(cs.cancelKeys[key.Process])
	if c == nil || subtle.ConstantTimeEq(int32(c.cancelKey.Secret), int32(key.Secret)) == 0 {
		return
	}
	if t := cs.g.txns.Get(c.txn); t != nil && !t.answered && t.delayedResponse == nil {
		cs.g.inputs = append(cs.g.inputs, input{kind: inCancelled, ref: c.txn})
	}
}

// setAtCapacity logs when new clients start being turned away for lack of descriptors, and when they are accepted again.
func (cs *clients) setAtCapacity(full bool) {
	if full != cs.atCapacity {
		cs.atCapacity = full
		var clientsByStage [stageClosing + 1]int
		for _, ref := range cs.conns.Refs() {
			clientsByStage[cs.conns.Get(ref).stage]++
		}
		cs.g.log.Info("clients turned away", "now", full, "descriptors", cs.g.budget.used, "fresh", clientsByStage[stageConnected], "begun", clientsByStage[stagePartialMessage],
			"asking", clientsByStage[stageInTxn], "quiet", clientsByStage[stageIdle], "unread", clientsByStage[stageUnreadOutput], "leaving", clientsByStage[stageClosing])
	}
}

// crowded reports whether so many clients have sent a query that their pool may have no connection left for a request.
func (cs *clients) crowded() bool {
	return cs.conns.Len()-cs.idleLists[0].Len() > cs.g.config.Limits.Sockets/crowdedDivisor
}

// idleTimedOut reports whether an idle client that has sent a query is to be closed: the more clients, the sooner.
func (cs *clients) idleTimedOut(c *client) bool {
	idleTime := cs.g.clock.now() - c.stageSince
	switch {
	case cs.crowded():
		return idleTime >= minSilentTime
	case cs.conns.Len() > cs.g.budget.total/fewClientsDivisor:
		return idleTime >= minIdleTime
	}
	return idleTime >= maxIdleTime
}

// clientTimedOut closes a connection whose stage has timed out. A client with a partial message is sent an error.
// Idle clients may stay while there are few: they also count against the connections that their pool may hold here.
func (cs *clients) clientTimedOut(ref slots.Ref) {
	switch c := cs.conns.Get(ref); {
	case c == nil:
	case c.stage == stagePaused:
		cs.resume(ref, c)
	case c.stage == stagePartialMessage && !cs.g.discovery.list.received:
		cs.closeWithError(ref, "57P03", "no list of members yet")
	case c.stage == stagePartialMessage:
		cs.closeWithError(ref, "08P01", "the message does not end")
	case c.stage == stageIdle && !cs.idleTimedOut(c):
		cs.g.deadlines.Remove(c.deadline)
		c.deadline = cs.g.deadlines.Add(int64(cs.g.clock.now()+minIdleTime), timerEvent{kind: timerClient, ref: ref})
	case c.stage == stageConnected || c.stage == stageIdle:
		cs.closeUnlessUnread(c, closedIdle)
	default:
		cs.close(c, closedSlowReader)
	}
}

// closeAfterResponses closes the connection of a client that has all its responses, once they are written out.
func (cs *clients) closeAfterResponses(ref slots.Ref) {
	c := cs.conns.Get(ref)
	if c == nil {
		return
	}
	if c.conn.OutboundBuffered() > 0 {
		cs.enterStage(ref, c, stageUnreadOutput)
		cs.pollLater(ref, c)
		return
	}
	cs.closeUnlessUnread(c, closedByShutdown)
}

// pollLater reads a client again after outputPollInterval, as no event will trigger it.
func (cs *clients) pollLater(ref slots.Ref, c *client) { cs.pollIn(ref, c, outputPollInterval) }

// allocationPollInterval is how often to check whether a first allocation of a fleet-wide limit has arrived.
const allocationPollInterval = 2 * decide.Millisecond

// pollIn reads a client again after a delay, unless that is already scheduled.
func (cs *clients) pollIn(ref slots.Ref, c *client, delay decide.Nanos) {
	if !c.pollScheduled {
		c.pollScheduled = true
		cs.g.deadlines.Add(int64(cs.g.clock.now()+delay), timerEvent{kind: timerReadable, ref: ref})
	}
}

// fatalError is an error after which a connection is closed.
type fatalError struct{ code, message string }

// closeWithError sends a fatal error and closes the connection. While a txn is open the error waits for its answer, so that
// it is never taken for one. The client is given lingerTimeout to read the error: a close with unread input resets the
// connection, and the error just written may be lost with it.
func (cs *clients) closeWithError(ref slots.Ref, code, message string) {
	c := cs.conns.Get(ref)
	if cs.g.txns.Get(c.txn) != nil {
		c.fatalError = &fatalError{code, message}
		return
	}
	c.closeReason = closedWithErrorCode + closeReason(code)
	c.dropped = nil
	cs.enterStage(ref, c, stageClosing)
	cs.writeClient(c, pgwire.AppendError(cs.g.scratch[:0], "FATAL", code, message, ""))
	if c = cs.conns.Get(ref); c == nil {
		return
	}
	if c.conn.OutboundBuffered() == 0 { // otherwise the deadline closes it, without sending anything more
		_ = unix.Shutdown(c.conn.Fd(), unix.SHUT_WR)
	}
	cs.discardInput(c)
}

// discardInput reads and discards what a client in stageClosing sends; one that sends too much is closed.
func (cs *clients) discardInput(c *client) {
	if c.discardedBytes += c.conn.Discard(-1); c.discardedBytes > maxDiscardedBytes && c.deadline != nil {
		cs.leaveStage(c)
		c.conn.CloseSoon()
	}
}

// writeClient writes to a client; a failed write closes the connection before it returns.
func (cs *clients) writeClient(c *client, out []byte) {
	cs.g.scratch = out[:0]
	if len(out) > 0 {
		_, _ = c.conn.Write(out)
	}
}
