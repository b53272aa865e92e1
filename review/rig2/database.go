package main

import (
	"bufio"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// query is a statement that a database server received.
type query struct {
	server     *database
	receivedAt time.Time // of its last byte
	text       string
	id, class  string
	key, code  string
	budget     time.Duration // from d
	after      float64
	write      bool
}

// reply is what a database server does with a query.
type reply struct {
	work   time.Duration // before it answers
	silent bool          // it never answers
	code   string        // of an error, empty for a row
	value  string
	status [][2]string // parameters before ReadyForQuery
}

// database is a stand-in for a database server.
type database struct {
	rec      *record
	name     string
	address  string
	answer   func(q *query) reply
	probe    func() reply // answers SELECT 1 and SHOW stats
	listener net.Listener

	mu      sync.Mutex
	queries []*query
	conns   map[net.Conn]bool
}

// newDatabase starts a server.
func newDatabase(rec *record, name string, answer func(q *query) reply) (*database, error) {
	l, err := listenFree()
	if err != nil {
		return nil, err
	}
	d := &database{rec: rec, name: name, address: l.Addr().String(), answer: answer, listener: l, conns: map[net.Conn]bool{}}
	go d.serve(l)
	return d, nil
}

func (d *database) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.conns[c] = true
		d.mu.Unlock()
		go d.session(c)
	}
}

// kill ends the server's process: its connections are reset and new ones refused.
func (d *database) kill() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// received returns the queries of clients so far.
func (d *database) received() []*query {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*query(nil), d.queries...)
}

var (
	comment = regexp.MustCompile(`^/\*(.*?)\*/ *(\w+)`)
	quoted  = regexp.MustCompile(`'([^']*)'`)
)

// parseQuery reads the comment and the first quoted string of a statement.
func parseQuery(d *database, text string) (*query, bool) {
	match := comment.FindStringSubmatch(text)
	if match == nil {
		return nil, false
	}
	q := &query{server: d, receivedAt: time.Now(), text: text, write: match[2] == "INSERT"}
	for _, part := range strings.Split(match[1], ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch name {
		case "id":
			q.id = value
		case "c":
			q.class = value
		case "k":
			q.key = value
		case "d":
			ms, _ := strconv.ParseFloat(value, 64)
			q.budget = time.Duration(ms * float64(time.Millisecond))
		case "after":
			q.after, _ = strconv.ParseFloat(value, 64)
		}
	}
	if code := quoted.FindStringSubmatch(text[len(match[0]):]); code != nil {
		q.code = code[1]
	}
	return q, q.id != ""
}

// session serves one connection.
func (d *database) session(c net.Conn) {
	defer func() {
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	if _, err := readStartup(in); err != nil {
		return
	}
	if _, err := c.Write(appendReady(appendMessage(nil, 'R', []byte{0, 0, 0, 0}))); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(in)
		if err != nil || kind != 'Q' {
			return
		}
		text := strings.TrimSuffix(string(body), "\x00")
		var r reply
		id := "probe"
		if q, ok := parseQuery(d, text); ok {
			id = q.id
			d.mu.Lock()
			d.queries = append(d.queries, q)
			d.mu.Unlock()
			d.rec.logAt(q.receivedAt, "%s receives id=%s c=%s d=%d ms k=%s", d.name, q.id, q.class, q.budget.Milliseconds(), q.key)
			r = d.answer(q)
		} else if d.probe != nil {
			d.rec.logf("%s receives %s", d.name, text)
			r = d.probe()
		}
		if r.silent {
			d.rec.logf("%s does not answer %s", d.name, id)
			_, _, _ = readMessage(in) // until the gateway gives the connection up
			d.rec.logf("%s: the connection of %s is given up", d.name, id)
			return
		}
		time.Sleep(r.work)
		var out []byte
		if r.code != "" {
			out = appendError(out, r.code, "not served")
		} else {
			out = appendRow(out, []byte(r.value))
		}
		for _, s := range r.status {
			out = appendStatus(out, s[0], s[1])
		}
		if _, err := c.Write(appendReady(out)); err != nil {
			d.rec.logf("%s: the connection of %s is closed before the answer", d.name, id)
			return
		}
		if id != "probe" {
			d.rec.logf("%s answered %s: code=%q value=%q %v", d.name, id, r.code, r.value, r.status)
		}
	}
}
