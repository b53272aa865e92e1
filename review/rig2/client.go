package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// client is a client's connection to a gateway.
type client struct {
	rec  *record
	conn net.Conn
	in   *bufio.Reader
}

// outcome is how a request ended for its client.
type outcome struct {
	kind  string // "served", "refused", "failed", "closed" without an answer, or "none" until the client stopped waiting
	code  string
	value string
	at    time.Time
}

func (o outcome) String() string { return fmt.Sprintf("%s code=%q value=%q", o.kind, o.code, o.value) }

// connect opens a connection and sends the startup message.
func connect(rec *record, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, 3*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{rec: rec, conn: conn, in: bufio.NewReader(conn)}
	if _, err := conn.Write(appendStartup(nil)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// ready waits until the gateway has admitted the client.
func (c *client) ready(timeout time.Duration) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	for {
		kind, body, err := readMessage(c.in)
		switch {
		case err != nil:
			return err
		case kind == 'E':
			return fmt.Errorf("error %s", errorCode(body))
		case kind == 'Z':
			return nil
		}
	}
}

// send writes a query and returns when its last byte was written.
func (c *client) send(text string) (time.Time, error) {
	_, err := c.conn.Write(appendQuery(nil, text))
	now := time.Now()
	c.rec.logAt(now, "client sends %s", shorten(text))
	return now, err
}

func shorten(text string) string {
	if len(text) > 160 {
		return text[:160] + "..."
	}
	return text
}

// await reads the answer to a query.
func (c *client) await(id string, until time.Time) (o outcome) {
	_ = c.conn.SetReadDeadline(until)
	defer func() { c.rec.logAt(o.at, "client of %s: %v", id, o) }()
	complete := false
	for {
		kind, body, err := readMessage(c.in)
		o.at = time.Now()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			o.kind = "none"
			return o
		case err != nil:
			if o.kind == "" {
				o.kind = "closed"
			}
			return o
		case kind == 'D' && len(body) >= 6:
			o.value = string(body[6:])
		case kind == 'C':
			complete = true
		case kind == 'E':
			o.code = errorCode(body)
			o.kind = "failed"
			if o.code == "53300" || o.code == "57P03" {
				o.kind = "refused"
			}
		case kind == 'Z':
			if complete && o.kind == "" {
				o.kind = "served"
			}
			return o
		}
	}
}

func (c *client) close() {
	_ = c.conn.Close()
}
