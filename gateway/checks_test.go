package gateway_test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// rawClient speaks the protocol message by message.
type rawClient struct {
	net.Conn
	r *bufio.Reader
}

// connectRaw opens a session.
func (env *environment) connectRaw(t *testing.T) *rawClient {
	t.Helper()
	c, err := net.Dial("tcp4", env.address)
	must(err)
	t.Cleanup(func() { _ = c.Close() })
	client := &rawClient{c, bufio.NewReader(c)}
	client.send(startupMessage)
	if _, err := client.readAnswer(); err != nil {
		t.Fatal(err)
	}
	return client
}

func (c *rawClient) send(messages string) {
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	_, _ = io.WriteString(c, messages)
}

// readAnswer reads up to the next ReadyForQuery and returns the kinds of the messages before it.
func (c *rawClient) readAnswer() (kinds string, err error) {
	for {
		var header [5]byte
		if _, err := io.ReadFull(c.r, header[:]); err != nil {
			return kinds, err
		}
		if _, err := c.r.Discard(int(binary.BigEndian.Uint32(header[1:])) - 4); err != nil {
			return kinds, err
		}
		if header[0] == 'Z' {
			return kinds, nil
		}
		kinds += string(header[0])
	}
}

// check is what a pool sends to see whether a connection is alive, and the kinds of the answer to it.
type check struct{ name, messages, answer string }

func checks() []check {
	parse := message('P', "\x00\x00\x00\x00") + message('B', "\x00\x00\x00\x00\x00\x00\x00\x00") + message('E', "\x00\x00\x00\x00\x00") + message('S', "")
	return []check{
		{"empty statement", queryMessage(""), "I"},
		{"semicolon", queryMessage(";"), "I"},
		{"sync", message('S', ""), ""},
		{"parse to sync", parse, "E"},
		{"set", queryMessage("SET application_name = 'pool'"), "E"},
	}
}

// TestChecksBeforeEachQuery guards against a pool's connection that is closed because a check precedes each of its queries.
func TestChecksBeforeEachQuery(t *testing.T) {
	const rounds = 500
	w := startGateway(256, newMember("m", "read-write"))
	defer w.stop()
	for _, check := range checks() {
		t.Run(check.name, func(t *testing.T) {
			c := w.connectRaw(t)
			for i := range rounds {
				c.send(check.messages)
				if got, err := c.readAnswer(); err != nil || got != check.answer {
					t.Fatalf("check %d: %q, %v", i, got, err)
				}
				c.send(queryMessage(txnSQL("any", "")))
				if got, err := c.readAnswer(); err != nil || !strings.Contains(got, "DC") {
					t.Fatalf("query %d: %q, %v", i, got, err)
				}
			}
		})
	}
}

// TestChecksAheadOfAQuery guards against a query that gets no answer because of the checks that were sent before it.
func TestChecksAheadOfAQuery(t *testing.T) {
	w := startGateway(256, newMember("m", "read-write"))
	defer w.stop()
	for _, check := range checks()[:4] {
		for _, n := range []int{150, 1000, 30_000} {
			t.Run(fmt.Sprint(n, " times ", check.name), func(t *testing.T) {
				c := w.connectRaw(t)
				go c.send(strings.Repeat(check.messages, n) + queryMessage(txnSQL("once", "")))
				for i := range n {
					if got, err := c.readAnswer(); err != nil || got != check.answer {
						t.Fatalf("check %d: %q, %v", i, got, err)
					}
				}
				if got, err := c.readAnswer(); err != nil || !strings.Contains(got, "DC") {
					t.Errorf("query: %q, %v", got, err)
				}
			})
		}
	}
}

// TestQuickClientIsNotDisconnected guards against a connection that is ended because its client sends many checks without a pause,
// with one in part at each moment, for longer than a message may take to arrive.
func TestQuickClientIsNotDisconnected(t *testing.T) {
	const batch, partSize = 1000, 3
	w := startGateway(256, newMember("m", "read-write"))
	t.Cleanup(w.stop)
	for _, check := range checks()[:4] {
		t.Run(check.name, func(t *testing.T) {
			t.Parallel()
			c := w.connectRaw(t)
			part, rest := check.messages[:partSize], check.messages[partSize:]
			c.send(part)
			for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); {
				c.send(rest + strings.Repeat(check.messages, batch-1) + part)
				for i := range batch {
					if got, err := c.readAnswer(); err != nil || got != check.answer {
						t.Fatalf("check %d: %q, %v", i, got, err)
					}
				}
			}
			c.send(rest + queryMessage(txnSQL("once", "")))
			for _, want := range []string{check.answer, "TDC"} {
				if got, err := c.readAnswer(); err != nil || got != want {
					t.Errorf("at the end: %q, %v, want %q", got, err, want)
				}
			}
		})
	}
}

// TestChecksSentWithoutReading guards against checks whose answers are lost, against memory that they take, and against a connection
// that is ended, because a client sends far more of them than its answers fit into the buffers before it reads any.
func TestChecksSentWithoutReading(t *testing.T) {
	const n = 3_000_000
	w := startGateway(256, newMember("m", "read-write"))
	defer w.stop()
	before := w.anonymousMemory()
	c := w.connectRaw(t)
	sent := make(chan bool)
	go func() {
		for range n / 1000 {
			c.send(strings.Repeat(queryMessage(";"), 1000))
		}
		c.send(queryMessage(txnSQL("once", "")))
		close(sent)
	}()
	await(sent)
	if grown := w.anonymousMemory() - before; grown > 16<<20 {
		t.Errorf("%d MB of memory", grown>>20)
	}
	for i := range n {
		if got, err := c.readAnswer(); err != nil || got != "I" {
			t.Fatalf("check %d: %q, %v", i, got, err)
		}
	}
	if got, err := c.readAnswer(); err != nil || got == "" {
		t.Errorf("query: %q, %v", got, err)
	} else {
		t.Logf("query: %q", got)
	}
}
