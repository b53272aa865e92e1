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

// List is the list service: the whole list by GET, and a watch that waits until it changes.
type List struct {
	l            net.Listener
	server       *http.Server
	mu           sync.Mutex
	requests     int // that were ever made
	seq          int
	hosts        []Host
	down         bool
	changed      chan struct{}
	deliveredSeq int           // the latest that was given
	deliveries   int           // how often the one in force was given
	delivered    chan struct{} // closed with the next
	watchedSeq   int           // the latest that a gateway watched from: it has read that one
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

// Address is where it listens.
func (s *List) Address() string { return s.l.Addr().String() }

// Close ends it.
func (s *List) Close() { _ = s.server.Close() }

// Calls counts those that were ever made.
func (s *List) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Set puts another list in force; watches are told of it at once.
func (s *List) SetHosts(hosts ...Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	s.hosts, s.deliveries = hosts, 0
	s.notifyWatchers()
}

// Down makes calls fail, and ends the watches, or lets them come again.
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

// Whole is the list as a gateway holds it.
func (s *List) Snapshot() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot()
}

func (s *List) snapshot() map[string]any {
	return map[string]any{"seq": s.seq, "whole": true, "hosts": s.hosts}
}

// AwaitTold waits until a gateway has been given the list that is in force.
func (s *List) AwaitDelivered() { s.AwaitDeliveredTo(1) }

// AwaitToldTo waits until so many gateways, each with one watch, have been given it.
func (s *List) AwaitDeliveredTo(gateways int) {
	s.await(func() bool { return s.deliveredSeq >= s.seq && s.deliveries >= gateways })
}

// AwaitRead waits until a gateway watches for what comes after it: it has read it then.
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
			panic("the list was not asked for")
		}
	}
}

// ServeHTTP answers a call.
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
