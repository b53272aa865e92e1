package gateway

import (
	"cmp"
	"container/list"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"magpieglade/decide"
	"magpieglade/internal/deadlines"
	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
	"magpieglade/routes"
)

const (
	mostMessage = 192 << 10                  // bytes of a message: a value of 64 KiB in hexadecimal and its statement
	aheadPart   = 16                         // part of the memory that one client may fill with what it has sent ahead
	mostErrors  = 8                          // statements in a row that are none, after which a client is sent away
	memoryPart  = 4                          // part of the memory that clients' buffers may fill
	fairShare   = 32 << 10                   // bytes that a client may hold beyond that
	membersPart = 3                          // part of the descriptors that clients leave to members and discovery
	sparePart   = 8                          // part of their own that quiet clients make way for, before none is left
	mostTurned  = reserve / 4                // clients past the budget that are told so, at a time
	mostFresh   = 2000 * decide.Millisecond  // from connecting to the first query
	mostBegun   = 2000 * decide.Millisecond  // from the first byte of a message to its last
	leastQuiet  = 2000 * decide.Millisecond  // of a client that has asked, before it makes way while there is room
	leastFresh  = 100 * decide.Millisecond   // of one that has said nothing: a startup message follows at once
	mostQuiet   = 60000 * decide.Millisecond // of one that has asked, while there are few
	fewPart     = 8                          // part of the descriptors up to which clients are few
	crowdPart   = 4                          // and from which they are a crowd: a front may hold a third for its requests
	mostUnread  = 5000 * decide.Millisecond  // for a client to read its answers
	mostLinger  = 300 * decide.Millisecond   // for one that is sent away to read why
	mostDropped = 256 << 10                  // bytes that are read from it meanwhile
	slowReader  = 10 * decide.Millisecond    // between looks at whether an answer is out
)

// stage is what a client is doing; each but asking ends by a deadline.
type stage int

const (
	fresh   stage = iota + 1 // has asked nothing and says nothing
	begun                    // part of a message is here
	asking                   // a txn is open, which the module ends
	quiet                    // has asked, and says nothing
	unread                   // does not read its answers
	leaving                  // gets nothing more; what it sends is dropped
)

// clients are the connections of clients. They belong to the loop.
type clients struct {
	g          *Gateway
	open       slots.Table[client]
	silent     [2]list.List         // those that say nothing, longest first: who never asked, and the others
	held       int                  // bytes in their buffers
	turnedAway int                  // past the budget that are being told so
	full       bool                 // some are turned away
	keys       map[uint32]slots.Ref // those that are admitted, by the process number of their cancel key
}

// client is a connection from a client. It belongs to the loop and is given back in clientClosed.
type client struct {
	conn     gnet.Conn
	stage    stage
	since    decide.Nanos          // when it came to that
	due      *deadlines.Entry[due] // when that has to end
	row      *list.Element         // its place among those that are fresh or quiet
	openedAt decide.Nanos
	user     string
	database string
	tenant   int32     // whose connections it counts against, its number in the generation in force plus one
	admitted bool      // past the startup message
	asked    bool      // has sent a query that was one
	counted  bool      // has a descriptor of the budget; who has none is turned away
	skipping bool      // up to Sync, after an error in the extended protocol
	errors   int       // statements in a row that were none
	held     int       // bytes in its buffers when last looked at
	dropped  int       // bytes read from it since it was sent away
	polled   bool      // it is looked at again in a moment
	txn      slots.Ref // the open one; its query is the first in the connection's buffer
	partAt   int64     // since when it waits for a first part of a bound of the fleet, 0 if it does not
	partSeen int       // answers of keepers, when it was told to
	connects uint64    // the bound of the fleet that it counts against, 0 for none
	key      pgwire.CancelKey
	consumed int64       // bytes of it that are dealt with
	came     []arrival   // when the bytes behind those came, first come first
	reason   closeReason // why the gateway closes the connection, empty while it does not
}

// arrival is when a client's bytes up to some count had come.
type arrival struct {
	upTo int64
	at   decide.Nanos
}

// mostArrivals are kept for a client; past them, bytes count as come with the last of these.
const mostArrivals = 32

// notes notes what has come by now.
func (c *client) notes(waiting int, now decide.Nanos) {
	total := c.consumed + int64(waiting)
	switch n := len(c.came); {
	case n > 0 && c.came[n-1].upTo >= total:
	case n == mostArrivals:
		c.came[n-1].upTo = total
	default:
		c.came = append(c.came, arrival{total, now})
	}
}

// takes drops the first bytes of the buffer, which are dealt with.
func (c *client) takes(size int) {
	_, _ = c.conn.Discard(size)
	c.consumed += int64(size)
	gone := 0
	for gone < len(c.came) && c.came[gone].upTo <= c.consumed {
		gone++
	}
	c.came = slices.Delete(c.came, 0, gone)
}

// waited is for how long the first bytes of the buffer have been here: behind another query, or behind its answer.
func (c *client) waited(size int, now decide.Nanos) decide.Nanos {
	for _, a := range c.came {
		if a.upTo >= c.consumed+int64(size) {
			return now - a.at
		}
	}
	return 0
}

func (cs *clients) clientOpened(c gnet.Conn, o *owner) ([]byte, gnet.Action) {
	others := cs.g.budget.all / membersPart
	cs.makeRoom(others+(cs.g.budget.all-others)/sparePart, leastQuiet)
	cs.makeRoom(others+1, leastFresh) // one who comes has something to ask
	counted := cs.g.budget.take(1, others)
	for !counted && cs.g.members.closeLongestIdle() {
		counted = cs.g.budget.take(1, others)
	}
	if !counted {
		cs.noteFull(true)
		if cs.turnedAway >= mostTurned { // an error that is cut off by a reset would be worse than none
			cs.g.outcomes.clientsClosed[closedTooMany]++
			return nil, gnet.Close
		}
		cs.turnedAway++
	}
	now := cs.g.clock.now()
	o.ref = cs.open.Add(client{conn: c, counted: counted, openedAt: now})
	o.counted = counted
	cs.enter(o.ref, cs.open.Get(o.ref), fresh)
	return nil, gnet.None
}

// enter brings a client to a stage, with its deadline and its place among those that can make way.
func (cs *clients) enter(ref slots.Ref, c *client, to stage) {
	if c.stage == to {
		return
	}
	cs.leaveStage(c)
	c.stage, c.since = to, cs.g.clock.now()
	end := c.since
	switch to {
	case fresh:
		c.since = c.openedAt
		end = c.since + mostFresh
		c.row = cs.silent[0].PushBack(ref)
	case quiet:
		end += leastQuiet
		if cs.crowded() { // and it is likely that they ask once and stay: the longest quiet goes as well
			end = c.since + leastFresh
			if e := cs.silent[1].Front(); e != nil {
				cs.clientOverdue(e.Value.(slots.Ref))
			}
		}
		c.row = cs.silent[1].PushBack(ref)
	case begun:
		end += mostBegun
	case unread:
		end += mostUnread
	case leaving:
		end += mostLinger
	case asking:
		return
	}
	c.due = cs.g.deadlines.Add(int64(end), due{kind: dueClient, ref: ref})
}

func (cs *clients) leaveStage(c *client) {
	cs.g.deadlines.Remove(c.due)
	c.due = nil
	if c.row != nil {
		cs.silent[0].Remove(c.row) // it is in one of them
		cs.silent[1].Remove(c.row)
		c.row = nil
	}
}

// makeRoom sends clients away that say nothing until so many descriptors are free: first those that never
// said anything, then those whose last answer is long enough ago, the longest silent first.
func (cs *clients) makeRoom(wanted int, leastQuiet decide.Nanos) {
	now := cs.g.clock.now()
	for i, least := range [...]decide.Nanos{leastFresh, leastQuiet} {
		for e := cs.silent[i].Front(); e != nil && cs.g.budget.free < wanted; {
			c := cs.open.Get(e.Value.(slots.Ref))
			if now-c.since < least {
				break
			}
			e = e.Next()
			cs.sendAway(c, closedForRoom)
		}
	}
}

// sendAway closes a connection between its client's requests, unless one has come that is not read yet: it is
// served first. It closes at once: what the loop would still read before a close that is only posted would
// look taken to the client, and never be answered.
func (cs *clients) sendAway(c *client, reason closeReason) {
	n, err := peek(c.conn.Fd())
	if err == nil && n > 0 || c.conn.InboundBuffered() > 0 {
		return
	}
	cs.close(c, reason)
}

// close closes a connection at once; of several reasons the first counts.
func (cs *clients) close(c *client, reason closeReason) {
	c.reason = cmp.Or(c.reason, reason)
	_ = cs.g.loop.Close(c.conn)
}

// clientClosed is the one place where a client is given back. What it had asked for is withdrawn.
func (cs *clients) clientClosed(ref slots.Ref, why error) {
	c := cs.open.Get(ref)
	if c == nil {
		return
	}
	if c.reason == "" {
		c.reason = reasonOf(why)
	}
	cs.g.outcomes.clientsClosed[c.reason]++
	cs.held -= c.held
	cs.releaseConnection(c)
	cs.leaveStage(c)
	if !c.counted {
		cs.turnedAway--
	}
	if cs.g.budget.free > cs.g.budget.all/membersPart+(cs.g.budget.all-cs.g.budget.all/membersPart)/sparePart {
		cs.noteFull(false)
	}
	cs.withdraw(c)
	if cs.keys[c.key.Process] == ref {
		delete(cs.keys, c.key.Process)
	}
	cs.open.Remove(ref)
	cs.g.emptied()
}

// withdraw ends what a client has asked for that goes away, or is sent away.
func (cs *clients) withdraw(c *client) {
	if t := cs.g.txns.Get(c.txn); t != nil && !t.answered {
		t.answered = true
		if !c.reason.answered() {
			cs.g.noteUnanswered(t, c.reason)
		}
		cs.g.inputs = append(cs.g.inputs, input{kind: inWithdrawn, ref: c.txn})
	}
	c.txn = slots.Ref{}
}

// giveKey gives a client a key that no other connection has and nobody can guess.
func (cs *clients) giveKey(ref slots.Ref, c *client) {
	var random [8]byte
	for taken := true; taken; _, taken = cs.keys[c.key.Process] {
		_, _ = rand.Read(random[:]) // it never fails
		c.key = pgwire.CancelKey{Process: binary.BigEndian.Uint32(random[:]), Secret: binary.BigEndian.Uint32(random[4:])}
	}
	cs.keys[c.key.Process] = ref
}

// cancel ends the open query of the client that has a key, which answers at once; no further submission begins. A key that
// fits none is passed over without a word, and one that comes behind the answer cancels nothing.
func (cs *clients) cancel(key pgwire.CancelKey) {
	c := cs.open.Get(cs.keys[key.Process])
	if c == nil || subtle.ConstantTimeEq(int32(c.key.Secret), int32(key.Secret)) == 0 {
		return
	}
	if t := cs.g.txns.Get(c.txn); t != nil && !t.answered && t.waiting == nil {
		cs.g.inputs = append(cs.g.inputs, input{kind: inCancelled, ref: c.txn})
	}
}

// noteFull logs when clients are turned away for lack of descriptors, and when there is room for more again.
func (cs *clients) noteFull(full bool) {
	if full != cs.full {
		cs.full = full
		var n [leaving + 1]int
		for _, ref := range cs.open.Refs() {
			n[cs.open.Get(ref).stage]++
		}
		cs.g.log.Info("clients turned away", "now", full, "descriptors", cs.g.budget.used, "fresh", n[fresh], "begun", n[begun],
			"asking", n[asking], "quiet", n[quiet], "unread", n[unread], "leaving", n[leaving])
	}
}

// crowded tells that clients that have asked are so many that their front may find no connection for a request.
func (cs *clients) crowded() bool {
	return cs.open.Len()-cs.silent[0].Len() > cs.g.config.Limits.Sockets/crowdPart
}

// quietTooLong tells whether a client that has asked and says nothing is to go: the sooner the more there are.
func (cs *clients) quietTooLong(c *client) bool {
	quiet := cs.g.clock.now() - c.since
	switch {
	case cs.crowded():
		return quiet >= leastFresh
	case cs.open.Len() > cs.g.budget.all/fewPart:
		return quiet >= leastQuiet
	}
	return quiet >= mostQuiet
}

// clientOverdue ends a connection whose stage has lasted too long. Half a message is worth a word. Those that
// are quiet may stay while there are few: they count against what their front may hold here as well.
func (cs *clients) clientOverdue(ref slots.Ref) {
	switch c := cs.open.Get(ref); {
	case c == nil:
	case c.stage == begun && !cs.g.discovery.list.held:
		cs.refuse(ref, "57P03", "no list of members yet")
	case c.stage == begun:
		cs.refuse(ref, "08P01", "the message does not end")
	case c.stage == quiet && !cs.quietTooLong(c):
		cs.g.deadlines.Remove(c.due)
		c.due = cs.g.deadlines.Add(int64(cs.g.clock.now()+leastQuiet), due{kind: dueClient, ref: ref})
	case c.stage == fresh || c.stage == quiet:
		cs.sendAway(c, closedIdle)
	default:
		cs.close(c, closedSlowReader)
	}
}

// dismiss ends a client's connection that has all its answers, once they are on their way.
func (cs *clients) dismiss(ref slots.Ref) {
	c := cs.open.Get(ref)
	if c == nil {
		return
	}
	if c.conn.OutboundBuffered() > 0 {
		cs.enter(ref, c, unread)
		cs.again(ref, c)
		return
	}
	cs.sendAway(c, closedByShutdown)
}

// again looks at a client again in a moment, for which no event will come.
func (cs *clients) again(ref slots.Ref, c *client) { cs.againIn(ref, c, slowReader) }

// partLook is how often it is looked whether a first part has come.
const partLook = 2 * decide.Millisecond

func (cs *clients) againIn(ref slots.Ref, c *client, span decide.Nanos) {
	if !c.polled {
		c.polled = true
		cs.g.deadlines.Add(int64(cs.g.clock.now()+span), due{kind: dueReadable, ref: ref})
	}
}

// refuse ends a connection that does not keep to the protocol. Its word is the answer to a query that is open.
// The client is given a moment to read it: a close with something unread resets a connection, and what was
// just written may be lost with it.
func (cs *clients) refuse(ref slots.Ref, code, message string) {
	c := cs.open.Get(ref)
	c.reason = closedWithErrorCode + closeReason(code)
	cs.withdraw(c)
	cs.enter(ref, c, leaving)
	cs.writeClient(c, pgwire.AppendError(cs.g.scratch[:0], "FATAL", code, message, ""))
	if c = cs.open.Get(ref); c == nil {
		return
	}
	if c.conn.OutboundBuffered() == 0 { // else the deadline ends it, with nothing more said
		_ = unix.Shutdown(c.conn.Fd(), unix.SHUT_WR)
	}
	cs.drop(c)
}

// drop reads and forgets what a client sends that is sent away; one that sends too much is closed.
func (cs *clients) drop(c *client) {
	n, _ := c.conn.Discard(-1)
	if c.dropped += n; c.dropped > mostDropped && c.due != nil {
		cs.leaveStage(c)
		_ = c.conn.Close()
	}
}

// writeClient writes to a client; a write that fails ends the connection within it.
func (cs *clients) writeClient(c *client, out []byte) {
	cs.g.scratch = out[:0]
	if len(out) > 0 {
		_, _ = c.conn.Write(out)
	}
}

// readClient reads what a client sent, up to its next txn: further queries stay in the buffer.
func (cs *clients) readClient(ref slots.Ref) {
	for {
		c := cs.open.Get(ref)
		if c == nil {
			return
		}
		if c.stage == leaving {
			cs.held -= c.held
			c.held = 0
			cs.drop(c)
			return
		}
		waiting, out := c.conn.InboundBuffered(), c.conn.OutboundBuffered()
		c.notes(waiting, cs.g.clock.now())
		cs.held += waiting + out - c.held
		c.held = waiting + out
		// What is read of a client's requests is taken: to end its connection loses them all. So only memory bounds them.
		memory := cs.g.config.Limits.MemoryMB << 20
		if waiting > max(memory/aheadPart, mostMessage) {
			cs.refuse(ref, "08P01", "too much sent ahead")
			return
		}
		if cs.held > memory/memoryPart && c.held > fairShare {
			cs.refuse(ref, "53300", "no memory for more")
			return
		}
		if cs.g.txns.Get(c.txn) != nil {
			cs.enter(ref, c, asking)
			return
		}
		if out > 0 { // a slow reader gets no further answers until it has read these
			cs.enter(ref, c, unread)
			cs.again(ref, c)
			return
		}
		// What was read of a query is served; one that is still on its way is sent again elsewhere.
		if cs.g.closing && waiting == 0 && c.asked { // who comes now asks once more what crossed the end of its last connection
			cs.dismiss(ref)
			return
		}
		if waiting == 0 {
			cs.enter(ref, c, c.silence())
			return
		}
		buf, err := c.conn.Peek(min(waiting, pgwire.HeaderSize))
		if err == nil && c.admitted && waiting > pgwire.HeaderSize {
			// No more than one message: a ring that wraps is copied.
			buf, err = c.conn.Peek(min(waiting, pgwire.MessageSize(buf)))
		} else if err == nil && !c.admitted {
			buf, err = c.conn.Peek(min(waiting, pgwire.MaxStartupPacketSize))
		}
		if err != nil {
			return
		}
		size := 0
		if c.admitted {
			size = cs.readMessage(ref, c, buf)
		} else {
			size = cs.readOpening(ref, c, buf)
		}
		if size == 0 {
			// Part of a message, or a txn's query, which stays; a write may have ended it, or sent it away.
			if c = cs.open.Get(ref); c != nil && c.stage != leaving && c.stage != unread {
				cs.enter(ref, c, c.holding())
			}
			return
		}
		if c = cs.open.Get(ref); c != nil && c.stage != leaving {
			c.takes(size)
		}
	}
}

// silence is the stage of a client of which nothing is unread.
func (c *client) silence() stage {
	if c.asked {
		return quiet
	}
	return fresh
}

// holding is the stage of a client whose first message stays in its buffer.
func (c *client) holding() stage {
	if c.txn != (slots.Ref{}) {
		return asking
	}
	return begun
}

// readOpening takes one message before a session; 0 is none.
func (cs *clients) readOpening(ref slots.Ref, c *client, buf []byte) int {
	kind, size, err := pgwire.ReadStartupPacket(buf)
	switch {
	case err != nil:
		cs.refuse(ref, "08P01", "no startup message of protocol version 3")
		return 0
	case kind == pgwire.EncryptionRequest:
		cs.writeClient(c, append(cs.g.scratch[:0], 'N'))
	case kind == pgwire.CancelRequest:
		if key, ok := pgwire.ReadCancelKey(buf[:size]); ok {
			cs.cancel(key)
		}
		cs.close(c, closedByCancel)
		return 0
	case kind == pgwire.Startup && !c.counted:
		cs.refuse(ref, "53300", "too many connections")
		return 0
	case kind == pgwire.Startup:
		c.user, c.database = pgwire.StartupNames(buf[:size])
		ok, first := cs.admit(c)
		if first && cs.waitsForPart(c) {
			cs.againIn(ref, c, partLook)
			return 0
		}
		c.partAt = 0
		if !ok {
			cs.refuse(ref, "53300", routes.TenantConnections.String())
			return 0
		}
		c.admitted = true
		cs.giveKey(ref, c)
		cs.writeClient(c, pgwire.AppendAuthenticationOK(cs.g.scratch[:0], c.key))
	}
	return size
}

// readMessage takes one message of a session; 0 is none, or one that stays in the buffer.
func (cs *clients) readMessage(ref slots.Ref, c *client, buf []byte) int {
	kind, body, size, err := pgwire.ReadMessage(buf, mostMessage)
	if err != nil {
		cs.refuse(ref, "08P01", "malformed message")
		return 0
	}
	if size == 0 {
		return 0
	}
	switch kind {
	case 'Q':
		return cs.readQuery(ref, c, body, size)
	case 'X':
		cs.close(c, closedTerminated)
		return 0
	case 'S': // Sync
		c.skipping = false
		cs.writeClient(c, pgwire.AppendReadyForQuery(cs.g.scratch[:0]))
	case 'P', 'B', 'D', 'E', 'C', 'H', 'F': // the extended protocol and function calls
		if !c.skipping {
			c.skipping = kind != 'F'
			out := pgwire.AppendError(cs.g.scratch[:0], "ERROR", "0A000", "only simple queries are served", "")
			if kind == 'F' {
				out = pgwire.AppendReadyForQuery(out)
			}
			cs.writeClient(c, out)
		}
	default:
		cs.refuse(ref, "08P01", "unknown message "+strconv.QuoteRune(rune(kind)))
		return 0
	}
	return size
}

// readQuery takes a query. That of a txn stays in the buffer, where each submission reads it, until answered.
func (cs *clients) readQuery(ref slots.Ref, c *client, body []byte, size int) int {
	text, ok := pgwire.ReadString(body)
	if !ok {
		cs.refuse(ref, "08P01", "malformed query")
		return 0
	}
	if len(trimmed(text)) == 0 {
		if !cs.g.discovery.list.held || cs.g.agreed != nil && !cs.g.agreed.ready() { // not yet able to serve: the answer waits until it is
			cs.again(ref, c)
			return 0
		}
		cs.writeClient(c, pgwire.AppendReadyForQuery(pgwire.AppendEmptyQueryResponse(cs.g.scratch[:0])))
		return size
	}
	if cs.stillWaits(c) {
		cs.againIn(ref, c, partLook)
		return 0
	}
	problem := cs.g.arrived(ref, c, text, size)
	if problem == waitForPart {
		cs.againIn(ref, c, partLook)
		return 0
	}
	c.partAt = 0
	if problem == "" {
		c.asked, c.errors = true, 0
		return 0
	}
	// One that sends nothing else would be answered at its full speed.
	if c.errors++; c.errors == mostErrors {
		cs.refuse(ref, "42601", problem)
		return 0
	}
	out := pgwire.AppendError(cs.g.scratch[:0], "ERROR", "42601", problem, "")
	cs.writeClient(c, pgwire.AppendReadyForQuery(out))
	return size
}

func trimmed(text []byte) []byte {
	for len(text) > 0 && (text[0] <= ' ' || text[0] == ';') {
		text = text[1:]
	}
	return text
}
