// Package control serves a running gateway's control API over HTTP on a Unix socket, which only its owner may open, and
// holds the client of that API.
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

// Request is the body of a POST request. Each endpoint reads only the fields that it needs.
type Request struct {
	Text             string
	Path             string              // path of the operator's file, for error positions
	WatchDuration    int64               `json:"Watch"` // nanoseconds; negative uses the duration in Text
	Reapply          bool                `json:"Again"`
	Author           string              `json:"Who"`
	Reason           string              `json:"Why"`
	Version          uint64              `json:"No"`       // version to restore
	FleetProposal    *agreement.Proposal `json:"Wish"`     // change to the fleet's list or voters
	ContractProposal *contracts.Proposal `json:"Contract"` // change to the contracts
}

// Reply is the response to every request but GET /metrics.
type Reply struct {
	Generation   rollout.Generation      `json:",omitempty"`
	Findings     []string                `json:",omitempty"`
	Error        string                  `json:"Problem,omitempty"`
	Text         string                  `json:",omitempty"` // configuration of the generation in force
	Status       *rollout.Status         `json:",omitempty"`
	Fleet        *fleet.Status           `json:",omitempty"`
	Limits       []fleet.LimitStatus     `json:"Shares,omitempty"`
	Coordination *fleet.CoordinationView `json:"Chosen,omitempty"` // what the gateways coordinate
	Contracts    *gateway.ContractsView  `json:",omitempty"`
	Statements   []contracts.Statement   `json:",omitempty"`
	Complete     bool                    `json:"Whole,omitempty"` // whether Statements cover all gateways
	MemberNames  map[uint64]string       `json:"Names,omitempty"` // member names by their keys in Coordination
}

const (
	maxBodySize    = 16 << 20 // bytes
	maxConnections = 4        // each holds a file descriptor
	requestTimeout = 10 * time.Second
)

// Serve listens on a Unix socket and serves requests in the background until the context is done.
func Serve(ctx context.Context, path string, g *gateway.Gateway) error {
	if c, err := net.Dial("unix", path); err == nil {
		_ = c.Close()
		return fmt.Errorf("control: %s is in use", path)
	}
	_ = os.Remove(path) // a killed process leaves its socket file
	l, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return fmt.Errorf("control: %w", err)
	}
	s := &http.Server{Handler: newHandler(g), ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(&limitedListener{Listener: l, slots: make(chan struct{}, maxConnections)}) }()
	return nil
}

// limitedListener limits the number of open connections.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept waits for a free slot and a connection. It fails only once the listener is closed; it retries after other errors
// with backoff.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	var backoff neterr.Backoff
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return &limitedConn{Conn: c, listener: l}, nil
		}
		if errors.Is(err, net.ErrClosed) {
			<-l.slots
			return nil, err
		}
		time.Sleep(backoff.Next())
	}
}

// limitedConn occupies a slot of its listener until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	closed   bool
}

// Close frees the slot and closes the connection.
func (c *limitedConn) Close() error {
	if !c.closed {
		c.closed = true
		<-c.listener.slots
	}
	return c.Conn.Close()
}

// newHandler returns the handler of all endpoints of the control API.
func newHandler(g *gateway.Gateway) http.Handler {
	mux := http.NewServeMux()
	writeReply := func(w http.ResponseWriter, r Reply, err error) {
		if err != nil {
			r.Error = err.Error()
		}
		_ = json.NewEncoder(w).Encode(r)
	}
	mux.HandleFunc("POST /apply", func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBodySize)).Decode(&request); err != nil {
			writeReply(w, Reply{}, err)
			return
		}
		f, err := operator.Parse([]byte(request.Text), request.Path)
		if err != nil {
			writeReply(w, Reply{}, err)
			return
		}
		if request.WatchDuration < 0 {
			request.WatchDuration = int64(f.WatchDuration)
		}
		no, findings, err := g.Apply(r.Context(), gateway.Change{Document: f.Document, Digest: f.Digest, Text: []byte(request.Text), WatchDuration: request.WatchDuration, Reapply: request.Reapply,
			Author: request.Author, Reason: request.Reason})
		reply := Reply{Generation: no}
		for _, finding := range findings {
			reply.Findings = append(reply.Findings, finding.Error())
		}
		writeReply(w, reply, err)
	})
	decodeRequest := func(r *http.Request) (request Request, err error) {
		return request, json.NewDecoder(io.LimitReader(r.Body, maxBodySize)).Decode(&request)
	}
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, r *http.Request) {
		s, err := g.FleetStatus(r.Context(), r.URL.Query().Has("all"))
		if err == nil && s == nil {
			err = errors.New("this gateway agrees on nothing with others: its operator's file has no block agreement")
		}
		writeReply(w, Reply{Fleet: s}, err)
	})
	mux.HandleFunc("GET /shares", func(w http.ResponseWriter, r *http.Request) {
		limits, err := g.FleetLimits(r.Context())
		writeReply(w, Reply{Limits: limits}, err)
	})
	mux.HandleFunc("GET /chosen", func(w http.ResponseWriter, r *http.Request) {
		v, names, err := g.Coordination(r.Context())
		if err == nil && v == nil {
			err = errors.New("this gateway chooses nothing together with others: its operator's file has no block coordination")
		}
		writeReply(w, Reply{Coordination: v, MemberNames: names}, err)
	})
	mux.HandleFunc("GET /contracts", func(w http.ResponseWriter, r *http.Request) {
		v, err := g.Contracts(r.Context())
		if err == nil && v == nil {
			err = errors.New("this gateway agrees on nothing with others: its operator's file has no block agreement")
		}
		writeReply(w, Reply{Contracts: v}, err)
	})
	mux.HandleFunc("GET /statement", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		from, err := strconv.ParseInt(query.Get("from"), 10, 64)
		to, err2 := strconv.ParseInt(query.Get("to"), 10, 64)
		if err = errors.Join(err, err2); err != nil {
			writeReply(w, Reply{}, err)
			return
		}
		statements, complete, err := g.Statements(r.Context(), query.Get("name"), from, to)
		writeReply(w, Reply{Statements: statements, Complete: complete}, err)
	})
	mux.HandleFunc("POST /contract", func(w http.ResponseWriter, r *http.Request) {
		request, err := decodeRequest(r)
		if err == nil && request.ContractProposal == nil {
			err = errors.New("nothing is asked for")
		}
		if err == nil {
			err = g.ProposeContract(r.Context(), *request.ContractProposal)
		}
		writeReply(w, Reply{}, err)
	})
	mux.Handle("GET /metrics", newMetricsHandler(g))
	mux.HandleFunc("POST /found", func(w http.ResponseWriter, r *http.Request) { writeReply(w, Reply{}, g.BootstrapFleet(r.Context())) })
	mux.HandleFunc("POST /wish", func(w http.ResponseWriter, r *http.Request) {
		request, err := decodeRequest(r)
		if err == nil && request.FleetProposal == nil {
			err = errors.New("nothing is asked for")
		}
		if err == nil {
			err = g.ProposeToFleet(r.Context(), *request.FleetProposal)
		}
		writeReply(w, Reply{}, err)
	})
	mux.HandleFunc("POST /restore", func(w http.ResponseWriter, r *http.Request) {
		request, err := decodeRequest(r)
		var no rollout.Generation
		if err == nil {
			no, err = g.Restore(r.Context(), request.Version, request.Author)
		}
		writeReply(w, Reply{Generation: no}, err)
	})
	mux.HandleFunc("POST /keep", func(w http.ResponseWriter, r *http.Request) { writeReply(w, Reply{}, g.Keep(r.Context())) })
	mux.HandleFunc("POST /undo", func(w http.ResponseWriter, r *http.Request) { writeReply(w, Reply{}, g.Undo(r.Context())) })
	mux.HandleFunc("GET /text", func(w http.ResponseWriter, r *http.Request) {
		no, text, err := g.InForce(r.Context())
		writeReply(w, Reply{Generation: no, Text: string(text)}, err)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		s, err := g.Status(r.Context())
		writeReply(w, Reply{Status: &s}, err)
	})
	return mux
}

// Call sends a request to the gateway that listens on a Unix socket. It also fails if the reply holds an error.
func Call(ctx context.Context, socketPath, method, endpoint string, request *Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", socketPath)
	}}}
	defer client.CloseIdleConnections()
	var body io.Reader
	if request != nil {
		text, err := json.Marshal(request)
		if err != nil {
			return Reply{}, err
		}
		body = bytes.NewReader(text)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://gateway/"+endpoint, body)
	if err != nil {
		return Reply{}, err
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	var reply Reply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBodySize)).Decode(&reply); err != nil {
		return reply, fmt.Errorf("decode the gateway's response: %w", err)
	}
	if reply.Error != "" {
		return reply, errors.New(reply.Error)
	}
	return reply, nil
}
