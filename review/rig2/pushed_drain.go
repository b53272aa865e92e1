package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["10"] = pushedDrain }

const (
	basketExpiry = 300 * time.Millisecond
	// Nothing new goes to a drained server 250 ms after the gateway was told, on sockets 50 ms more, and a gateway may be held
	// up for 0.15 s.
	drainGrace = 450 * time.Millisecond
	// A change counts as told 6 s after discovery had it at the latest, by whatever sentence of the pages. The case waits for so
	// long before it counts, though pushed lists count at once.
	toldAfter  = 6 * time.Second
	drainAfter = 4 * time.Second
	readers    = 3
	readsEach  = 360
	instances  = 8 // today 6 to 8
	draining   = 2 // a quarter
)

// rigaOrders is the deployment riga-orders-later at its size of today.
func rigaOrders() *site {
	return &site{membership: "push", zones: []string{"imanta", "purvciems", "marupe"}, machines: []string{"std-12"},
		classes: []class{
			{name: "basket-read", aim: 100, deadline: 300, worth: 1, effect: "repeatable", read: "causal"},
			{name: "order-place", aim: 200, deadline: 2000, worth: 4, late: 0.7, effect: "once", read: "mutate"},
		},
		reports: "probe", fields: []string{"x0", "x1"}, roles: "static", whenBehind: "await", waitMs: 20, writeMarks: "kept", duplicates: true, attempts: 8,
		drainGrace: 250, coldFrom: 0.19, coldMs: 17000, multiple: 3, overloadMs: 2000, retryAfter: true, fleet: 3}
}

// pushedDrain lists a quarter of the servers as draining in a deployment whose list is pushed. They stay up to the end.
func pushedDrain(r *rig) (broken string, err error) {
	var hosts []host
	var servers []*database
	for i := range instances {
		name, primary := fmt.Sprintf("s-%d", i+1), i == 0
		d, err := newDatabase(r.record, name, func(q *query) reply {
			if q.write && !primary {
				return reply{code: "25006", status: status(primary, 0)}
			}
			return reply{work: 20 * time.Millisecond, value: "v", status: status(primary, 0)}
		})
		if err != nil {
			return "", err
		}
		d.probe = func() reply {
			role := 0
			if primary {
				role = 1
			}
			return reply{value: fmt.Sprintf("x0=%.3f,x1=%d", float64(time.Now().UnixMilli())/1000, role)}
		}
		servers = append(servers, d)
		hosts = append(hosts, host{Host: name, Dial: d.address, Site: "imanta", Class: "std-12", Block: 2, Health: "active", Share: 1})
	}
	hosts[0].Mode = "read-write"
	list, err := newDiscovery(r.record, hosts...)
	if err != nil {
		return "", err
	}
	g, err := r.startGateway(gatewayConfig{name: "n1", discovery: list.address, known: list.snapshot(), settings: rigaOrders().settings()})
	if err != nil {
		return "", err
	}
	if err := g.awaitReady(30 * time.Second); err != nil {
		return "", err
	}
	var served atomic.Int64
	var clients sync.WaitGroup
	for k := range readers {
		clients.Go(func() {
			for i := range readsEach {
				id := newID()
				o, err := r.request(g, id, readText(id, "basket-read", fmt.Sprintf("%016x", k*readsEach+i), basketExpiry, 0), time.Second)
				if err == nil && o.kind == "served" {
					served.Add(1)
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	toldAt := time.Time{}
	time.Sleep(drainAfter)
	if r.trouble {
		drained := append([]host(nil), hosts...)
		for k := instances - draining; k < instances; k++ {
			drained[k].Health = "leaving"
		}
		toldAt = list.set(drained...).Add(toldAfter)
	}
	clients.Wait()
	late := 0
	for _, d := range servers[instances-draining:] {
		for _, q := range d.received() {
			if after := q.receivedAt.Sub(toldAt); r.trouble && after > drainGrace {
				late++
				r.logf("broken: %s got %s %d ms after the gateway had been told at the latest that it drains", d.name, q.id, after.Milliseconds())
			}
		}
	}
	r.logf("%d of %d reads served; discovery was called %d times; %d attempts went to draining servers", served.Load(), readers*readsEach, list.callCount(), late)
	if served.Load() < readers*readsEach*9/10 {
		return "", fmt.Errorf("%d of %d reads were served", served.Load(), readers*readsEach)
	}
	if late > 0 {
		return fmt.Sprintf("%d new requests went to servers that were listed as draining", late), nil
	}
	return "", nil
}
