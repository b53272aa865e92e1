package gateway

import (
	"io"
	"math/bits"
	"slices"

	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
)

// Input that a client has sent and the gateway has not processed. A request that was read is owed its answer, so input for
// which there is no memory does not end the connection: its messages are dropped as they arrive, and each is answered in
// its turn, a query by a rejection, as nothing of it was sent to any member.

// droppedInput is what a client sent beyond its share of the memory. While a client has one, all that arrives is dropped.
type droppedInput struct {
	kept       []byte         // whole messages from before it, which are processed first
	unanswered []messageRun   // the dropped messages that are not answered yet, in the order of their arrival
	scanner    pgwire.Scanner // follows the message that is being dropped
}

// unprocessed returns how many bytes of input are to be processed.
func (c *client) unprocessed() int {
	if c.dropped != nil {
		return len(c.dropped.kept)
	}
	return c.conn.InboundBuffered()
}

// peek returns the first size bytes of the input without consuming them.
func (c *client) peek(size int) ([]byte, error) {
	if c.dropped == nil {
		return c.conn.Peek(size)
	}
	if size > len(c.dropped.kept) {
		return nil, io.ErrShortBuffer
	}
	return c.dropped.kept[:size], nil
}

// allowedInput returns how many bytes of input a client may hold, besides its unsent responses.
func (cs *clients) allowedInput(c *client) int {
	memory := cs.g.config.Limits.MemoryMB << 20
	others := cs.bufferedBytes - c.bufferedBytes
	share := max(memory/bufferMemoryDivisor-others, cs.guaranteedInput())
	return min(share, max(memory/clientInputMemoryDivisor, maxMessageSize)) - c.conn.OutboundBuffered()
}

// guaranteedInput returns how many bytes of input each client may hold even when all buffers are full: no more than as many
// clients as there are descriptors for can hold together.
func (cs *clients) guaranteedInput() int {
	memory := cs.g.config.Limits.MemoryMB << 20
	total := cs.g.budget.total
	return min(guaranteedBufferSize, memory/bufferMemoryDivisor/max(1, total-total/memberDescriptorDivisor))
}

// bufferCapacity returns the memory of a buffer that holds so many bytes: the network library allocates powers of two.
func bufferCapacity(size int) int {
	if size == 0 {
		return 0
	}
	return 1 << bits.Len(uint(size-1))
}

// updateReading stops reading from a client that has sent much behind the message that it waits with, so that its own system
// keeps the rest, and resumes it once that has been processed.
func (cs *clients) updateReading(c *client) {
	stop := c.stage != stageClosing && (c.readAhead() > maxReadAhead || c.dropped != nil && len(c.dropped.unanswered) > maxUnansweredRuns)
	switch {
	case stop && !c.conn.ReadingStopped():
		c.unreadSince = cs.g.clock.now()
		c.conn.StopReading()
	case !stop:
		cs.resumeReading(c)
	}
}

// resumeReading resumes reading from a client if it was stopped.
func (cs *clients) resumeReading(c *client) {
	if c.conn.ReadingStopped() {
		c.conn.ResumeReading()
	}
}

// readAhead returns how many bytes a client has sent behind the first message of its input, 0 if that is not whole.
func (c *client) readAhead() int {
	waiting := c.unprocessed()
	if waiting <= maxReadAhead || !c.admitted {
		return 0
	}
	first, err := c.peek(pgwire.HeaderSize)
	if err != nil {
		return 0
	}
	return waiting - pgwire.MessageSize(first)
}

// limitInput counts a client's buffers and drops the input that is beyond its share of the memory. It returns false if the
// connection ends by it.
func (cs *clients) limitInput(ref slots.Ref, c *client) bool {
	c.recordArrival(c.unprocessed(), cs.g.clock.now())
	if c.dropped != nil {
		cs.dropArrived(c)
	} else if allowed := cs.allowedInput(c); c.conn.InboundBuffered() > allowed {
		if !c.admitted { // no request can have been taken
			cs.closeWithError(ref, "53300", "no memory for more")
			return false
		}
		cs.dropBeyond(c, allowed)
	}
	buffered := bufferCapacity(c.unprocessed()) + bufferCapacity(c.conn.OutboundBuffered())
	if c.dropped != nil {
		buffered += cap(c.dropped.unanswered) * messageRunSize
	}
	buffered += cap(c.setAside) * messageRunSize
	cs.bufferedBytes += buffered - c.bufferedBytes
	c.bufferedBytes = buffered
	return true
}

// dropBeyond begins to drop a client's input. The whole messages within the allowed size are kept, and so is the query of
// an open txn.
func (cs *clients) dropBeyond(c *client, allowed int) {
	if t := cs.g.txns.Get(c.txn); t != nil {
		allowed = max(allowed, t.querySize)
	}
	input, err := c.conn.Peek(-1)
	if err != nil {
		return
	}
	size := sizeOfWholeMessages(input, allowed)
	if size == len(input) {
		return
	}
	c.dropped = &droppedInput{kept: slices.Clone(input[:size])}
	if size > 0 { // a discard of 0 bytes discards all
		c.conn.Discard(size)
	}
	for i := range c.arrivals {
		c.arrivals[i].upTo = min(c.arrivals[i].upTo, c.consumedBytes+int64(size))
	}
	cs.dropArrived(c)
}

// sizeOfWholeMessages returns the size of the whole messages at the beginning of the input that fit into a maximum size.
func sizeOfWholeMessages(input []byte, maxSize int) (total int) {
	for {
		_, _, size, err := pgwire.ReadMessage(input[total:], maxMessageSize)
		if err != nil || size == 0 || total+size > maxSize {
			return total
		}
		total += size
	}
}

// dropArrived drops what has arrived and records which messages it ended. Once the stream cannot be followed, or too many
// responses are owed, the connection is to be closed after those that are recorded.
func (cs *clients) dropArrived(c *client) {
	arrived, err := c.conn.Peek(-1)
	if err != nil || len(arrived) == 0 {
		return
	}
	d := c.dropped
	if c.fatalError == nil {
		var kinds []byte
		kinds, err = d.scanner.Scan(cs.g.scratch[:0], arrived, maxMessageSize)
		d.unanswered = appendRuns(d.unanswered, kinds)
		switch {
		case err != nil:
			c.fatalError = &fatalError{"08P01", "malformed message"}
		case len(d.unanswered) > maxDroppedMessages:
			c.fatalError = &fatalError{"08P01", "too much sent ahead"}
		}
	}
	c.conn.Discard(len(arrived))
}

// answerDropped answers the dropped messages of a client that has its responses to all that came before them. It returns
// false if there is nothing more to process.
func (cs *clients) answerDropped(ref slots.Ref, c *client) bool {
	d := c.dropped
	for len(d.unanswered) > 0 {
		run := &d.unanswered[0]
		switch {
		case run.kind == 'X':
			cs.close(c, closedTerminated)
			return false
		case run.kind == 'Q' && !cs.mayProcess(ref, c):
			return false
		case run.kind == 'Q':
			run.count--
			cs.rejectDroppedQuery(c)
		case !isControlMessage(run.kind):
			cs.closeForUnknownMessage(ref, run.kind)
			return false
		case !cs.mayAnswerControl(ref, c):
			return false
		default:
			out := c.appendRunAnswers(cs.g.scratch[:0], run)
			cs.pacer.CountControl(&c.pace, len(out))
			cs.writeClient(c, out)
		}
		if run.count == 0 {
			d.unanswered = d.unanswered[1:]
		}
		if c = cs.conns.Get(ref); c == nil {
			return false
		}
		if c.conn.OutboundBuffered() > 0 {
			return true // the rest follows once the client has read these
		}
	}
	switch {
	case c.fatalError != nil:
		cs.closeWithError(ref, c.fatalError.code, c.fatalError.message)
		return false
	case d.scanner.InMessage():
		cs.enterStage(ref, c, stagePartialMessage)
		return false
	}
	c.dropped = nil
	return true
}

// rejectDroppedQuery answers a query that was dropped: no member got it, so its client may safely send it again.
func (cs *clients) rejectDroppedQuery(c *client) {
	c.hasQueried = true
	cs.g.counts.taken++
	cs.g.counts.declined++
	cs.g.outcomes.queriesDropped++
	out := pgwire.AppendError(cs.g.scratch[:0], "ERROR", "53300", "no memory for more, trying again does no harm", "")
	cs.writeClient(c, pgwire.AppendReadyForQuery(out))
}

// consume discards the first size bytes of the buffer, which have been processed.
func (c *client) consume(size int) {
	if c.dropped != nil {
		c.dropped.kept = c.dropped.kept[size:]
	} else {
		c.conn.Discard(size)
	}
	c.consumedBytes += int64(size)
	consumed := 0
	for consumed < len(c.arrivals) && c.arrivals[consumed].upTo <= c.consumedBytes {
		consumed++
	}
	c.arrivals = slices.Delete(c.arrivals, 0, consumed)
}
