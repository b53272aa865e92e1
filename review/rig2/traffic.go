package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// newID returns a fresh request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()|1) }

// readText returns the statement of a read.
func readText(id, class, session string, budget time.Duration, after int64) string {
	position := ""
	if after > 0 {
		position = fmt.Sprintf(",after=%d", after)
	}
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=2%s */ SELECT data FROM facts WHERE code = '%s'", id, class, budget.Milliseconds(), position, session)
}

// writeText returns the statement of a write; key is empty in a class without keys.
func writeText(id, class, session, key, value string, budget time.Duration) string {
	mark := ""
	if key != "" {
		mark = ",k=" + key
	}
	return fmt.Sprintf("/* id=%s,c=%s,d=%d%s,cluster=2 */ INSERT INTO facts (code, data) VALUES ('%s', '\\x%x') RETURNING data", id, class, budget.Milliseconds(), mark, session, value)
}

// request sends one request on a new connection and waits for its answer.
func (r *rig) request(g *gateway, id, text string, wait time.Duration) (o outcome, err error) {
	c, err := connect(r.record, g.address)
	if err != nil {
		return o, err
	}
	defer c.close()
	if err := c.ready(2 * time.Second); err != nil {
		return o, err
	}
	if _, err := c.send(text); err != nil {
		return o, err
	}
	return c.await(id, time.Now().Add(wait)), nil
}
