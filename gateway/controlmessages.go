package gateway

import (
	"unsafe"

	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
)

// Control messages are those that execute nothing: empty statements, Sync and the rest of the extended protocol, which is not
// served, and function calls. Pools send them to check a connection before each use. All that one read has brought are answered
// with one write, so that a client that sends them at full speed costs the event loop little between two reads of the others.

// maxControlAnswer is how many bytes of answers to control messages are written at once.
const maxControlAnswer = 64 << 10

// answerControlMessages answers the control messages at the beginning of a client's input, of which the first has the given
// size, and returns their total size; 0 if they have to wait for the next turn. A message of an unknown kind ends the connection.
func (cs *clients) answerControlMessages(ref slots.Ref, c *client, firstSize int) (size int) {
	if !cs.mayAnswerControl(ref, c) {
		return 0
	}
	input, err := c.peek(max(firstSize, min(c.unprocessed(), readBufferSize)))
	if err != nil {
		return 0
	}
	out := cs.g.scratch[:0]
	for len(out) < maxControlAnswer {
		kind, messageSize := readControlMessage(input[size:])
		if messageSize == 0 {
			break
		}
		out = c.appendControlAnswer(out, kind)
		size += messageSize
	}
	if size == 0 {
		cs.closeForUnknownMessage(ref, input[0])
		return 0
	}
	cs.pacer.CountControl(&c.pace, size)
	cs.endStage(c) // the time for a message to arrive begins anew with the next one
	cs.writeClient(c, out)
	return size
}

// setAsideControlMessages takes the control messages at the beginning of the input of a client that has not read its answers. Of
// each only the kind is kept, so that a client which goes on sending takes no memory by it.
func (cs *clients) setAsideControlMessages(c *client) {
	if !c.admitted || c.dropped != nil || !cs.canServe() {
		return
	}
	input, err := c.peek(min(c.unprocessed(), readBufferSize))
	if err != nil {
		return
	}
	size := 0
	for len(c.setAside) < maxDroppedMessages {
		kind, messageSize := readControlMessage(input[size:])
		if messageSize == 0 {
			break
		}
		c.setAside = appendRuns(c.setAside, []byte{kind})
		size += messageSize
	}
	if size > 0 { // a discard of 0 bytes discards all
		c.consume(size)
	}
}

// answerSetAside answers some of the control messages that were set aside. It returns false if they have to wait for the next
// turn.
func (cs *clients) answerSetAside(ref slots.Ref, c *client) bool {
	if !cs.mayAnswerControl(ref, c) {
		return false
	}
	out := cs.g.scratch[:0]
	for len(c.setAside) > 0 && len(out) < maxControlAnswer {
		run := &c.setAside[0]
		out = c.appendRunAnswers(out, run)
		if run.count == 0 {
			c.setAside = c.setAside[1:]
		}
	}
	cs.pacer.CountControl(&c.pace, len(out))
	cs.endStage(c) // the time to read the answers begins anew
	cs.writeClient(c, out)
	return true
}

// appendRunAnswers appends the answers to control messages of one kind, up to maxControlAnswer, and takes them from the run.
func (c *client) appendRunAnswers(out []byte, run *messageRun) []byte {
	for run.count > 0 && len(out) < maxControlAnswer {
		out = c.appendControlAnswer(out, run.kind)
		run.count--
	}
	return out
}

// emptyStatement stands for a Query that holds no statement; no message has it as its kind.
const emptyStatement byte = 0

// readControlMessage returns the kind and the size of the control message at the beginning of the input; the size is 0 if there
// is none, or not the whole of it.
func readControlMessage(input []byte) (kind byte, size int) {
	kind, body, size, err := pgwire.ReadMessage(input, maxMessageSize)
	if err != nil || size == 0 {
		return 0, 0
	}
	if kind == 'Q' && isEmptyStatement(body) {
		kind = emptyStatement
	}
	if !isControlMessage(kind) {
		return 0, 0
	}
	return kind, size
}

// isControlMessage reports whether a message of this kind executes nothing.
func isControlMessage(kind byte) bool {
	switch kind {
	case emptyStatement, 'S', 'P', 'B', 'D', 'E', 'C', 'H', 'F':
		return true
	}
	return false
}

// appendControlAnswer appends the answer to a control message.
func (c *client) appendControlAnswer(out []byte, kind byte) []byte {
	switch {
	case kind == emptyStatement:
		return pgwire.AppendReadyForQuery(pgwire.AppendEmptyQueryResponse(out))
	case kind == 'S': // Sync
		c.skippingToSync = false
		return pgwire.AppendReadyForQuery(out)
	case c.skippingToSync:
		return out
	}
	out = pgwire.AppendError(out, "ERROR", "0A000", "only simple queries are served", "")
	if kind == 'F' { // a function call, which no Sync follows
		return pgwire.AppendReadyForQuery(out)
	}
	c.skippingToSync = true
	return out
}

// isEmptyStatement reports whether the body of a Query holds nothing but white space and semicolons.
func isEmptyStatement(body []byte) bool {
	text, ok := pgwire.ReadString(body)
	for _, b := range text {
		if b > ' ' && b != ';' {
			return false
		}
	}
	return ok
}

// messageRun is a query, or a number of control messages of one kind in a row.
type messageRun struct {
	kind  byte
	count int
}

// messageRunSize is the memory of a messageRun in bytes.
const messageRunSize = int(unsafe.Sizeof(messageRun{}))

// appendRuns appends messages, given by their kinds, to the runs before them.
func appendRuns(runs []messageRun, kinds []byte) []messageRun {
	for _, kind := range kinds {
		if n := len(runs); kind != 'Q' && n > 0 && runs[n-1].kind == kind {
			runs[n-1].count++
			continue
		}
		runs = append(runs, messageRun{kind, 1})
	}
	return runs
}
