package gateway

import (
	"strconv"

	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
	"magpieglade/routes"
)

// readClient processes what a client sent, up to its next txn: further queries stay in the buffer, and what is beyond a read
// behind that query stays in the socket.
func (cs *clients) readClient(ref slots.Ref) {
	cs.processInput(ref)
	if c := cs.conns.Get(ref); c != nil {
		cs.updateReading(c)
	}
}

// processInput processes messages of a client until one has to wait.
func (cs *clients) processInput(ref slots.Ref) {
	for {
		c := cs.conns.Get(ref)
		if c == nil {
			return
		}
		if c.stage == stageClosing {
			cs.bufferedBytes -= c.bufferedBytes
			c.bufferedBytes = 0
			cs.discardInput(c)
			return
		}
		if !cs.limitInput(ref, c) || c.stage == stagePaused {
			return
		}
		if cs.g.txns.Get(c.txn) != nil {
			cs.enterStage(ref, c, stageInTxn)
			return
		}
		if c.conn.OutboundBuffered() > 0 { // a slow reader gets no further responses until it has read these
			cs.setAsideControlMessages(c)
			cs.enterStage(ref, c, stageUnreadOutput)
			cs.pollLater(ref, c)
			return
		}
		if len(c.setAside) > 0 {
			if !cs.answerSetAside(ref, c) {
				return
			}
			continue
		}
		waiting := c.unprocessed()
		if waiting == 0 && c.dropped != nil {
			if !cs.answerDropped(ref, c) {
				return
			}
			continue
		}
		if c.fatalError != nil && c.dropped == nil {
			cs.closeWithError(ref, c.fatalError.code, c.fatalError.message)
			return
		}
		// A query that was read, even in part, is served; one still in transit is sent again elsewhere.
		if cs.g.closingClients && waiting == 0 && c.hasQueried { // a new connection resends the query that crossed the end of the last one
			cs.closeAfterResponses(ref)
			return
		}
		if waiting == 0 {
			cs.enterStage(ref, c, c.silentStage())
			return
		}
		buf, err := c.peek(min(waiting, pgwire.HeaderSize))
		if err == nil && c.admitted && waiting > pgwire.HeaderSize {
			// Peek at no more than one message, and only once it is whole: a ring buffer that wraps is copied.
			if size := pgwire.MessageSize(buf); size <= waiting {
				buf, err = c.peek(size)
			}
		} else if err == nil && !c.admitted {
			buf, err = c.peek(min(waiting, pgwire.MaxStartupPacketSize))
		}
		if err != nil {
			return
		}
		size := 0
		if c.admitted {
			size = cs.readMessage(ref, c, buf)
		} else {
			size = cs.readStartup(ref, c, buf)
		}
		if size == 0 {
			// Part of a message, or a txn's query, which stays in the buffer. A write may have closed the client or moved its stage.
			if c = cs.conns.Get(ref); c != nil && c.stage != stageClosing && c.stage != stageUnreadOutput && c.stage != stagePaused {
				cs.enterStage(ref, c, c.pendingStage())
			}
			return
		}
		if c = cs.conns.Get(ref); c != nil && c.stage != stageClosing {
			c.consume(size)
		}
	}
}

// silentStage is the stage of a client whose input buffer is empty.
func (c *client) silentStage() stage {
	if c.hasQueried {
		return stageIdle
	}
	return stageConnected
}

// pendingStage is the stage of a client whose first message stays in the buffer.
func (c *client) pendingStage() stage {
	if c.txn != (slots.Ref{}) {
		return stageInTxn
	}
	return stagePartialMessage
}

// readStartup processes one startup-phase message and returns its size; 0 if there is none or it stays in the buffer.
func (cs *clients) readStartup(ref slots.Ref, c *client, buf []byte) int {
	kind, size, err := pgwire.ReadStartupPacket(buf)
	switch {
	case err != nil:
		cs.closeWithError(ref, "08P01", "no startup message of protocol version 3")
		return 0
	case kind == pgwire.EncryptionRequest && c.encryptionRequests == maxEncryptionRequests:
		cs.closeWithError(ref, "08P01", "too many requests for encryption")
		return 0
	case kind == pgwire.EncryptionRequest:
		c.encryptionRequests++
		cs.writeClient(c, append(cs.g.scratch[:0], 'N'))
	case kind == pgwire.CancelRequest:
		if key, ok := pgwire.ReadCancelKey(buf[:size]); ok {
			cs.cancelQuery(key)
		}
		cs.close(c, closedByCancel)
		return 0
	case kind == pgwire.Startup && !c.hasDescriptor:
		cs.closeWithError(ref, "53300", "too many connections")
		return 0
	case kind == pgwire.Startup:
		c.user, c.database = pgwire.StartupNames(buf[:size])
		ok, awaitsAllocation := cs.admit(c)
		if awaitsAllocation && cs.waitForAllocation(c) {
			cs.pollIn(ref, c, allocationPollInterval)
			return 0
		}
		c.allocationWaitSince = 0
		if !ok {
			cs.closeWithError(ref, "53300", routes.TenantConnections.String())
			return 0
		}
		c.admitted = true
		cs.assignCancelKey(ref, c)
		cs.writeClient(c, pgwire.AppendAuthenticationOK(cs.g.scratch[:0], c.cancelKey))
	}
	return size
}

// readMessage processes a query of a session, or the messages up to the next one, and returns their size; 0 if there is none or
// it stays in the buffer.
func (cs *clients) readMessage(ref slots.Ref, c *client, buf []byte) int {
	kind, body, size, err := pgwire.ReadMessage(buf, maxMessageSize)
	if err != nil {
		cs.closeWithError(ref, "08P01", "malformed message")
		return 0
	}
	if size == 0 {
		return 0
	}
	switch {
	case kind == 'X':
		cs.close(c, closedTerminated)
		return 0
	case kind == 'Q' && !isEmptyStatement(body):
		return cs.readQuery(ref, c, body, size)
	case kind == 'Q' && !cs.canServe():
		cs.pollLater(ref, c) // the response waits until queries can be served
		return 0
	}
	return cs.answerControlMessages(ref, c, size)
}

// canServe reports whether the gateway has all that it needs to serve queries.
func (cs *clients) canServe() bool {
	return cs.g.discovery.list.received && (cs.g.agreement == nil || cs.g.agreement.ready())
}

// closeForUnknownMessage ends the connection of a client that sent a message of an unknown kind.
func (cs *clients) closeForUnknownMessage(ref slots.Ref, kind byte) {
	cs.closeWithError(ref, "08P01", "unknown message "+strconv.QuoteRune(rune(kind)))
}

// readQuery processes a query and returns its size, or 0 if it stays in the buffer. A txn's query stays there, where each
// submission reads it, until it is answered.
func (cs *clients) readQuery(ref slots.Ref, c *client, body []byte, size int) int {
	text, ok := pgwire.ReadString(body)
	if !ok {
		cs.closeWithError(ref, "08P01", "malformed query")
		return 0
	}
	if !cs.mayProcess(ref, c) {
		return 0
	}
	if cs.stillAwaitsAllocation(c) {
		cs.pollIn(ref, c, allocationPollInterval)
		return 0
	}
	problem := cs.g.receiveTxn(ref, c, text, size)
	if problem == awaitingAllocation {
		cs.pollIn(ref, c, allocationPollInterval)
		return 0
	}
	c.allocationWaitSince = 0
	if problem == "" {
		c.hasQueried, c.consecutiveErrors = true, 0
		return 0
	}
	// A client that sends only invalid statements would otherwise be answered as fast as it sends.
	if c.consecutiveErrors++; c.consecutiveErrors == maxConsecutiveErrors {
		cs.closeWithError(ref, "42601", problem)
		return 0
	}
	out := pgwire.AppendError(cs.g.scratch[:0], "ERROR", "42601", problem, "")
	cs.writeClient(c, pgwire.AppendReadyForQuery(out))
	return size
}
