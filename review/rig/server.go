package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// group is the database servers of one group, and the log that they share.
type group struct {
	r            *rig
	reports      bool          // every answer holds a load report
	probes       bool          // SHOW stats is answered with a report
	reportPeriod time.Duration // between two reports of a server; 0 for reports that are always fresh
	reportDelay  time.Duration // until a report is told
	readWait     time.Duration // for which a replica that is behind holds a read before it turns it away; 0 if it doesn't check
	dedupWindow  time.Duration // for which repeats of a keyed write are dropped
	readWork     time.Duration
	writeWork    time.Duration
	hang         chan struct{} // once it is closed, nothing is answered
	mu           sync.Mutex
	attempts     []*attempt
	lastCommitMs int64
	keys         map[string]keyed
	servers      []*server
	commits      []commit // in the order of their positions
}

// commit is one write in the group's log.
type commit struct {
	position int64 // Unix milliseconds
	code     string
	value    []byte
}

// keyed is what a group remembers of a key.
type keyed struct {
	at       time.Time
	position int64
	response []byte
}

// attempt is a request as a database server received it.
type attempt struct {
	server   string
	id       string
	class    string
	code     string
	write    bool
	at       time.Time // of its last byte
	timeout  int       // milliseconds, as told
	ran      time.Time // when its effect was committed, or the read was made; zero for never
	repeat   bool      // dropped as a repeat
	after    int64     // position that a read must see, as its client said; 0 for none
	position int64     // up to which the server had applied the log when it made the read
	turned   string    // SQLSTATE by which it was turned away
	answered bool
}

// server is one database server.
type server struct {
	g        *group
	name     string
	primary  bool
	listener net.Listener
	cores    chan struct{}
	mu       sync.Mutex
	draining bool

	// Guarded by the group's lock.
	lag     time.Duration // of a replica behind the primary
	held    time.Time     // until then a replica applies nothing
	applied int64         // position at the start of that

	reported int64 // position in the report that is told at present
}

func (g *group) addServer(name string, primary bool, cores int) *server {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	s := &server{g: g, name: name, primary: primary, listener: l, cores: make(chan struct{}, cores)}
	g.servers = append(g.servers, s)
	if g.reportPeriod > 0 {
		s.reported = time.Now().UnixMilli() - 100
		go s.makeReports()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) entry(site, class string) host {
	return host{Host: s.name, Dial: s.listener.Addr().String(), Site: site, Class: class, Health: "active", Share: 1}
}

func (s *server) setDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// all returns copies of the attempts so far.
func (g *group) all() []attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]attempt, len(g.attempts))
	for i, a := range g.attempts {
		out[i] = *a
	}
	return out
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 1<<16)
	var size [4]byte
	for i := range size {
		b, err := r.ReadByte()
		if err != nil {
			return
		}
		size[i] = b
	}
	n := int(size[2])<<8 | int(size[3])
	if _, err := r.Discard(n - 4); err != nil {
		return
	}
	_, _ = c.Write(append(message('R', "\x00\x00\x00\x00"), readyForQuery...))
	for {
		kind, body, err := readMessage(r)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		if !s.query(c, string(body[:len(body)-1])) {
			return
		}
	}
}

var (
	comment = regexp.MustCompile(`^/\*(.*?)\*/ *(\w+)`)
	quoted  = regexp.MustCompile(`'([^']*)'`)
)

// query answers one statement; false ends the connection.
func (s *server) query(c net.Conn, sql string) bool {
	g := s.g
	if g.hangs() {
		select {}
	}
	switch sql {
	case "":
		return write(c, message('I', ""), readyForQuery)
	case "SELECT 1":
		return write(c, row([]byte("1")), readyForQuery)
	case "SHOW stats":
		if !g.probes {
			return write(c, errorMessage("42501", "no"), readyForQuery)
		}
		return write(c, s.mode(), row([]byte(s.report())), readyForQuery)
	}
	head := comment.FindStringSubmatch(sql)
	if head == nil {
		return write(c, errorMessage("08P01", "unknown statement")) && false
	}
	words := map[string]string{}
	for _, part := range strings.Split(head[1], ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		words[name] = value
	}
	values := quoted.FindAllStringSubmatch(sql[len(head[0]):], 2)
	if words["id"] == "" || len(values) == 0 {
		return write(c, errorMessage("08P01", "unknown statement")) && false
	}
	timeout, _ := strconv.Atoi(words["d"])
	a := &attempt{server: s.name, id: words["id"], class: words["c"], code: values[0][1], write: head[2] == "INSERT", at: time.Now(), timeout: timeout}
	after, _ := strconv.ParseFloat(words["after"], 64)
	a.after = int64(after)
	g.mu.Lock()
	g.attempts = append(g.attempts, a)
	g.mu.Unlock()
	g.r.logf("%s received id=%s c=%s code=%s d=%d after=%s", s.name, a.id, a.class, a.code, timeout, words["after"])
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		return s.turnAway(c, a, "53300", "draining")
	}
	if a.write && !s.primary {
		return s.turnAway(c, a, "25006", "this is a replica")
	}
	work := g.readWork
	if a.write {
		work = g.writeWork
	}
	s.cores <- struct{}{}
	if !a.write && !s.reach(a) {
		<-s.cores
		return s.turnAway(c, a, "72000", "too far behind")
	}
	var value []byte
	var position int64
	if !a.write { // it reads what is applied when it begins
		value, position = s.read(a)
	}
	time.Sleep(work)
	<-s.cores
	if g.hangs() {
		select {}
	}
	g.mu.Lock()
	now := time.Now()
	if k, known := g.keys[words["k"]]; a.write && words["k"] != "" && known && now.Sub(k.at) < g.dedupWindow {
		a.repeat, value, position = true, k.response, k.position
	} else if a.write {
		if len(values) > 1 {
			value, _ = hex.DecodeString(strings.TrimPrefix(values[1][1], `\x`))
		}
		position = max((now.UnixMicro()+999)/1000, g.lastCommitMs)
		g.lastCommitMs = position
		g.commits = append(g.commits, commit{position, a.code, value})
		if words["k"] != "" {
			g.keys[words["k"]] = keyed{now, position, value}
		}
	}
	a.ran = now
	g.mu.Unlock()
	g.r.logf("%s ran id=%s code=%s repeat=%v", s.name, a.id, a.code, a.repeat)
	ok := write(c, s.status(position), row(value), readyForQuery)
	g.mu.Lock()
	a.answered = ok
	g.mu.Unlock()
	return ok
}

// reach waits for the position that a read must see; false if the server is too far behind for it.
func (s *server) reach(a *attempt) bool {
	g := s.g
	if s.primary || g.readWait == 0 || a.after == 0 {
		return true
	}
	for end := time.Now().Add(g.readWait); ; time.Sleep(time.Millisecond) {
		g.mu.Lock()
		position := s.position(time.Now())
		g.mu.Unlock()
		if position >= a.after {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// read returns the last value of a code that the server has applied.
func (s *server) read(a *attempt) (value []byte, position int64) {
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	a.position = s.position(time.Now())
	for i := len(g.commits) - 1; i >= 0; i-- {
		if c := g.commits[i]; c.code == a.code && c.position <= a.position {
			return c.value, a.position
		}
	}
	return []byte(a.id), a.position
}

func (s *server) turnAway(c net.Conn, a *attempt, code, text string) bool {
	s.g.mu.Lock()
	a.turned = code
	s.g.mu.Unlock()
	s.g.r.logf("%s turned away id=%s by %s", s.name, a.id, code)
	s.g.mu.Lock()
	position := s.position(time.Now())
	s.g.mu.Unlock()
	return write(c, s.status(position), errorMessage(code, text), readyForQuery)
}

// mode tells the server's role.
func (s *server) mode() []byte {
	if s.primary {
		return message('S', "mode\x00read-write\x00")
	}
	return message('S', "mode\x00read-only\x00")
}

// hangs reports whether the group's servers hang: they take what comes and answer nothing.
func (g *group) hangs() bool {
	select {
	case <-g.hang:
		return true
	default:
		return false
	}
}

// status is what precedes the answer's end: role, position and, where the settings say so, the load report.
func (s *server) status(position int64) []byte {
	out := append(s.mode(), message('S', fmt.Sprintf("wal_time\x00%d\x00", position))...)
	if s.g.reports {
		out = append(out, message('S', "stats\x00"+s.report()+"\x00")...)
	}
	return out
}

// position is the position up to which the server has applied the log. The group's lock is held.
func (s *server) position(now time.Time) int64 {
	switch {
	case s.primary:
		return max(now.UnixMilli(), s.g.lastCommitMs)
	case now.Before(s.held):
		return s.applied
	}
	s.applied = max(s.applied, now.Add(-s.lag).UnixMilli())
	return s.applied
}

// hold has a replica apply nothing for a time, as while it runs a long read.
func (s *server) hold(length time.Duration) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	now := time.Now()
	s.position(now)
	s.held = now.Add(length)
}

// makeReports makes a report each period, which is told after a delay.
func (s *server) makeReports() {
	g := s.g
	for ; ; time.Sleep(g.reportPeriod) {
		g.mu.Lock()
		position := s.position(time.Now())
		g.mu.Unlock()
		time.AfterFunc(g.reportDelay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			s.reported = position
		})
	}
}

// report is the load report: position in seconds, role and load.
func (s *server) report() string {
	role := 2
	if s.primary {
		role = 1
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	position := s.position(time.Now())
	if s.g.reportPeriod > 0 {
		position = s.reported
	}
	return fmt.Sprintf("x0=%.3f,x1=%d,util=0.3", float64(position)/1000, role)
}

// row is an answer of one column.
func row(value []byte) []byte {
	out := message('T', "\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	n := len(value)
	out = append(out, message('D', string([]byte{0, 1, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})+string(value))...)
	return append(out, message('C', "SELECT 1\x00")...)
}

func write(c net.Conn, parts ...[]byte) bool {
	var out []byte
	for _, p := range parts {
		out = append(out, p...)
	}
	_, err := c.Write(out)
	return err == nil
}
