package soak

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// request is what a client asked and what came of it.
type request struct {
	id     uint64
	class  string
	sent   time.Time
	budget time.Duration
	left   time.Time // when its client closed or cancelled, zero while it did not
	result string    // a value, an error's code, or how its connection ended
	took   time.Duration
}

// Results that are no answer.
const (
	unread = "connection ended, request unread" // by the gateway: it was never taken
	lost   = "connection ended without an answer"
	late   = "no answer in time"
	gone   = "client left"
)

// answerSlack is by how much an answer may come behind the request's deadline.
const answerSlack = 500 * time.Millisecond

// load is the clients of a play.
type load struct {
	address  string
	ids      atomic.Uint64
	over     chan struct{} // closed when no request is sent any more
	clients  sync.WaitGroup
	mu       sync.Mutex
	requests []*request
}

func (l *load) record(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

func (l *load) isOver() bool {
	select {
	case <-l.over:
		return true
	default:
		return false
	}
}

const startup = "\x00\x00\x00\x16\x00\x03\x00\x00user\x00portal\x00\x00\x00"

// connection is a client's, past the startup.
type connection struct {
	*net.TCPConn
	r   *bufio.Reader
	key string // of a cancel request
}

var errTurnedAway = errors.New("turned away")

// connect opens a connection. It fails where the gateway is not there or turns it away.
func (l *load) connect() (*connection, error) {
	raw, err := net.DialTimeout("tcp4", l.address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &connection{TCPConn: raw.(*net.TCPConn), r: bufio.NewReader(raw)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, startup); err != nil {
		_ = c.Close()
		return nil, err
	}
	for {
		kind, body, err := readMessage(c.r)
		switch {
		case err != nil:
			_ = c.Close()
			return nil, err
		case kind == 'K':
			c.key = string(body)
		case kind == 'E':
			_ = c.Close()
			return nil, errTurnedAway
		case kind == 'Z':
			return c, nil
		}
	}
}

// newRequest draws one.
func (l *load) newRequest(random *rand.Rand) *request {
	class := []string{"any", "any", "any", "keyed", "once"}[random.IntN(5)]
	r := &request{id: l.ids.Add(1), class: class, budget: time.Duration(100+random.IntN(900)) * time.Millisecond}
	l.record(r)
	return r
}

func (r *request) statement() string {
	head := fmt.Sprintf("/* id=%016x,c=%s,d=%d,cluster=0", r.id, r.class, r.budget.Milliseconds())
	switch r.class {
	case "any":
		return message('Q', head+" */ SELECT data FROM facts WHERE code = '7f3a'\x00")
	case "keyed":
		head += fmt.Sprintf(",k=%x", r.id)
	}
	return message('Q', head+" */ INSERT INTO facts (code, data) VALUES ('7f3a', '\\x9f03') RETURNING data\x00")
}

// await reads a request's answer. Answers come in order, so that it is due once those before it are here.
func (c *connection) await(r *request, slack time.Duration) (open bool) {
	due := r.sent.Add(r.budget)
	if now := time.Now(); now.After(due) {
		due = now
	}
	_ = c.SetReadDeadline(due.Add(slack))
	defer func() { r.took = time.Since(r.sent) }()
	for {
		kind, body, err := readMessage(c.r)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.result = late
			return false
		case err != nil:
			r.result = c.ended(err)
			return false
		case kind == 'D':
			r.result = string(body[6:])
		case kind == 'E':
			_, code, _ := strings.Cut(string(body), "\x00C")
			r.result = code[:5]
		case kind == 'Z':
			return true
		}
	}
}

// ended tells whether the gateway had read the request when it ended the connection: a close over something unread resets
// it, at once or when the request comes behind the close. What its kernel never acknowledged it has not read either: a segment
// that crosses the close can be dropped, and the reset comes with its repeat.
func (c *connection) ended(err error) string {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return unread
	}
	result := lost
	raw, err := c.SyscallConn()
	if err != nil {
		return result
	}
	for end := time.Now().Add(100 * time.Millisecond); result == lost && time.Now().Before(end); time.Sleep(time.Millisecond) {
		_ = raw.Control(func(fd uintptr) {
			if number, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && number != 0 {
				result = unread
			}
		})
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.Unacked > 0 {
			result = unread
		}
	})
	return result
}

// steady asks on one connection for as long as it stays open, then on the next.
func (l *load) steady(random *rand.Rand, atOnce int, slack time.Duration) {
	for !l.isOver() {
		c, err := l.connect()
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for open := true; open && !l.isOver(); {
			open = l.askSome(c, random, atOnce, slack)
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		}
		_ = c.Close()
	}
}

// askSome sends some requests at once and reads their answers in order.
func (l *load) askSome(c *connection, random *rand.Rand, atOnce int, slack time.Duration) (open bool) {
	var some []*request
	text := ""
	for range atOnce {
		r := l.newRequest(random)
		some = append(some, r)
		text += r.statement()
	}
	now := time.Now()
	for _, r := range some {
		r.sent = now
	}
	if _, err := io.WriteString(c, text); err != nil {
		for _, r := range some {
			r.result = unread
		}
		return false
	}
	for i, r := range some {
		if c.await(r, slack) {
			continue
		}
		for _, behind := range some[i+1:] { // answered in order, or not at all
			behind.result = r.result
		}
		return false
	}
	return true
}

// leaving clients ask and close or reset a moment later.
func (l *load) leaving(random *rand.Rand) {
	for !l.isOver() {
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		c, err := l.connect()
		if err != nil {
			continue
		}
		r := l.newRequest(random)
		r.sent = time.Now()
		if _, err := io.WriteString(c, r.statement()); err != nil {
			r.result = unread
			continue
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
		if random.IntN(2) == 0 {
			_ = c.SetLinger(0)
		}
		r.left, r.result = time.Now(), gone
		_ = c.Close()
	}
}

// cancelling clients cancel a moment after they have asked, and read what comes.
func (l *load) cancelling(random *rand.Rand, slack time.Duration) {
	for !l.isOver() {
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		c, err := l.connect()
		if err != nil {
			continue
		}
		r := l.newRequest(random)
		r.sent = time.Now()
		if _, err := io.WriteString(c, r.statement()); err != nil {
			r.result = unread
			_ = c.Close()
			continue
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		if other, err := net.DialTimeout("tcp4", l.address, time.Second); err == nil {
			_, _ = io.WriteString(other, "\x00\x00\x00\x10\x04\xd2\x16\x2e"+c.key)
			_ = other.Close()
		}
		c.await(r, slack)
		if r.result == "57014" {
			r.left = r.sent.Add(r.took)
		}
		_ = c.Close()
	}
}

// slowWriters send a request byte by byte.
func (l *load) slowWriters(random *rand.Rand, slack time.Duration) {
	for !l.isOver() {
		c, err := l.connect()
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		r := l.newRequest(random)
		r.result = unread
		for _, b := range []byte(r.statement()) {
			if _, err = c.Write([]byte{b}); err != nil {
				break
			}
			time.Sleep(100 * time.Microsecond)
		}
		if r.sent = time.Now(); err == nil {
			c.await(r, slack)
		}
		_ = c.Close()
	}
}

// crowd opens connections that say nothing, or half of a message, and stay.
func (l *load) crowd(random *rand.Rand, size int) {
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for range size {
		if l.isOver() {
			return
		}
		c, err := net.DialTimeout("tcp4", l.address, time.Second)
		if err != nil {
			continue
		}
		open = append(open, c)
		if random.IntN(2) == 0 {
			_, _ = io.WriteString(c, startup+"Q"+string(binary.BigEndian.AppendUint32(nil, 100))+"/* id=")
		}
		time.Sleep(time.Duration(random.IntN(4)) * time.Millisecond)
	}
	<-l.over
}
