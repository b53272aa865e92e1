package gateway

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"strings"
	"syscall"

	"magpieglade/decide"
)

// closeReason says why a client's connection was closed. It is a label of logs and metrics.
type closeReason string

const (
	closedByClient      closeReason = "client closed"
	closedTerminated    closeReason = "client terminated"
	closedByCancel      closeReason = "cancel request done"
	closedByError       closeReason = "connection error"
	closedIdle          closeReason = "idle"
	closedForRoom       closeReason = "descriptors needed"
	closedTooMany       closeReason = "no descriptor"
	closedSlowReader    closeReason = "answers not read"
	closedByShutdown    closeReason = "shutdown"
	closedWithLoop      closeReason = "event loop ended"
	closedWithErrorCode closeReason = "refused " // and the SQLSTATE that the client was told
)

// byClient tells whether the client itself ended the connection.
func (r closeReason) byClient() bool {
	return r == closedByClient || r == closedTerminated
}

// answered tells whether the client was told an error before its connection was closed.
func (r closeReason) answered() bool {
	return strings.HasPrefix(string(r), string(closedWithErrorCode))
}

// reasonOf derives the reason of a close that the gateway did not ask for from the error of the network library, which
// gives none where it closes all connections at the end of its loop.
func reasonOf(err error) closeReason {
	switch {
	case err == nil:
		return closedWithLoop
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return closedByClient
	}
	return closedByError
}

// outcomes count how connections and requests ended, by cause. They belong to the loop.
type outcomes struct {
	clientsClosed map[closeReason]uint64
	unanswered    map[closeReason]uint64 // requests whose connection ended before their answer
	attempts      map[decide.Result]uint64
	acceptErrors  map[string]uint64
	dialErrors    map[string]uint64
}

func newOutcomes() outcomes {
	return outcomes{
		clientsClosed: map[closeReason]uint64{},
		unanswered:    map[closeReason]uint64{},
		attempts:      map[decide.Result]uint64{},
		acceptErrors:  map[string]uint64{},
		dialErrors:    map[string]uint64{},
	}
}

// Outcomes are counters by cause since the start of the process.
type Outcomes struct {
	ClientsClosed map[string]uint64 // client connections, by the reason of their close
	Unanswered    map[string]uint64 // requests that got no final answer, by the reason of their connection's close
	Attempts      map[string]uint64 // attempts at members, by result
	AcceptErrors  map[string]uint64 // failed accepts of client connections, by error
	DialErrors    map[string]uint64 // failed connects to members and discovery, by error
}

func (o *outcomes) snapshot() Outcomes {
	return Outcomes{
		ClientsClosed: labelled(o.clientsClosed),
		Unanswered:    labelled(o.unanswered),
		Attempts:      byResult(o.attempts),
		AcceptErrors:  maps.Clone(o.acceptErrors),
		DialErrors:    maps.Clone(o.dialErrors),
	}
}

func labelled(counts map[closeReason]uint64) map[string]uint64 {
	out := make(map[string]uint64, len(counts))
	for reason, n := range counts {
		out[string(reason)] = n
	}
	return out
}

func byResult(counts map[decide.Result]uint64) map[string]uint64 {
	out := make(map[string]uint64, len(counts))
	for result, n := range counts {
		out[result.String()] = n
	}
	return out
}

// noteUnanswered counts a request whose connection ends before its answer, and logs it with its id unless its
// client left.
func (g *Gateway) noteUnanswered(t *txn, reason closeReason) {
	g.outcomes.unanswered[reason]++
	if reason.byClient() {
		return
	}
	g.log.Warn("request ends without an answer", "id", requestID(t.id), "class", g.names.Classes[t.class].Name, "reason", string(reason),
		"age_ms", int64((g.clock.now()-t.arrived)/decide.Millisecond), "attempts", len(t.subs))
}

// requestID words a request's id as clients do, in their statement's comment.
func requestID(id uint64) string { return fmt.Sprintf("%016x", id) }
