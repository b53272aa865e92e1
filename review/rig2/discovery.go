package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
	Mode   string  `json:"mode,omitempty"`
}

// discovery is a stand-in for the list service.
type discovery struct {
	rec     *record
	address string
	mu      sync.Mutex
	seq     int64
	hosts   []host
	changed chan struct{}
	calls   int
	told    map[int64]time.Time // when a version was first written to a gateway
}

func newDiscovery(rec *record, hosts ...host) (*discovery, error) {
	l, err := listenFree()
	if err != nil {
		return nil, err
	}
	d := &discovery{rec: rec, address: l.Addr().String(), seq: 41, hosts: hosts, changed: make(chan struct{}), told: map[int64]time.Time{}}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// set replaces the list.
func (d *discovery) set(hosts ...host) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.hosts = hosts
	close(d.changed)
	d.changed = make(chan struct{})
	now := time.Now()
	d.rec.logAt(now, "discovery has version %d: %+v", d.seq, hosts)
	return now
}

// snapshot returns the whole list.
func (d *discovery) snapshot() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"seq": d.seq, "whole": true, "hosts": d.hosts}
}

// callCount returns the number of calls so far.
func (d *discovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// ServeHTTP answers with the whole list. A watch waits for a newer version.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	d.mu.Lock()
	d.calls++
	first := d.calls <= 3
	changed, seq := d.changed, d.seq
	d.mu.Unlock()
	if first {
		d.rec.logf("discovery is called: %s", r.URL)
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err == nil && after >= seq && wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	list := d.snapshot()
	body, _ := json.Marshal(list)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
	d.mu.Lock()
	defer d.mu.Unlock()
	if v := list["seq"].(int64); d.told[v].IsZero() {
		d.told[v] = time.Now()
		d.rec.logf("version %d is written to the gateway", v)
	}
}
