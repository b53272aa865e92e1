package gateway

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"syscall"

	"magpieglade/decide"
	"magpieglade/pacing"
)

// closeReason is why a client's connection was closed. Logs and metrics use it as a label.
type closeReason string

const (
	closedByClient          closeReason = "client closed"
	closedTerminated        closeReason = "client terminated"
	closedByCancel          closeReason = "cancel request done"
	closedByConnectionError closeReason = "connection error"
	closedIdle              closeReason = "idle"
	closedForDescriptor     closeReason = "descriptors needed"
	closedNoDescriptor      closeReason = "no descriptor"
	closedSlowReader        closeReason = "answers not read"
	closedByShutdown        closeReason = "shutdown"
	closedWithLoop          closeReason = "event loop ended"
	closedWithErrorCode     closeReason = "refused " // followed by the SQLSTATE that was sent to the client
)

// byClient reports whether the client itself ended the connection.
func (r closeReason) byClient() bool {
	return r == closedByClient || r == closedTerminated
}

// closeReasonFor derives the reason of a close that the gateway did not initiate from the error of the network library,
// which is nil when the library closes all connections at the end of its event loop.
func closeReasonFor(err error) closeReason {
	switch {
	case err == nil:
		return closedWithLoop
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return closedByClient
	}
	return closedByConnectionError
}

// outcomes counts how connections and requests ended, by cause. Only the event loop may use it.
type outcomes struct {
	clientsClosed  map[closeReason]uint64
	unanswered     map[closeReason]uint64 // requests whose connection ended before their response
	attempts       map[decide.Result]uint64
	readsSent      map[decide.Proof]uint64
	acceptErrors   map[string]uint64
	dialErrors     map[string]uint64
	readsWithheld  uint64
	queriesDropped uint64
	stalls         uint64
	clientPauses   map[pacing.Reason]uint64
}

func newOutcomes() outcomes {
	return outcomes{
		clientsClosed: map[closeReason]uint64{},
		unanswered:    map[closeReason]uint64{},
		attempts:      map[decide.Result]uint64{},
		readsSent:     map[decide.Proof]uint64{},
		acceptErrors:  map[string]uint64{},
		dialErrors:    map[string]uint64{},
		clientPauses:  map[pacing.Reason]uint64{},
	}
}

// Outcomes holds counters by cause since the start of the process.
type Outcomes struct {
	ClientsClosed  map[string]uint64 // client connections, by the reason of their close
	Unanswered     map[string]uint64 // requests that got no final response, by the reason of their connection's close
	Attempts       map[string]uint64 // attempts at members, by result
	ReadsSent      map[string]uint64 // reads that were to be sent to members, by what proved their data fresh enough
	ReadsWithheld  uint64            // of those, such whose proof had aged when they were to be written
	QueriesDropped uint64            // queries rejected unread, as there was no memory for them
	ClientPauses   map[string]uint64 // times that a client was made to wait for other clients, by what it had sent much of
	Stalls         uint64            // times for which the event loop read nothing although a deadline had passed
	AcceptErrors   map[string]uint64 // failed accepts of client connections, by error
	DialErrors     map[string]uint64 // failed connects to members and discovery, by error
}

func (o *outcomes) snapshot() Outcomes {
	return Outcomes{
		ClientsClosed:  countsByReason(o.clientsClosed),
		Unanswered:     countsByReason(o.unanswered),
		Attempts:       countsByLabel(o.attempts),
		ReadsSent:      countsByLabel(o.readsSent),
		ReadsWithheld:  o.readsWithheld,
		QueriesDropped: o.queriesDropped,
		Stalls:         o.stalls,
		ClientPauses:   countsByReason(o.clientPauses),
		AcceptErrors:   maps.Clone(o.acceptErrors),
		DialErrors:     maps.Clone(o.dialErrors),
	}
}

func countsByReason[R ~string](counts map[R]uint64) map[string]uint64 {
	out := make(map[string]uint64, len(counts))
	for reason, n := range counts {
		out[string(reason)] = n
	}
	return out
}

func countsByLabel[K interface {
	comparable
	fmt.Stringer
}](counts map[K]uint64) map[string]uint64 {
	out := make(map[string]uint64, len(counts))
	for label, n := range counts {
		out[label.String()] = n
	}
	return out
}

// recordUnanswered counts a request whose connection ends before its response, and logs it unless the client itself
// closed the connection.
func (g *Gateway) recordUnanswered(t *txn, reason closeReason) {
	g.outcomes.unanswered[reason]++
	if reason.byClient() {
		return
	}
	g.log.Warn("request ends without an answer", "id", formatRequestID(t.id), "class", g.names.Classes[t.class].Name, "reason", string(reason),
		"age_ms", int64((g.clock.now()-t.arrived)/decide.Millisecond), "attempts", len(t.submissions))
}

// formatRequestID formats a request's id as clients write it in the statement's comment.
func formatRequestID(id uint64) string { return fmt.Sprintf("%016x", id) }
