package eventloop

import (
	"io"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// Conn is a connection of a loop. Its methods must be called on the loop's goroutine, except CloseSoon.
type Conn struct {
	loop           *Loop
	fd             int
	context        any
	remote         net.Addr
	events         uint32 // that the poller reports
	open           bool
	readingStopped bool
	recent         []byte // the latest input, in the loop's buffer while Received runs
	in             buffer // input from before
	out            buffer // output that the kernel has not taken
}

// Context returns what was given to Enroll.
func (c *Conn) Context() any { return c.context }

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// Fd returns the connection's descriptor, -1 once it is closed.
func (c *Conn) Fd() int { return c.fd }

// InboundBuffered returns how many bytes were received and not discarded.
func (c *Conn) InboundBuffered() int { return c.in.len() + len(c.recent) }

// OutboundBuffered returns how many bytes were written that the kernel has not taken.
func (c *Conn) OutboundBuffered() int { return c.out.len() }

// input returns the bytes that were received and not discarded.
func (c *Conn) input() []byte {
	if c.in.len() > 0 {
		return c.in.bytes()
	}
	return c.recent
}

// Peek returns the first n bytes of the input, or all of it if n is not positive, without consuming them. They are valid until
// the handler returns or the next Discard. If there are fewer, it returns io.ErrShortBuffer.
func (c *Conn) Peek(n int) ([]byte, error) {
	input := c.input()
	switch {
	case n > len(input):
		return nil, io.ErrShortBuffer
	case n <= 0:
		return input, nil
	}
	return input[:n], nil
}

// Discard removes the first n bytes of the input, or all of it if n is not positive or more than there is, and returns how many
// that were.
func (c *Conn) Discard(n int) (discarded int) {
	total := c.InboundBuffered()
	if n <= 0 || n > total {
		n = total
	}
	if c.in.len() > 0 {
		c.in.discard(&c.loop.buffers, n)
	} else {
		c.recent = c.recent[n:]
	}
	return n
}

// Write sends bytes, or keeps them until the kernel takes them. An error closes the connection before Write returns.
func (c *Conn) Write(p []byte) (int, error) {
	sent, err := c.send(len(p), func() (int, error) { return unix.Write(c.fd, p) })
	if err != nil {
		return 0, err
	}
	return len(p), c.keep(p[sent:])
}

// Writev sends the bytes of several slices like Write.
func (c *Conn) Writev(parts [][]byte) (total int, err error) {
	for _, part := range parts {
		total += len(part)
	}
	sent, err := c.send(total, func() (int, error) { return unix.Writev(c.fd, parts) })
	for _, part := range parts {
		if err != nil {
			return 0, err
		}
		err = c.keep(part[min(sent, len(part)):])
		sent -= min(sent, len(part))
	}
	return total, err
}

// send passes bytes to the kernel by a system call, unless earlier ones wait, and returns how many it took. An error closes the
// connection.
func (c *Conn) send(size int, write func() (int, error)) (sent int, err error) {
	switch {
	case !c.open:
		return 0, net.ErrClosed
	case c.out.len() > 0 || size == 0:
		return 0, nil
	}
	sent, err = retryInterrupted(write)
	if err != nil {
		c.close(err)
	}
	return sent, err
}

// keep adds bytes to those that wait for the kernel to take them.
func (c *Conn) keep(rest []byte) error {
	if len(rest) == 0 {
		return nil
	}
	c.out.append(&c.loop.buffers, rest)
	return c.watch()
}

// retryInterrupted writes and returns how many bytes the kernel took, 0 if it has no room.
func retryInterrupted(write func() (int, error)) (sent int, err error) {
	for {
		sent, err = write()
		switch err {
		case nil:
			return sent, nil
		case unix.EINTR:
		case unix.EAGAIN:
			return 0, nil
		default:
			return 0, os.NewSyscallError("write", err)
		}
	}
}

// DropOutput drops output that the kernel has not taken.
func (c *Conn) DropOutput() { c.out.release(&c.loop.buffers) }

// StopReading leaves what the peer sends in the kernel until ResumeReading. If the peer ends the connection meanwhile, it is
// closed without being read to its end.
func (c *Conn) StopReading() {
	c.readingStopped = true
	_ = c.watch()
}

// ReadingStopped reports whether StopReading was called, and ResumeReading not since.
func (c *Conn) ReadingStopped() bool { return c.readingStopped }

// Unread returns how many bytes have arrived that were not read, as far as the kernel tells.
func (c *Conn) Unread() int {
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// ResumeReading reverts StopReading.
func (c *Conn) ResumeReading() {
	c.readingStopped = false
	_ = c.watch()
}

// watch has the poller report what the connection waits for.
func (c *Conn) watch() error {
	events := uint32(unix.EPOLLIN)
	if c.readingStopped {
		events = unix.EPOLLRDHUP
	}
	if c.out.len() > 0 {
		events |= unix.EPOLLOUT
	}
	if !c.open || events == c.events {
		return nil
	}
	event := unix.EpollEvent{Fd: int32(c.fd), Events: events}
	if err := unix.EpollCtl(c.loop.poller, unix.EPOLL_CTL_MOD, c.fd, &event); err != nil {
		err = os.NewSyscallError("epoll_ctl", err)
		c.close(err)
		return err
	}
	c.events = events
	return nil
}

// handleEvents handles what the poller reported.
func (c *Conn) handleEvents(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		c.flush()
	}
	switch {
	case !c.open:
	case events&unix.EPOLLIN != 0:
		if !c.readingStopped {
			c.read()
		}
	case events&(unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) != 0:
		c.out.release(&c.loop.buffers)
		c.close(io.EOF)
	}
}

// read reads once and passes the input on.
func (c *Conn) read() {
	n, err := unix.Read(c.fd, c.loop.readBuffer)
	if err := errorOfRead(n, err); err != nil {
		c.close(err)
		return
	}
	if n <= 0 {
		return
	}
	if c.in.len() > 0 {
		c.in.append(&c.loop.buffers, c.loop.readBuffer[:n])
	} else {
		c.recent = c.loop.readBuffer[:n]
	}
	c.loop.handler.Received(c)
	if c.open && len(c.recent) > 0 {
		c.in.append(&c.loop.buffers, c.recent)
	}
	c.recent = nil
}

// flush passes output that waits to the kernel.
func (c *Conn) flush() {
	if c.out.len() == 0 {
		return
	}
	sent, err := retryInterrupted(func() (int, error) { return unix.Write(c.fd, c.out.bytes()) })
	if err != nil {
		c.close(err)
		return
	}
	c.out.discard(&c.loop.buffers, sent)
	_ = c.watch()
}

// Close closes the connection at once; Closed is called before it returns.
func (c *Conn) Close() { c.close(nil) }

// CloseSoon closes the connection in a task of the loop. It may be called from any goroutine.
func (c *Conn) CloseSoon() { _ = c.loop.Post(func() { c.close(nil) }) }

// close ends a connection. Output that waits is sent as far as the kernel takes it.
func (c *Conn) close(err error) {
	if !c.open {
		return
	}
	c.open = false
	c.loop.conns[c.fd] = nil
	c.loop.handler.Closed(c, err)
	if c.out.len() > 0 {
		_, _ = retryInterrupted(func() (int, error) { return unix.Write(c.fd, c.out.bytes()) })
	}
	c.in.release(&c.loop.buffers)
	c.out.release(&c.loop.buffers)
	c.recent = nil
	_ = unix.EpollCtl(c.loop.poller, unix.EPOLL_CTL_DEL, c.fd, nil)
	_ = unix.Close(c.fd)
	c.fd = -1
}
