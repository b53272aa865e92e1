package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of the list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// discovery is the list service: the whole list, or a watch for what is newer than a version.
type discovery struct {
	r        *rig
	listener net.Listener
	mu       sync.Mutex
	seq      int
	hosts    []host
	changed  chan struct{}
	calls    int
}

func newDiscovery(r *rig, hosts ...host) *discovery {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	d := &discovery{r: r, listener: l, seq: 1, hosts: hosts, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: d}).Serve(l) }()
	return d
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// list returns the whole list as the platform gives it to a gateway.
func (d *discovery) list() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"seq": d.seq, "whole": true, "hosts": append([]host{}, d.hosts...)}
}

// setHealth changes a host's health and tells all watches.
func (d *discovery) setHealth(name, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = append([]host{}, d.hosts...)
	for i := range d.hosts {
		if d.hosts[i].Host == name {
			d.hosts[i].Health = health
		}
	}
	d.seq++
	close(d.changed)
	d.changed = make(chan struct{})
	d.r.logf("discovery: %s is %s, seq %d, calls so far %d", name, health, d.seq, d.calls)
}

// ServeHTTP answers a call.
func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.Atoi(q.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	d.mu.Lock()
	d.calls++
	if d.calls <= 20 {
		d.r.logf("discovery: call %s", q.URL)
	}
	if err == nil && after >= d.seq && wait > 0 {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-q.Context().Done():
		}
		d.mu.Lock()
	}
	body := map[string]any{"seq": d.seq, "whole": true, "hosts": append([]host{}, d.hosts...)}
	if err == nil && after >= d.seq {
		body["whole"], body["hosts"] = false, []host{}
	}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
