package gateway

import (
	"bytes"
	"context"
	"io"
	"testing"

	"magpieglade/internal/pgwire"
	"magpieglade/pacing"
)

// clientPauses returns the pauses of clients by what they were made to wait for.
func (g *Gateway) clientPauses(t *testing.T) map[string]uint64 {
	t.Helper()
	stats, err := g.Stats(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return stats.Outcomes.ClientPauses
}

// TestPausesAreCountedByReason guards against pauses that nobody sees, and against ones of clients that wait for each answer.
func TestPausesAreCountedByReason(t *testing.T) {
	t.Parallel()
	const awaited, pipelined = 500, 1_000_000 // more than the answers that buffers of sockets hold
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	c := connectClient(t, g)
	check := pgwire.AppendQuery(nil, "")
	for range awaited {
		_, _ = c.Write(check)
		c.readResponse()
	}
	if pauses := g.clientPauses(t); len(pauses) > 0 {
		t.Errorf("a client that waits for each answer pauses: %v", pauses)
	}
	_, _ = c.Write(bytes.Repeat(check, pipelined))
	for range pipelined {
		c.readResponse()
	}
	if pauses := g.clientPauses(t); pauses[string(pacing.ControlMessages)] == 0 || pauses[string(pacing.Queries)] > 0 {
		t.Errorf("pauses of a client that sends %d checks before it reads: %v", pipelined, pauses)
	}
	stop()
	<-ended
}

// TestEncryptionRequestsAreLimited guards against a client that asks for encryption without end, and against one that is turned
// away as it asks for more than one kind.
func TestEncryptionRequestsAreLimited(t *testing.T) {
	t.Parallel()
	encryptionRequest := []byte{0, 0, 0, 8, 4, 210, 22, 47}
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	for _, requests := range []int{maxEncryptionRequests, maxEncryptionRequests + 1} {
		c := newTestConn(dialGateway(t, g))
		_, _ = c.Write(bytes.Repeat(encryptionRequest, requests))
		refusals := make([]byte, maxEncryptionRequests)
		if _, err := io.ReadFull(c.r, refusals); err != nil || string(refusals) != "NNNNNNNN" {
			t.Fatalf("%d requests: %q, %v", requests, refusals, err)
		}
		if requests > maxEncryptionRequests {
			if got := c.readResponse(); got != "08P01the connection ended" {
				t.Errorf("after %d requests: %q", requests, got)
			}
			continue
		}
		_, _ = c.Write(pgwire.AppendStartup(nil, "portal", "crm"))
		if got := c.readResponse(); got != "" {
			t.Errorf("no session after %d requests: %q", requests, got)
		}
	}
	stop()
	<-ended
}
