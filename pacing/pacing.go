// Package pacing decides how much of a client's input a gateway processes before its other clients have their turn, and how
// long a client waits that has sent more. It does no input or output and reads no clock.
//
// A client that waits for each answer meets no limit. One that sends at full speed is processed in shares: after each it pauses
// for as long as all paused clients need for theirs, so that together they get the same part of the gateway's time, whatever
// their number.
package pacing

import "time"

// A client's share of a turn.
const (
	MaxQueries      = 16               // that are answered at once, as by a rejection; others wait for a member anyway
	MaxControlBytes = 32 << 10         // of messages that execute nothing, or of answers to them
	pausePerClient  = time.Millisecond // that pauses
)

// Reason is what a client that pauses had sent much of.
type Reason string

// Reasons of pauses.
const (
	Queries         Reason = "queries"
	ControlMessages Reason = "control messages"
)

// Client is what was processed of one client. The zero value is a client of which nothing was.
type Client struct {
	turn         uint64 // in which it was last processed
	queries      int    // processed in that turn
	controlBytes int    // of control messages processed in that turn
	paused       bool
}

// Pacer paces the clients of a gateway.
type Pacer struct {
	turn   uint64
	paused int // clients that pause
}

// BeginTurn begins a turn of the gateway. Turns have increasing numbers.
func (p *Pacer) BeginTurn(number uint64) { p.turn = number }

// countTurn begins to count anew what is processed of a client if this is another turn.
func (p *Pacer) countTurn(c *Client) {
	if c.turn != p.turn {
		c.turn, c.queries, c.controlBytes = p.turn, 0, 0
	}
}

// MayProcessQuery reports whether another query of a client may be processed in this turn, and counts it. If not, the client
// has to pause.
func (p *Pacer) MayProcessQuery(c *Client) bool {
	p.countTurn(c)
	c.queries++
	return !c.paused && c.queries <= MaxQueries
}

// MayAnswerControl reports whether more control messages of a client may be answered in this turn. If not, the client has to
// pause.
func (p *Pacer) MayAnswerControl(c *Client) bool {
	p.countTurn(c)
	return !c.paused && c.controlBytes < MaxControlBytes
}

// CountControl counts bytes of control messages, or of answers to them.
func (p *Pacer) CountControl(c *Client, bytes int) {
	p.countTurn(c)
	c.controlBytes += bytes
}

// Pause begins the pause of a client and returns how long it takes.
func (p *Pacer) Pause(c *Client) time.Duration {
	if !c.paused {
		c.paused = true
		p.paused++
	}
	return pausePerClient * time.Duration(p.paused)
}

// Resume ends the pause of a client, if it pauses.
func (p *Pacer) Resume(c *Client) {
	if c.paused {
		c.paused = false
		p.paused--
	}
}
