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

// request is a client's request and its result.
type request struct {
	id      uint64
	txnType string
	session string
	after   int64 // position that a session's read asks for, 0 for none
	sentAt  time.Time
	timeout time.Duration
	leftAt  time.Time // when the client closed or cancelled; zero if it did neither
	result  string    // a value, an error code, or how the connection ended
	latency time.Duration
}

// Results of requests that got no response.
const (
	resultUnread     = "connection ended, request unread" // the gateway closed the connection and never took the request
	resultLost       = "connection ended without a response"
	resultTimeout    = "no response in time"
	resultClientLeft = "client left"
)

// responseTolerance is how long after the request's deadline a response may still arrive.
const responseTolerance = 500 * time.Millisecond

// clientLoad runs the clients of a soak run and collects their requests.
type clientLoad struct {
	address  string
	lastID   atomic.Uint64
	done     chan struct{} // closed to stop the clients
	clients  sync.WaitGroup
	mu       sync.Mutex
	requests []*request
	group    *replication
	marks    string // writeMarks of the settings
}

func (l *clientLoad) record(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

func (l *clientLoad) isDone() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

const startupMessage = "\x00\x00\x00\x16\x00\x03\x00\x00user\x00portal\x00\x00\x00"

// clientConn is a client's connection.
type clientConn struct {
	*net.TCPConn
	r         *bufio.Reader
	cancelKey string // process id and secret for a cancel request
}

var errRejected = errors.New("connection rejected")

// connect opens a connection and completes the startup. It fails if the gateway is unreachable or rejects the client.
func (l *clientLoad) connect() (*clientConn, error) {
	raw, err := net.DialTimeout("tcp4", l.address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: raw.(*net.TCPConn), r: bufio.NewReader(raw)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, startupMessage); err != nil {
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
			c.cancelKey = string(body)
		case kind == 'E':
			_ = c.Close()
			return nil, errRejected
		case kind == 'Z':
			return c, nil
		}
	}
}

// newRequest draws a random type and timeout and records the request.
func (l *clientLoad) newRequest(random *rand.Rand) *request {
	txnType := []string{"any", "session", "session", "bounded", "keyed", "once"}[random.IntN(6)]
	r := &request{id: l.lastID.Add(1), txnType: txnType, timeout: time.Duration(100+random.IntN(900)) * time.Millisecond,
		session: fmt.Sprintf("%016x", 1+random.IntN(sessionCount))}
	if txnType == "session" && l.marks == "brought" {
		r.after = l.group.lastCommit(r.session)
	}
	l.record(r)
	return r
}

// sessionCount is how many sessions the clients share: few, so that reads follow writes closely.
const sessionCount = 6

func (r *request) isWrite() bool { return r.txnType == "keyed" || r.txnType == "once" }

// statement returns the query message of the request.
func (r *request) statement() string {
	head := fmt.Sprintf("/* id=%016x,c=%s,d=%d,cluster=0", r.id, r.txnType, r.timeout.Milliseconds())
	if r.after > 0 {
		head += fmt.Sprintf(",after=%d", r.after)
	}
	if r.txnType == "keyed" {
		head += fmt.Sprintf(",k=%x", r.id)
	}
	if !r.isWrite() {
		return message('Q', head+" */ SELECT data FROM facts WHERE code = '"+r.session+"'\x00")
	}
	return message('Q', head+" */ INSERT INTO facts (code, data) VALUES ('"+r.session+"', '\\x9f03') RETURNING data\x00")
}

// readResponse reads the response to a request and reports whether the connection is still open. Responses come in
// order, so a request whose deadline passed while earlier responses were read gets the tolerance from now on.
func (c *clientConn) readResponse(r *request, tolerance time.Duration) (open bool) {
	due := r.sentAt.Add(r.timeout)
	if now := time.Now(); now.After(due) {
		due = now
	}
	_ = c.SetReadDeadline(due.Add(tolerance))
	defer func() { r.latency = time.Since(r.sentAt) }()
	for {
		kind, body, err := readMessage(c.r)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.result = resultTimeout
			return false
		case err != nil:
			r.result = c.classifyClose(err)
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

// classifyClose determines whether the gateway had read the request when it closed the connection. Closing with unread
// data resets the connection, at once or when the request arrives after the close. A request that the gateway's kernel
// never acknowledged was not read either: a segment that crosses the close can be dropped, and the reset follows only its
// retransmission.
func (c *clientConn) classifyClose(err error) string {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return resultUnread
	}
	result := resultLost
	raw, err := c.SyscallConn()
	if err != nil {
		return result
	}
	for end := time.Now().Add(100 * time.Millisecond); result == resultLost && time.Now().Before(end); time.Sleep(time.Millisecond) {
		_ = raw.Control(func(fd uintptr) {
			if number, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && number != 0 {
				result = resultUnread
			}
		})
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.Unacked > 0 {
			result = resultUnread
		}
	})
	return result
}

// runSteady sends batches of requests on one connection for as long as it stays open, then reconnects.
func (l *clientLoad) runSteady(random *rand.Rand, batchSize int, tolerance time.Duration) {
	for !l.isDone() {
		c, err := l.connect()
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for open := true; open && !l.isDone(); {
			open = l.sendBatch(c, random, batchSize, tolerance)
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		}
		_ = c.Close()
	}
}

// sendBatch sends a batch of requests in one write and reads their responses in order.
func (l *clientLoad) sendBatch(c *clientConn, random *rand.Rand, batchSize int, tolerance time.Duration) (open bool) {
	var batch []*request
	messages := ""
	for range batchSize {
		r := l.newRequest(random)
		batch = append(batch, r)
		messages += r.statement()
	}
	now := time.Now()
	for _, r := range batch {
		r.sentAt = now
	}
	if _, err := io.WriteString(c, messages); err != nil {
		for _, r := range batch {
			r.result = resultUnread
		}
		return false
	}
	for i, r := range batch {
		if c.readResponse(r, tolerance) {
			continue
		}
		for _, behind := range batch[i+1:] { // responses are ordered: none follows a missing one
			behind.result = r.result
		}
		return false
	}
	return true
}

// runLeaving sends requests and closes or resets each connection a moment later.
func (l *clientLoad) runLeaving(random *rand.Rand) {
	for !l.isDone() {
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		c, err := l.connect()
		if err != nil {
			continue
		}
		r := l.newRequest(random)
		r.sentAt = time.Now()
		if _, err := io.WriteString(c, r.statement()); err != nil {
			r.result = resultUnread
			continue
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
		if random.IntN(2) == 0 {
			_ = c.SetLinger(0)
		}
		r.leftAt, r.result = time.Now(), resultClientLeft
		_ = c.Close()
	}
}

// runCancelling sends requests, cancels each a moment later, and reads the response.
func (l *clientLoad) runCancelling(random *rand.Rand, tolerance time.Duration) {
	for !l.isDone() {
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		c, err := l.connect()
		if err != nil {
			continue
		}
		r := l.newRequest(random)
		r.sentAt = time.Now()
		if _, err := io.WriteString(c, r.statement()); err != nil {
			r.result = resultUnread
			_ = c.Close()
			continue
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		if other, err := net.DialTimeout("tcp4", l.address, time.Second); err == nil {
			_, _ = io.WriteString(other, "\x00\x00\x00\x10\x04\xd2\x16\x2e"+c.cancelKey)
			_ = other.Close()
		}
		c.readResponse(r, tolerance)
		if r.result == "57014" {
			r.leftAt = r.sentAt.Add(r.latency)
		}
		_ = c.Close()
	}
}

// runSlowWriter sends requests byte by byte.
func (l *clientLoad) runSlowWriter(random *rand.Rand, tolerance time.Duration) {
	for !l.isDone() {
		c, err := l.connect()
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		r := l.newRequest(random)
		r.result = resultUnread
		for _, b := range []byte(r.statement()) {
			if _, err = c.Write([]byte{b}); err != nil {
				break
			}
			time.Sleep(100 * time.Microsecond)
		}
		if r.sentAt = time.Now(); err == nil {
			c.readResponse(r, tolerance)
		}
		_ = c.Close()
	}
}

// runIdleCrowd opens connections that send nothing or half a message, and keeps them open.
func (l *clientLoad) runIdleCrowd(random *rand.Rand, size int) {
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for range size {
		if l.isDone() {
			return
		}
		c, err := net.DialTimeout("tcp4", l.address, time.Second)
		if err != nil {
			continue
		}
		open = append(open, c)
		if random.IntN(2) == 0 {
			_, _ = io.WriteString(c, startupMessage+"Q"+string(binary.BigEndian.AppendUint32(nil, 100))+"/* id=")
		}
		time.Sleep(time.Duration(random.IntN(4)) * time.Millisecond)
	}
	<-l.done
}
