// Package control lets an operator talk to a running gateway, over a Unix socket that only its owner may open.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"magpieglade/agreement"
	"magpieglade/contracts"
	"magpieglade/fleet"
	"magpieglade/gateway"
	"magpieglade/internal/neterr"
	"magpieglade/internal/operator"
	"magpieglade/rollout"
)

// Request asks for a change.
type Request struct {
	Text     string
	Path     string // where the text came from, for messages
	Watch    int64  // nanoseconds; below 0 is what the text says
	Again    bool
	Who      string
	Why      string
	No       uint64              // of a version
	Wish     *agreement.Proposal // of a fleet
	Contract *contracts.Proposal // of the book of contracts
}

// Reply tells what came of a request.
type Reply struct {
	Generation rollout.Generation      `json:",omitempty"`
	Findings   []string                `json:",omitempty"`
	Problem    string                  `json:",omitempty"`
	Text       string                  `json:",omitempty"` // of the generation in force
	Status     *rollout.Status         `json:",omitempty"`
	Fleet      *fleet.Status           `json:",omitempty"`
	Shares     []fleet.LimitStatus     `json:",omitempty"`
	Chosen     *fleet.CoordinationView `json:",omitempty"` // what gateways choose together
	Contracts  *gateway.ContractsView  `json:",omitempty"`
	Statements []contracts.Statement   `json:",omitempty"`
	Whole      bool                    `json:",omitempty"` // they are of all gateways
	Names      map[uint64]string       `json:",omitempty"` // of members, by their keys there
}

const (
	mostText    = 16 << 20
	mostClients = 4 // at once; each holds a descriptor
	patience    = 10 * time.Second
)

// Serve listens at a path until the context ends.
func Serve(ctx context.Context, path string, g *gateway.Gateway) error {
	if c, err := net.Dial("unix", path); err == nil {
		_ = c.Close()
		return fmt.Errorf("control: %s is in use", path)
	}
	_ = os.Remove(path) // left by one that was killed
	l, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return fmt.Errorf("control: %w", err)
	}
	s := &http.Server{Handler: handler(g), ReadTimeout: patience, WriteTimeout: patience, IdleTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(&few{Listener: l, free: make(chan struct{}, mostClients)}) }()
	return nil
}

// few takes so many connections at once.
type few struct {
	net.Listener
	free chan struct{}
}

// Accept waits for one that may come. It fails once the listener is closed; other errors of accept pass.
func (f *few) Accept() (net.Conn, error) {
	f.free <- struct{}{}
	var pause neterr.Backoff
	for {
		c, err := f.Listener.Accept()
		if err == nil {
			return &one{Conn: c, f: f}, nil
		}
		if errors.Is(err, net.ErrClosed) {
			<-f.free
			return nil, err
		}
		time.Sleep(pause.Next())
	}
}

type one struct {
	net.Conn
	f    *few
	done bool
}

// Close gives its place back.
func (o *one) Close() error {
	if !o.done {
		o.done = true
		<-o.f.free
	}
	return o.Conn.Close()
}

func handler(g *gateway.Gateway) http.Handler {
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, r Reply, err error) {
		if err != nil {
			r.Problem = err.Error()
		}
		_ = json.NewEncoder(w).Encode(r)
	}
	mux.HandleFunc("POST /apply", func(w http.ResponseWriter, r *http.Request) {
		var q Request
		if err := json.NewDecoder(io.LimitReader(r.Body, mostText)).Decode(&q); err != nil {
			answer(w, Reply{}, err)
			return
		}
		f, err := operator.Parse([]byte(q.Text), q.Path)
		if err != nil {
			answer(w, Reply{}, err)
			return
		}
		if q.Watch < 0 {
			q.Watch = int64(f.Watch)
		}
		no, findings, err := g.Apply(r.Context(), gateway.Change{Document: f.Document, Digest: f.Digest, Text: []byte(q.Text), WatchDuration: q.Watch, Reapply: q.Again,
			Author: q.Who, Reason: q.Why})
		reply := Reply{Generation: no}
		for _, x := range findings {
			reply.Findings = append(reply.Findings, x.Error())
		}
		answer(w, reply, err)
	})
	asked := func(r *http.Request) (q Request, err error) {
		return q, json.NewDecoder(io.LimitReader(r.Body, mostText)).Decode(&q)
	}
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, r *http.Request) {
		s, err := g.FleetStatus(r.Context(), r.URL.Query().Has("all"))
		if err == nil && s == nil {
			err = errors.New("this gateway agrees on nothing with others: its operator's file has no block agreement")
		}
		answer(w, Reply{Fleet: s}, err)
	})
	mux.HandleFunc("GET /shares", func(w http.ResponseWriter, r *http.Request) {
		all, err := g.FleetLimits(r.Context())
		answer(w, Reply{Shares: all}, err)
	})
	mux.HandleFunc("GET /chosen", func(w http.ResponseWriter, r *http.Request) {
		v, names, err := g.Coordination(r.Context())
		if err == nil && v == nil {
			err = errors.New("this gateway chooses nothing together with others: its operator's file has no block coordination")
		}
		answer(w, Reply{Chosen: v, Names: names}, err)
	})
	mux.HandleFunc("GET /contracts", func(w http.ResponseWriter, r *http.Request) {
		v, err := g.Contracts(r.Context())
		if err == nil && v == nil {
			err = errors.New("this gateway agrees on nothing with others: its operator's file has no block agreement")
		}
		answer(w, Reply{Contracts: v}, err)
	})
	mux.HandleFunc("GET /statement", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		from, err := strconv.ParseInt(q.Get("from"), 10, 64)
		to, err2 := strconv.ParseInt(q.Get("to"), 10, 64)
		if err = errors.Join(err, err2); err != nil {
			answer(w, Reply{}, err)
			return
		}
		all, whole, err := g.Statements(r.Context(), q.Get("name"), from, to)
		answer(w, Reply{Statements: all, Whole: whole}, err)
	})
	mux.HandleFunc("POST /contract", func(w http.ResponseWriter, r *http.Request) {
		q, err := asked(r)
		if err == nil && q.Contract == nil {
			err = errors.New("nothing is asked for")
		}
		if err == nil {
			err = g.ProposeContract(r.Context(), *q.Contract)
		}
		answer(w, Reply{}, err)
	})
	mux.Handle("GET /metrics", metricsOf(g))
	mux.HandleFunc("POST /found", func(w http.ResponseWriter, r *http.Request) { answer(w, Reply{}, g.BootstrapFleet(r.Context())) })
	mux.HandleFunc("POST /wish", func(w http.ResponseWriter, r *http.Request) {
		q, err := asked(r)
		if err == nil && q.Wish == nil {
			err = errors.New("nothing is asked for")
		}
		if err == nil {
			err = g.ProposeToFleet(r.Context(), *q.Wish)
		}
		answer(w, Reply{}, err)
	})
	mux.HandleFunc("POST /restore", func(w http.ResponseWriter, r *http.Request) {
		q, err := asked(r)
		var no rollout.Generation
		if err == nil {
			no, err = g.Restore(r.Context(), q.No, q.Who)
		}
		answer(w, Reply{Generation: no}, err)
	})
	mux.HandleFunc("POST /keep", func(w http.ResponseWriter, r *http.Request) { answer(w, Reply{}, g.Keep(r.Context())) })
	mux.HandleFunc("POST /undo", func(w http.ResponseWriter, r *http.Request) { answer(w, Reply{}, g.Undo(r.Context())) })
	mux.HandleFunc("GET /text", func(w http.ResponseWriter, r *http.Request) {
		no, text, err := g.InForce(r.Context())
		answer(w, Reply{Generation: no, Text: string(text)}, err)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		s, err := g.Status(r.Context())
		answer(w, Reply{Status: &s}, err)
	})
	return mux
}

// Ask asks the gateway at a path. A reply with a problem is an error too.
func Ask(ctx context.Context, path, method, what string, q *Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	c := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", path)
	}}}
	defer c.CloseIdleConnections()
	var body io.Reader
	if q != nil {
		text, err := json.Marshal(q)
		if err != nil {
			return Reply{}, err
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://gateway/"+what, body)
	if err != nil {
		return Reply{}, err
	}
	answer, err := c.Do(r)
	if err != nil {
		return Reply{}, err
	}
	defer answer.Body.Close()
	var reply Reply
	if err := json.NewDecoder(io.LimitReader(answer.Body, mostText)).Decode(&reply); err != nil {
		return reply, fmt.Errorf("the gateway's answer can't be read: %w", err)
	}
	if reply.Problem != "" {
		return reply, errors.New(reply.Problem)
	}
	return reply, nil
}
