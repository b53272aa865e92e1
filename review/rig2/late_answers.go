package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["9"] = lateAnswers }

const (
	lateRounds  = 4
	primaryHang = 5 * time.Second // given up after 1.1 to 2.7 s, replaced 1 to 3.2 s later
	// A final answer counts up to half a second after its time, on sockets 50 ms more.
	lostAfter = 550 * time.Millisecond
)

// lateAnswers has a gateway stand still while a write arrives and the primary hangs.
func lateAnswers(r *rig) (broken string, err error) {
	var hung atomic.Bool
	x, err := r.startCatalogue(func(name string) bool { return name == "s-1" && hung.Load() })
	if err != nil {
		return "", err
	}
	g, err := r.startCatalogueGateway(x)
	if err != nil {
		return "", err
	}
	late, served := 0, 0
	sent := map[string]time.Time{}
	for round := range lateRounds {
		c, err := connect(r.record, g.address)
		if err != nil {
			return "", err
		}
		if err := c.ready(2 * time.Second); err != nil {
			return "", err
		}
		began := time.Now()
		if r.trouble {
			r.logf("s-1 hangs for %v", primaryHang)
			hung.Store(true)
			time.AfterFunc(primaryHang, func() { hung.Store(false) })
			g.signal(syscall.SIGSTOP)
			time.AfterFunc(stallPause, func() { g.signal(syscall.SIGCONT) })
		}
		time.Sleep(50 * time.Millisecond)
		id := newID()
		sentAt, err := c.send(writeText(id, "log-entry", fmt.Sprintf("%016x", 100+round), newID(), "v", writeExpiry))
		if err != nil {
			return "", err
		}
		sent[id] = sentAt
		o := c.await(id, sentAt.Add(writeExpiry+3*time.Second))
		c.close()
		if o.kind == "served" {
			served++
		}
		if over := o.at.Sub(sentAt) - writeExpiry; over > lostAfter {
			late++
			r.logf("broken: the final answer to %s came %d ms after its time", id, over.Milliseconds())
		}
		time.Sleep(time.Until(began.Add(primaryHang + 4*time.Second)))
	}
	for _, d := range x.servers {
		for _, q := range d.received() {
			if at, ok := sent[q.id]; ok {
				left := writeExpiry - q.receivedAt.Sub(at)
				r.logf("%s was told that the client of %s waits for %d ms; it waits for %d ms", d.name, q.id, q.budget.Milliseconds(), left.Milliseconds())
			}
		}
	}
	if !r.trouble && served < lateRounds {
		return "", fmt.Errorf("%d of %d writes were served without the disruption", served, lateRounds)
	}
	if late > 0 {
		return fmt.Sprintf("%d of %d writes got their final answer over half a second after their client's time", late, lateRounds), nil
	}
	return "", nil
}
