package main

import (
	"fmt"
	"strconv"
	"time"
)

// The users' figures for core-catalogue-ch.
const (
	stallPause    = 1600 * time.Millisecond // gateways stand still for 1,100 to 1,700 ms
	stallInterval = 3 * time.Second         // every 2.3 to 3.8 s, for 21 to 36 s
	writeExpiry   = 3000 * time.Millisecond // of log-entry
	browseExpiry  = 2000 * time.Millisecond
	writeWork     = 140 * time.Millisecond // 110 to 180 ms
	readWork      = 100 * time.Millisecond // 71 to 120 ms
)

// coreCatalogue is the deployment core-catalogue-ch with few servers.
func coreCatalogue() *site {
	return &site{membership: "push", zones: []string{"zurich-west", "zurich-oerlikon"}, machines: []string{"std-4"},
		classes: []class{
			{name: "browse", aim: 600, deadline: 2000, worth: 1, effect: "repeatable", read: "lag_bound", bound: 300},
			{name: "own-edits", aim: 500, deadline: 2000, worth: 1, late: 0.2, effect: "repeatable", read: "causal"},
			{name: "borehole-report", aim: 8000, deadline: 15000, worth: 6, effect: "repeatable", read: "eventual"},
			{name: "log-entry", aim: 1200, deadline: 3000, worth: 3, late: 0.7, effect: "by_key", group: "cell", window: 2000, read: "mutate"},
		},
		reports: "probe", fields: []string{"x0", "x1"}, roles: "static", whenBehind: "bounce", writeMarks: "brought", attempts: 6,
		drainGrace: 250, softGone: true, coldFrom: 0.21, coldMs: 18000, multiple: 3, overloadMs: 1000, retryAfter: true, fleet: 3}
}

// status returns what an answer of a server tells of it; position is 0 for none.
func status(primary bool, position int64) [][2]string {
	mode := "read-only"
	if primary {
		mode = "read-write"
	}
	s := [][2]string{{"mode", mode}}
	if position > 0 {
		s = append(s, [2]string{"wal_time", strconv.FormatInt(position, 10)})
	}
	return s
}

// catalogue is a small core-catalogue-ch: a primary, two replicas that are up to date, and discovery.
type catalogue struct {
	servers []*database
	list    *discovery
}

// startCatalogue starts the servers and discovery. hangs, if not nil, reports whether a server answers nothing now.
func (r *rig) startCatalogue(hangs func(name string) bool) (*catalogue, error) {
	x := new(catalogue)
	var hosts []host
	for i, name := range []string{"s-1", "s-2", "s-3"} {
		primary := i == 0
		d, err := newDatabase(r.record, name, func(q *query) reply {
			switch {
			case hangs != nil && hangs(name):
				return reply{silent: true}
			case q.write && !primary:
				return reply{code: "25006", status: status(primary, 0)}
			case q.write:
				return reply{work: writeWork, value: "kept", status: status(primary, time.Now().Add(writeWork).UnixMilli())}
			}
			return reply{work: readWork, value: "data of " + q.code, status: status(primary, 0)}
		})
		if err != nil {
			return nil, err
		}
		d.probe = func() reply {
			role := 0
			if primary {
				role = 1
			}
			return reply{silent: hangs != nil && hangs(name), value: fmt.Sprintf("x0=%.3f,x1=%d", float64(time.Now().UnixMilli())/1000, role)}
		}
		x.servers = append(x.servers, d)
		hosts = append(hosts, host{Host: name, Dial: d.address, Site: "zurich-west", Class: "std-4", Block: 2, Health: "active", Share: 1})
	}
	hosts[0].Mode = "read-write"
	var err error
	x.list, err = newDiscovery(r.record, hosts...)
	return x, err
}

// startCatalogueGateway starts a gateway that knows the list, and sends it some writes that are to be served.
func (r *rig) startCatalogueGateway(x *catalogue) (*gateway, error) {
	g, err := r.startGateway(gatewayConfig{name: "n1", discovery: x.list.address, known: x.list.snapshot(), settings: coreCatalogue().settings()})
	if err != nil {
		return nil, err
	}
	if err := g.awaitReady(30 * time.Second); err != nil {
		return nil, err
	}
	for i := range 4 {
		id := newID()
		o, err := r.request(g, id, writeText(id, "log-entry", fmt.Sprintf("%016x", i), newID(), "v", writeExpiry), writeExpiry)
		if err == nil && o.kind != "served" {
			err = fmt.Errorf("a write was not served on a calm start: %v", o)
		}
		if err != nil {
			return nil, err
		}
	}
	return g, nil
}
