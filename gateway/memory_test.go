package gateway

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"magpieglade/internal/pgwire"
)

// gatedMember answers each query, once release is closed, and records the ids of the txns that it got.
type gatedMember struct {
	mu       sync.Mutex
	received map[string]int
	first    chan bool // gets a value per query
	release  chan bool
}

func (s *scriptedServer) serveGated() *gatedMember {
	m := &gatedMember{received: map[string]int{}, first: make(chan bool, 1000), release: make(chan bool)}
	go func() {
		for e := range s.accepted {
			go func() {
				e.readStartup()
				e.sendReady()
				for text, ok := e.readQuery(); ok; text, ok = e.readQuery() {
					m.mu.Lock()
					m.received[requestID(text)]++
					m.mu.Unlock()
					m.first <- true
					<-m.release
					e.sendRow("m", "read-write")
				}
			}()
		}
	}()
	return m
}

// requestID returns the id in a statement's comment.
func requestID(text string) string {
	_, rest, _ := strings.Cut(text, "id=")
	id, _, _ := strings.Cut(rest, ",")
	return id
}

// largeOnceWrite returns a once-only write of about 128 KiB and its id.
func largeOnceWrite() (id string, message []byte) {
	id = fmt.Sprintf("%016x", lastTestID.Add(1))
	return id, pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=once,d=9000,cluster=0 */ INSERT INTO facts (code, data) VALUES ('7f3a', '\\x%s')", id, strings.Repeat("9f", 64<<10)))
}

// TestPipelinesBeyondTheMemoryAreAnswered guards against connections that are ended for lack of memory: the error stood for
// the answer of a write that ran, and what was taken behind it got none.
func TestPipelinesBeyondTheMemoryAreAnswered(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name             string
		clients, queries int  // each query has 128 KiB; of 32 MB one client may hold 2 MB and all together 8 MB
		fits             bool // the first query of each client, behind which no more than a read is kept
	}{{"one client", 1, 40, true}, {"all clients together", 8, 14, true}, {"more clients than queries fit", 80, 2, false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, s := newScriptedServer(t), newScriptedServer(t)
			g, ended, stop := startTestGatewayWith(t, func(c *Config) { c.Limits.MemoryMB, c.Limits.Sockets = 32, 512 }, d, s.listEntry("m", "active"))
			m := s.serveGated()
			conns, ids := make([]*testConn, test.clients), make([][]string, test.clients)
			var written, answered sync.WaitGroup
			for i := range conns {
				conns[i] = connectClient(t, g)
				var all []byte
				for range test.queries {
					id, message := largeOnceWrite()
					ids[i] = append(ids[i], id)
					all = append(all, message...)
				}
				written.Go(func() { _, _ = conns[i].Write(all) })
			}
			<-m.first
			g.awaitInputRead()
			close(m.release)
			responses := make([][]string, test.clients)
			for i := range conns {
				answered.Go(func() {
					for range ids[i] {
						responses[i] = append(responses[i], conns[i].readResponse())
					}
					conns[i].sendTxn("any", 9000)
					if got := conns[i].readResponse(); got != "served by m" {
						t.Errorf("client %d, afterwards: %s", i, got)
					}
				})
			}
			answered.Wait()
			written.Wait()
			rejected := 0
			for i := range ids {
				for j, id := range ids[i] {
					switch got := responses[i][j]; {
					case got == "served by m" && m.received[id] == 1:
					case got == "53300" && m.received[id] == 0:
						rejected++
					default:
						t.Errorf("client %d, query %d: %s, submitted %d times", i, j, got, m.received[id])
					}
				}
			}
			if test.fits != (rejected == 0) {
				t.Errorf("%d queries were rejected for lack of memory", rejected)
			}
			stop()
			<-ended
		})
	}
}

// TestMessagesBehindDroppedQueries guards against messages of other kinds that get lost, or are answered out of turn, when
// they arrive behind queries for which there is no memory.
func TestMessagesBehindDroppedQueries(t *testing.T) {
	t.Parallel()
	const queries = 40
	_, half := largeOnceWrite()
	for _, test := range []struct{ name, tail, want string }{
		{"sync", "S\x00\x00\x00\x04", ""},
		{"extended protocol", "P\x00\x00\x00\x08\x00\x00\x00\x00S\x00\x00\x00\x04", "0A000"},
		{"terminate", "X\x00\x00\x00\x04", "the connection ended"},
		{"malformed", "Q\x00\x00\x00\x00", "08P01the connection ended"},
		{"unknown kind", "k\x00\x00\x00\x04", "08P01the connection ended"},
		{"half a query", string(half[:len(half)/2]), "08P01the connection ended"},
		{"more messages than are counted", strings.Repeat("S\x00\x00\x00\x04", 2*maxDroppedMessages), ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, s := newScriptedServer(t), newScriptedServer(t)
			g, ended, stop := startTestGatewayWith(t, func(c *Config) { c.Limits.MemoryMB, c.Limits.Sockets = 32, 512 }, d, s.listEntry("m", "active"))
			m := s.serveGated()
			g.fillInputMemory(t)
			c := connectClient(t, g)
			var all []byte
			for range queries {
				_, message := largeOnceWrite()
				all = append(all, message...)
			}
			_, _ = c.Write(append(all, test.tail...))
			g.awaitInputRead()
			close(m.release)
			rejected := 0
			for i := range queries {
				got := c.readResponse()
				if got != "served by m" && got != "53300" {
					t.Fatalf("query %d: %s", i, got)
				}
				if got == "53300" {
					rejected++
				}
			}
			if rejected == 0 {
				t.Error("all queries fitted into the memory")
			}
			if got := c.readResponse(); got != test.want {
				t.Errorf("then %q, want %q", got, test.want)
			}
			stop()
			<-ended
		})
	}
}

// fillInputMemory has many clients send a large query each, which stays in the memory for the input of clients until the member
// answers.
func (g *Gateway) fillInputMemory(t *testing.T) {
	t.Helper()
	const clients = 60 // the buffer of each query takes 256 KiB; of 32 MB all clients together may hold 8 MB
	for range clients {
		c := connectClient(t, g)
		_, message := largeOnceWrite()
		go func() { _, _ = c.Write(message) }()
	}
	for full := false; !full; {
		g.runOnLoop(func() {
			full = g.clients.bufferedBytes >= g.config.Limits.MemoryMB<<20/bufferMemoryDivisor-maxMessageSize
		})
	}
}

// awaitInputRead waits until all that clients sent has been read, but for those from whom nothing more is read.
func (g *Gateway) awaitInputRead() {
	for read := false; !read; {
		g.runOnLoop(func() {
			read = true
			for _, ref := range g.clients.conns.Refs() {
				c := g.clients.conns.Get(ref).conn
				read = read && (c.ReadingStopped() || !hasUnread(c.Fd()))
			}
		})
	}
}
