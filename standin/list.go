package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an entry of the list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// List is the list service: GET returns the whole list, and a watch waits until it changes.
type List struct {
	l            net.Listener
	server       *http.Server
	mu           sync.Mutex
	requests     int // since the start
	seq          int
	hosts        []Host
	down         bool
	changed      chan struct{}
	deliveredSeq int           // latest sequence number delivered
	deliveries   int           // how often the current list was delivered
	delivered    chan struct{} // closed at the next delivery or watch
	watchedSeq   int           // latest sequence number that a gateway watched from, which means that it has read that list
}

// NewList starts a list service.
func NewList(hosts ...Host) *List {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &List{l: l, seq: 1, hosts: hosts, changed: make(chan struct{}), delivered: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// Address returns the listening address.
func (s *List) Address() string { return s.l.Addr().String() }

// Close stops the service.
func (s *List) Close() { _ = s.server.Close() }

// Requests returns the number of requests since the start.
func (s *List) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// SetHosts replaces the list and notifies watches at once.
func (s *List) SetHosts(hosts ...Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	s.hosts, s.deliveries = hosts, 0
	s.notifyWatchers()
}

// SetDown makes requests fail and ends the watches, or restores the service.
func (s *List) SetDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
	s.notifyWatchers()
}

func (s *List) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot returns the list in the form that a gateway holds.
func (s *List) Snapshot() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot()
}

func (s *List) snapshot() map[string]any {
	return map[string]any{"seq": s.seq, "whole": true, "hosts": s.hosts}
}

// AwaitDelivered waits until the current list has been delivered to a gateway.
func (s *List) AwaitDelivered() { s.AwaitDeliveredTo(1) }

// AwaitDeliveredTo waits until the current list has been delivered to this many gateways, each with one watch.
func (s *List) AwaitDeliveredTo(gateways int) {
	s.await(func() bool { return s.deliveredSeq >= s.seq && s.deliveries >= gateways })
}

// AwaitRead waits until a gateway watches for changes after the current list, which means that it has read it.
func (s *List) AwaitRead() { s.await(func() bool { return s.watchedSeq >= s.seq }) }

func (s *List) await(done func() bool) {
	for {
		s.mu.Lock()
		ok, more := done(), s.delivered
		s.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-more:
		case <-time.After(eventTimeout):
			panic("stand-in: list was not requested in time")
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if wait, _ := strconv.Atoi(q.Get("wait_ms")); wait > 0 && q.Get("after") == fmt.Sprint(s.seq) && !s.down {
		changed := s.changed
		s.watchedSeq = s.seq
		close(s.delivered)
		s.delivered = make(chan struct{})
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		s.mu.Lock()
	}
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(s.snapshot())
	s.deliveredSeq = s.seq
	s.deliveries++
	close(s.delivered)
	s.delivered = make(chan struct{})
}
