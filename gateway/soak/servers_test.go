package soak

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// attempt is a transaction's statement as a server received it.
type attempt struct {
	server     string
	txnType    string
	receivedAt time.Time
	timeout    time.Duration // time left to the client, as the gateway passed it on
	missed     bool          // refused for lack of the primary's role or of recent data: it had no effect
	position   int64         // of a read: up to which the server had applied the log when it responded; 0 if it did not
	after      int64         // of a read: the position that its statement asks for, 0 if none
	session    string
}

// attemptLog holds the attempts that the servers received, by request id.
type attemptLog struct {
	mu   sync.Mutex
	byID map[uint64][]*attempt
}

func (r *attemptLog) add(id uint64, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], a)
}

// change changes an attempt under the lock.
func (r *attemptLog) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// server is a stand-in for a database server. It returns the request's id as the value, and some statements fail at
// random.
type server struct {
	name      string
	listener  net.Listener
	attempts  *attemptLog
	group     *replication
	rules     deployment
	mu        sync.Mutex
	random    *rand.Rand
	hangUntil time.Time // no response is sent before this time
	conns     map[net.Conn]bool
}

func newServer(name string, group *replication, rules deployment, attempts *attemptLog, random *rand.Rand) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{name: name, group: group, rules: rules, listener: l, attempts: attempts, random: random, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// hang holds back all responses until the given duration has passed from now.
func (s *server) hang(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangUntil = time.Now().Add(duration)
}

// behaviour is how a server handles a statement.
type behaviour int

const (
	respond behaviour = iota
	staySilent
	resetConn
	truncateResponse
	returnError
	respondAndReset // the response is written whole, but the connection is reset right after it
)

// nextBehaviour draws how the server handles the next statement and how long it waits before that.
func (s *server) nextBehaviour() (b behaviour, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay = time.Duration(s.random.ExpFloat64() * float64(5*time.Millisecond))
	if hang := time.Until(s.hangUntil); hang > 0 {
		delay += hang
	}
	switch n := s.random.IntN(100); {
	case n < 2:
		return staySilent, delay
	case n < 4:
		return resetConn, delay
	case n < 6:
		return truncateResponse, delay
	case n < 8:
		return returnError, delay
	case n < 10:
		return respondAndReset, delay
	}
	return respond, delay
}

func message(kind byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))) + body
}

var (
	txnComment    = regexp.MustCompile(`id=([0-9a-f]{16}),c=([a-z]+),d=(\d+)`)
	afterPosition = regexp.MustCompile(`after=(\d+)`)
	sessionKey    = regexp.MustCompile(`'([^']*)'`)
)

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return
	}
	if _, err := r.Discard(int(binary.BigEndian.Uint32(size[:])) - 4); err != nil {
		return
	}
	_, _ = io.WriteString(c, message('R', "\x00\x00\x00\x00")+message('Z', "I"))
	for {
		kind, body, err := readMessage(r)
		if err != nil || kind != 'Q' {
			return
		}
		match := txnComment.FindStringSubmatch(string(body))
		if match == nil {
			if !s.answerProbe(c, string(body)) {
				return
			}
			continue
		}
		id, _ := strconv.ParseUint(match[1], 16, 64)
		left, _ := strconv.Atoi(match[3])
		a := &attempt{server: s.name, txnType: match[2], receivedAt: time.Now(), timeout: time.Duration(left) * time.Millisecond,
			session: sessionKey.FindStringSubmatch(string(body))[1]}
		if after := afterPosition.FindStringSubmatch(string(body)); after != nil {
			a.after, _ = strconv.ParseInt(after[1], 10, 64)
		}
		s.attempts.add(id, a)
		b, delay := s.nextBehaviour()
		time.Sleep(delay)
		if !s.reply(c, r, b, id, a) {
			return
		}
	}
}

// report returns the server's load report. Positions in it are in seconds.
func (s *server) report() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	role := 0
	if s.name == s.group.primary {
		role = 1
	}
	return fmt.Sprintf("x0=%.3f,x1=%d", float64(s.group.position(s.name))/1000, role)
}

func row(value string) string {
	return message('T', "\x00\x01data\x00"+strings.Repeat("\x00", 18)) +
		message('D', "\x00\x01"+string(binary.BigEndian.AppendUint32(nil, uint32(len(value))))+value)
}

func (s *server) answerProbe(c net.Conn, query string) bool {
	value := "1"
	if strings.HasPrefix(query, "SHOW") {
		value = s.report()
	}
	_, err := io.WriteString(c, row(value)+message('C', "SELECT 1\x00")+message('Z', "I"))
	return err == nil
}

// execute returns the position of a write's commit, or the server's at a read; code is an error, empty if there is none.
func (s *server) execute(id uint64, a *attempt) (position int64, readOnly bool, code string) {
	if a.isWrite() {
		position, ok := s.group.commit(s.name, id)
		if !ok {
			return 0, true, "25006"
		}
		return position, false, ""
	}
	required := a.after
	if s.rules.marks == "kept" && a.txnType == "session" {
		required = s.group.lastCommit(a.session)
	}
	if a.txnType == "bounded" {
		required = a.receivedAt.Add(-stalenessBound).UnixMilli()
	}
	for deadline := a.receivedAt.Add(s.rules.wait()); ; time.Sleep(time.Millisecond) {
		s.group.mu.Lock()
		position, readOnly = s.group.position(s.name), s.name != s.group.primary
		s.group.mu.Unlock()
		if s.rules.checks == "none" || a.txnType == "any" || position >= required {
			return position, readOnly, ""
		}
		if !time.Now().Before(deadline) {
			return position, readOnly, "72000"
		}
	}
}

func (a *attempt) isWrite() bool { return a.txnType == "keyed" || a.txnType == "once" }

// status returns the parameters that end a response.
func (s *server) status(position int64, readOnly, committed bool) (text string) {
	mode := "read-write"
	if readOnly {
		mode = "read-only"
	}
	text = message('S', "mode\x00"+mode+"\x00")
	if s.rules.stamped || committed {
		text += message('S', fmt.Sprintf("wal_time\x00%d\x00", position))
	}
	if s.rules.reports == "answers" {
		text += message('S', "stats\x00"+s.report()+"\x00")
	}
	return text + message('Z', "I")
}

// reply executes a statement, responds to it and reports whether the connection stays open.
func (s *server) reply(c net.Conn, r *bufio.Reader, b behaviour, id uint64, a *attempt) bool {
	if b == returnError {
		s.group.mu.Lock()
		position, readOnly := s.group.position(s.name), s.name != s.group.primary
		s.group.mu.Unlock()
		_, err := io.WriteString(c, message('E', "SERROR\x00CXX000\x00Mfault\x00\x00")+s.status(position, readOnly, false))
		if err == nil {
			s.group.recordAnswer(s.name, readOnly, "", 0)
		}
		return true
	}
	position, readOnly, code := s.execute(id, a)
	s.attempts.change(func() {
		if a.missed = code != ""; !a.missed && !a.isWrite() {
			a.position = position
		}
	})
	if code != "" {
		_, err := io.WriteString(c, message('E', "SERROR\x00C"+code+"\x00Mmiss\x00\x00")+s.status(position, readOnly, false))
		if err == nil {
			s.group.recordAnswer(s.name, readOnly, "", 0)
		}
		return true
	}
	value := fmt.Sprintf("%016x", id)
	switch b {
	case staySilent:
		_, _ = r.ReadByte()
		return false
	case resetConn:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case truncateResponse:
		_, _ = io.WriteString(c, row(value)[:len(row(value))-1])
		return false
	}
	givenUp := hasBeenClosed(c)
	_, err := io.WriteString(c, row(value)+message('C', "SELECT 1\x00")+s.status(position, readOnly, a.isWrite()))
	if err == nil {
		commit := int64(0)
		if a.isWrite() && !givenUp { // the gateway can't receive what is written after it has closed the connection
			commit = position
		}
		s.group.recordAnswer(s.name, readOnly, a.session, commit)
	}
	if b == respondAndReset {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	return true
}

// hasBeenClosed reports whether the other side has closed a connection, or ended its sending on it.
func hasBeenClosed(c net.Conn) (closed bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		descriptors := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(descriptors, 0)
		closed = pollErr == nil && n > 0
	})
	return closed
}

func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// discovery is a stand-in for the list service, listening on two addresses.
type discovery struct {
	listeners     [2]net.Listener
	mu            sync.Mutex
	version       int
	hosts         []map[string]any
	changed       chan struct{}
	down          bool
	drainListedAt time.Time // when a list with a draining server was first sent
}

func newDiscovery() (*discovery, error) {
	d := &discovery{changed: make(chan struct{})}
	for i := range d.listeners {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d.listeners[i] = l
		go func() { _ = http.Serve(l, d) }()
	}
	return d, nil
}

func (d *discovery) close() {
	for _, l := range d.listeners {
		_ = l.Close()
	}
}

func (s *server) listEntry(health string) map[string]any {
	return map[string]any{"host": s.name, "dial": s.listener.Addr().String(), "site": "a", "class": "m", "block": 0,
		"health": health, "share": 1.0, "born_ms": 0}
}

func (d *discovery) setHosts(hosts ...map[string]any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.hosts = hosts
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

func (d *discovery) list() map[string]any {
	return map[string]any{"seq": d.version, "whole": true, "hosts": d.hosts}
}

// ServeHTTP responds to a call at once, and to a watch when the list changes or its wait expires.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	d.mu.Lock()
	defer d.mu.Unlock()
	if wait, _ := strconv.Atoi(q.Get("wait_ms")); wait > 0 && q.Get("after") == strconv.Itoa(d.version) && !d.down {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		d.mu.Lock()
	}
	if d.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(d.list())
	for _, h := range d.hosts {
		if h["health"] == "leaving" && d.drainListedAt.IsZero() {
			d.drainListedAt = time.Now()
		}
	}
}
