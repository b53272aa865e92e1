// Package eventloop reads and writes TCP connections on one goroutine, which also runs tasks that other goroutines post.
//
// Reading from a connection can be stopped, so that what its peer sends stays in the kernel until it is resumed. Tasks don't
// keep the loop from reading: between those that wait and those that they post it looks at the connections.
//
// loop.go has the loop, conn.go the connections, buffer.go their buffers.
package eventloop

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Handler is told what happens to connections. All its methods are called on the loop's goroutine.
type Handler interface {
	// Opened is called when a connection is registered. What it returns is sent; if keep is false, the connection is then closed.
	Opened(c *Conn) (out []byte, keep bool)
	// Received is called when data has arrived. What the handler does not discard is kept for the next call.
	Received(c *Conn)
	// Closed is called once when a connection ends, possibly within a write to it. err is nil if this side closed it, io.EOF if
	// the peer did, else the error of a read or a write. The descriptor is still open.
	Closed(c *Conn, err error)
}

const (
	minPollEvents = 128  // reported by one poll
	maxPollEvents = 4096 // the same, while polls are full
	wakeupEvents  = unix.EPOLLIN | unix.EPOLLET
)

// Loop is an event loop. Post and Enroll may be called from any goroutine, all else from the loop's own only.
type Loop struct {
	handler    Handler
	poller     int // descriptor of the epoll instance
	wakeup     int // descriptor of an eventfd, which reports that tasks wait
	readBuffer []byte
	buffers    bufferPool
	conns      []*Conn  // by descriptor
	spare      []func() // for tasks, reused
	stopped    bool
	ended      chan struct{} // closed when Run returns

	mu         sync.Mutex
	posted     []func()
	wakeupSent bool
	closed     bool
}

// New creates a loop that reads up to readSize bytes from a connection before the others have their turn.
func New(handler Handler, readSize int) (*Loop, error) {
	poller, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	wakeup, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		_ = unix.Close(poller)
		return nil, os.NewSyscallError("eventfd", err)
	}
	err = unix.EpollCtl(poller, unix.EPOLL_CTL_ADD, wakeup, &unix.EpollEvent{Fd: int32(wakeup), Events: wakeupEvents})
	if err != nil {
		_ = unix.Close(wakeup)
		_ = unix.Close(poller)
		return nil, os.NewSyscallError("epoll_ctl", err)
	}
	return &Loop{handler: handler, poller: poller, wakeup: wakeup, readBuffer: make([]byte, readSize), ended: make(chan struct{})}, nil
}

// Run runs the loop until Stop is called. Then it closes all connections.
func (l *Loop) Run() error {
	defer l.end()
	events := make([]unix.EpollEvent, minPollEvents)
	timeout := -1 // none
	for !l.stopped {
		n, err := unix.EpollWait(l.poller, events, timeout)
		switch {
		case err == unix.EINTR:
			continue
		case err != nil:
			return os.NewSyscallError("epoll_wait", err)
		case n == 0:
			timeout = -1
			runtime.Gosched()
			continue
		}
		timeout = 0 // more events are likely, and a poll that does not block is cheaper
		if l.handleEvents(events[:n]) {
			l.runTasks()
		}
		if n == len(events) && n < maxPollEvents {
			events = make([]unix.EpollEvent, 2*n)
		}
	}
	return nil
}

// handleEvents handles the events of one poll, and reports whether tasks wait.
func (l *Loop) handleEvents(events []unix.EpollEvent) (tasksWait bool) {
	for _, event := range events {
		if int(event.Fd) == l.wakeup {
			tasksWait = true
			continue
		}
		if c := l.conns[event.Fd]; c != nil && !l.stopped {
			c.handleEvents(event.Events)
		}
	}
	return tasksWait
}

// runTasks runs the tasks that wait. Those that they post follow after the next poll.
func (l *Loop) runTasks() {
	l.mu.Lock()
	tasks := l.posted
	l.posted, l.wakeupSent = l.spare[:0], false
	l.mu.Unlock()
	for i, task := range tasks {
		if l.stopped {
			return
		}
		task()
		tasks[i] = nil
	}
	l.spare = tasks
}

// Post has the loop run a task. It returns net.ErrClosed if the loop has ended; a task that it did not come to is dropped.
func (l *Loop) Post(task func()) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.posted = append(l.posted, task)
	if l.wakeupSent {
		return nil
	}
	l.wakeupSent = true
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	_, err := retryInterrupted(func() (int, error) { return unix.Write(l.wakeup, one[:]) })
	return err
}

// Enroll hands a TCP connection over to the loop and returns once it is open there. The loop has a duplicate of its descriptor;
// c is closed in any case. It must not be called from the loop's goroutine.
func (l *Loop) Enroll(c net.Conn, context any) error {
	defer c.Close()
	fd, err := duplicate(c)
	if err != nil {
		return err
	}
	conn := &Conn{loop: l, fd: fd, context: context, remote: c.RemoteAddr()}
	registered := make(chan error, 1)
	if err := l.Post(func() { registered <- l.register(conn) }); err != nil {
		_ = unix.Close(fd)
		return err
	}
	select {
	case err := <-registered:
		return err
	case <-l.ended:
	}
	select {
	case err := <-registered:
		return err
	default: // the loop did not come to it
		_ = unix.Close(fd)
		return net.ErrClosed
	}
}

// duplicate duplicates the descriptor of a connection.
func duplicate(c net.Conn) (fd int, err error) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return 0, net.UnknownNetworkError(c.LocalAddr().Network())
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var dupErr error
	err = control.Control(func(original uintptr) {
		fd, dupErr = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, 0)
	})
	if err == nil {
		err = os.NewSyscallError("dup", dupErr)
	}
	return fd, err
}

// register adds a connection to the poller and opens it.
func (l *Loop) register(c *Conn) error {
	c.events = unix.EPOLLIN
	event := unix.EpollEvent{Fd: int32(c.fd), Events: c.events}
	if err := unix.EpollCtl(l.poller, unix.EPOLL_CTL_ADD, c.fd, &event); err != nil {
		_ = unix.Close(c.fd)
		return os.NewSyscallError("epoll_ctl", err)
	}
	for len(l.conns) <= c.fd {
		l.conns = append(l.conns, nil)
	}
	l.conns[c.fd], c.open = c, true
	out, keep := l.handler.Opened(c)
	if len(out) > 0 && c.open {
		_, _ = c.Write(out)
	}
	if !keep {
		c.Close()
	}
	return nil
}

// Stop has Run return after the event or task that is being handled.
func (l *Loop) Stop() { l.stopped = true }

// Ended is closed when Run has returned.
func (l *Loop) Ended() <-chan struct{} { return l.ended }

// end closes the connections and releases the loop's descriptors.
func (l *Loop) end() {
	l.stopped = true
	for _, c := range l.conns {
		if c != nil {
			c.close(nil)
		}
	}
	l.mu.Lock()
	l.closed, l.posted = true, nil
	_ = unix.Close(l.wakeup)
	_ = unix.Close(l.poller)
	l.mu.Unlock()
	close(l.ended)
}

// errorOfRead is the error that ends a connection after a read of n bytes, nil if it goes on.
func errorOfRead(n int, err error) error {
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return nil
	case err != nil:
		return os.NewSyscallError("read", err)
	case n == 0:
		return io.EOF
	}
	return nil
}
