package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	testTimeout  = 20 * time.Second
	testReadSize = 16 << 10
)

// testHandler calls the functions that a test sets.
type testHandler struct {
	opened   func(c *Conn) ([]byte, bool)
	received func(c *Conn)
	closed   func(c *Conn, err error)
}

func (h *testHandler) Opened(c *Conn) ([]byte, bool) {
	if h.opened == nil {
		return nil, true
	}
	return h.opened(c)
}

func (h *testHandler) Received(c *Conn) {
	if h.received != nil {
		h.received(c)
	}
}

func (h *testHandler) Closed(c *Conn, err error) {
	if h.closed != nil {
		h.closed(c, err)
	}
}

// startLoop runs a loop until the end of the test.
func startLoop(t *testing.T, h Handler) *Loop {
	t.Helper()
	l, err := New(h, testReadSize)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = l.Run() }()
	t.Cleanup(func() {
		_ = l.Post(l.Stop)
		<-l.Ended()
	})
	return l
}

// connPair returns the two sides of a TCP connection.
func connPair(t *testing.T) (local, peer net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err = net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	if local, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	_ = peer.SetDeadline(time.Now().Add(testTimeout))
	return local, peer
}

// runOn runs f on the loop and waits for its end.
func runOn(l *Loop, f func()) {
	done := make(chan bool)
	_ = l.Post(func() { f(); close(done) })
	<-done
}

func await[T any](t *testing.T, events <-chan T) (e T) {
	t.Helper()
	select {
	case e = <-events:
	case <-time.After(testTimeout):
		t.Fatal("timed out")
	}
	return e
}

// enroll registers a new connection and returns both of its sides.
func enroll(t *testing.T, l *Loop, context any) (peer net.Conn) {
	t.Helper()
	local, peer := connPair(t)
	if err := l.Enroll(local, context); err != nil {
		t.Fatal(err)
	}
	return peer
}

// TestEcho guards against bytes that are lost, doubled or out of order, whatever the sizes of reads and of what is consumed.
func TestEcho(t *testing.T) {
	l := startLoop(t, &testHandler{
		opened: func(*Conn) ([]byte, bool) { return []byte("hello"), true },
		received: func(c *Conn) { // all but the last 100 bytes, in pieces of 1000
			for c.InboundBuffered() > 100 {
				piece, err := c.Peek(min(1000, c.InboundBuffered()-100))
				if err != nil {
					t.Error(err)
				}
				_, _ = c.Writev([][]byte{piece[:len(piece)/2], nil, piece[len(piece)/2:]})
				c.Discard(len(piece))
			}
		},
	})
	peer := enroll(t, l, "context")
	sent := bytes.Repeat([]byte("0123456789abcdefghijklmnopqrstuvwxyz"), 1<<18)
	go func() { _, _ = peer.Write(sent) }()
	got := make([]byte, len("hello")+len(sent)-100)
	if _, err := io.ReadFull(peer, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, append([]byte("hello"), sent[:len(sent)-100]...)) {
		t.Error("what came back differs from what was sent")
	}
}

// TestStoppedReading guards against input that is read although reading was stopped, and against input that is lost by it.
func TestStoppedReading(t *testing.T) {
	conns := make(chan *Conn, 1)
	received := make(chan int, 1000)
	l := startLoop(t, &testHandler{
		opened:   func(c *Conn) ([]byte, bool) { conns <- c; return nil, true },
		received: func(c *Conn) { received <- c.InboundBuffered() },
	})
	peer := enroll(t, l, nil)
	c := await(t, conns)
	runOn(l, c.StopReading)
	if _, err := peer.Write([]byte("input")); err != nil {
		t.Fatal(err)
	}
	unread := func() (n int) {
		runOn(l, func() { n = c.Unread() })
		return n
	}
	for unread() < len("input") {
	}
	for range 100 { // each time the loop polls
		runOn(l, func() {})
	}
	if len(received) > 0 {
		t.Error("read although reading was stopped")
	}
	runOn(l, func() { _, _ = c.Write([]byte("output")) })
	if _, err := io.ReadFull(peer, make([]byte, len("output"))); err != nil {
		t.Error("not written while reading was stopped:", err)
	}
	runOn(l, c.ResumeReading)
	if n := await(t, received); n != len("input") {
		t.Errorf("%d bytes were read", n)
	}
}

// TestEndWhileReadingIsStopped guards against a connection that stays open for good, or keeps the loop busy, as its peer ends it
// while nothing is read.
func TestEndWhileReadingIsStopped(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"end of stream": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset":         func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			conns, closed := make(chan *Conn, 1), make(chan error, 2)
			l := startLoop(t, &testHandler{
				opened: func(c *Conn) ([]byte, bool) { conns <- c; return nil, true },
				closed: func(_ *Conn, err error) { closed <- err },
			})
			peer := enroll(t, l, nil)
			c := await(t, conns)
			runOn(l, c.StopReading)
			_, _ = peer.Write([]byte("unread"))
			end(peer.(*net.TCPConn))
			if err := await(t, closed); !errors.Is(err, io.EOF) {
				t.Errorf("closed with %v", err)
			}
			runOn(l, func() {
				if c.Fd() != -1 {
					t.Error("the descriptor is still open")
				}
			})
		})
	}
}

// TestTasksDoNotKeepTheLoopFromReading guards against tasks that post tasks, after which nothing is read any more.
func TestTasksDoNotKeepTheLoopFromReading(t *testing.T) {
	var read atomic.Bool
	l := startLoop(t, &testHandler{received: func(*Conn) { read.Store(true) }})
	peer := enroll(t, l, nil)
	tasks := make(chan int)
	runOn(l, func() {
		_, _ = peer.Write([]byte("input"))
		n := 0
		var task func()
		task = func() {
			if n++; read.Load() || n == 1000 {
				tasks <- n
				return
			}
			_ = l.Post(task)
		}
		_ = l.Post(task)
	})
	// Loopback delivers before the write returns: the poll before the second task finds it, if not the one before the first.
	if n := await(t, tasks); n > 2 {
		t.Errorf("%d tasks ran before the input was read", n)
	}
}

// TestOutputWaits guards against output that is lost or out of order when the kernel takes only a part of it.
func TestOutputWaits(t *testing.T) {
	conns := make(chan *Conn, 1)
	l := startLoop(t, &testHandler{opened: func(c *Conn) ([]byte, bool) { conns <- c; return nil, true }})
	peer := enroll(t, l, nil)
	c := await(t, conns)
	const pieces, pieceSize = 500, 40_000
	var want []byte
	waiting := 0
	runOn(l, func() {
		for i := range pieces {
			piece := bytes.Repeat([]byte{byte(i)}, pieceSize)
			want = append(want, piece...)
			if _, err := c.Write(piece); err != nil {
				t.Error(err)
			}
		}
		waiting = c.OutboundBuffered()
	})
	if waiting == 0 {
		t.Fatal("the kernel took all of it")
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(peer, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("received something else, %v", err)
	}
	runOn(l, func() {
		if c.OutboundBuffered() != 0 {
			t.Error("output still waits")
		}
	})
}

// TestFailedWriteCloses guards against a failed write that is reported late or twice, and against use of a closed descriptor,
// whose number another connection may have by then.
func TestFailedWriteCloses(t *testing.T) {
	conns, closed := make(chan *Conn, 1), make(chan error, 2)
	l := startLoop(t, &testHandler{
		opened: func(c *Conn) ([]byte, bool) { conns <- c; return nil, true },
		closed: func(_ *Conn, err error) { closed <- err },
	})
	_ = enroll(t, l, nil)
	c := await(t, conns)
	runOn(l, func() {
		_ = unix.Shutdown(c.Fd(), unix.SHUT_WR)
		if _, err := c.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
			t.Errorf("write: %v", err)
		}
		if len(closed) != 1 {
			t.Error("not closed when the write returned")
		}
		if _, err := c.Writev([][]byte{[]byte("x")}); !errors.Is(err, net.ErrClosed) {
			t.Errorf("write after the end: %v", err)
		}
		c.Close()
		c.StopReading()
		c.ResumeReading()
		if c.Discard(-1); c.Fd() != -1 || c.Unread() != 0 {
			t.Error("the descriptor is still used")
		}
	})
	if err := await(t, closed); !errors.Is(err, syscall.EPIPE) || len(closed) > 0 {
		t.Errorf("closed with %v, %d times more", err, len(closed))
	}
}

// TestRejectedConnection guards against a connection that stays open although its handler refused it.
func TestRejectedConnection(t *testing.T) {
	l := startLoop(t, &testHandler{opened: func(*Conn) ([]byte, bool) { return []byte("no"), false }})
	got, err := io.ReadAll(enroll(t, l, nil))
	if err != nil || string(got) != "no" {
		t.Errorf("read %q, %v", got, err)
	}
}

// TestEndOfLoop guards against connections that outlive their loop, and against posts that block or panic after it.
func TestEndOfLoop(t *testing.T) {
	closed := make(chan error, 1)
	l, err := New(&testHandler{closed: func(_ *Conn, err error) { closed <- err }}, testReadSize)
	if err != nil {
		t.Fatal(err)
	}
	ran := make(chan error)
	go func() { ran <- l.Run() }()
	peer := enroll(t, l, nil)
	_ = l.Post(l.Stop)
	if err := await(t, ran); err != nil {
		t.Error(err)
	}
	if err := await(t, closed); err != nil {
		t.Errorf("closed with %v", err)
	}
	if n, err := peer.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("the peer read %d bytes, %v", n, err)
	}
	local, _ := connPair(t)
	if err := l.Enroll(local, nil); !errors.Is(err, net.ErrClosed) {
		t.Errorf("enroll after the end: %v", err)
	}
	if err := l.Post(func() {}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("post after the end: %v", err)
	}
}
