package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["8"] = attemptsAfterClose }

const (
	stalls = 8 // 24 s of 21 to 36 s
	// A try is given up after 40 to 100% of the expiry of its txn type.
	writeTry  = writeExpiry * 4 / 10
	browseTry = browseExpiry * 4 / 10
	// An attempt may begin 0.1 s after its client closed, on sockets 50 ms more.
	closeGrace = 150 * time.Millisecond
)

// attemptsAfterClose has a gateway stand still again and again. While it does, clients send requests, give them up at their
// time and close. What the gateway then finds must not be sent to any server.
func attemptsAfterClose(r *rig) (broken string, err error) {
	x, err := r.startCatalogue(nil)
	if err != nil {
		return "", err
	}
	g, err := r.startCatalogueGateway(x)
	if err != nil {
		return "", err
	}
	served, closed := 0, map[string]time.Time{}
	for round := range stalls {
		writer, err := connect(r.record, g.address)
		if err != nil {
			return "", err
		}
		reader, err := connect(r.record, g.address)
		if err != nil {
			return "", err
		}
		if err := errors.Join(writer.ready(2*time.Second), reader.ready(2*time.Second)); err != nil {
			return "", err
		}
		began := time.Now()
		if r.trouble {
			g.signal(syscall.SIGSTOP)
			time.AfterFunc(stallPause, func() { g.signal(syscall.SIGCONT) })
		}
		time.Sleep(50 * time.Millisecond)
		session := fmt.Sprintf("%016x", 100+round)
		writeID, readID := newID(), newID()
		if _, err := writer.send(writeText(writeID, "log-entry", session, newID(), "v", writeTry)); err != nil {
			return "", err
		}
		sentAt, err := reader.send(readText(readID, "browse", session, browseTry, 0))
		if err != nil {
			return "", err
		}
		for _, try := range []struct {
			c    *client
			id   string
			wait time.Duration
		}{{reader, readID, browseTry}, {writer, writeID, writeTry}} {
			if try.c.await(try.id, sentAt.Add(try.wait)).kind == "served" {
				served++
			}
			try.c.close()
			closed[try.id] = time.Now()
			r.logf("the client of %s closes its connection", try.id)
		}
		time.Sleep(time.Until(began.Add(stallInterval)))
	}
	late := 0
	for _, d := range x.servers {
		for _, q := range d.received() {
			at, ok := closed[q.id]
			if after := q.receivedAt.Sub(at); ok && after > closeGrace {
				late++
				r.logf("broken: the attempt of %s (%s) at %s began %d ms after its client had closed", q.id, q.class, d.name, after.Milliseconds())
			}
		}
	}
	r.logf("%d requests, %d served, %d attempts begun over 0.1 s after their client had closed", len(closed), served, late)
	if !r.trouble && served < len(closed) {
		return "", fmt.Errorf("%d of %d requests were served without the disruption", served, len(closed))
	}
	if late > 0 {
		return fmt.Sprintf("%d attempts of %d requests began over 0.1 s after their client had closed its connection", late, len(closed)), nil
	}
	return "", nil
}
