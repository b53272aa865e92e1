package gateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network opens a gateway's sockets. Embedders and tests may put another one before the operating system's.
type Network interface {
	// Listen takes an address for clients.
	Listen(address netip.AddrPort) (net.Listener, error)
	// Dial connects within a time. The connection has to be a *net.TCPConn.
	Dial(address string, timeout time.Duration) (net.Conn, error)
}

// SystemNetwork is the operating system's.
type SystemNetwork struct{}

// Listen takes an address; another process may listen there as well, as a former run does until it has ended.
func (SystemNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: reusePort}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp4", address.String())
}

func reusePort(_, _ string, socket syscall.RawConn) error {
	var failed error
	err := socket.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failed)
}

// Dial connects within a time.
func (SystemNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.Dial("tcp4", address)
}

// errNotRegistered is that the kernel did not take a connection into the loop's epoll set.
var errNotRegistered = errors.New("the event loop could not register the connection")

// localErrors are errors of socket, bind, connect, dup and epoll_ctl that tell of this machine alone: it lacks descriptors,
// memory, ports or a route, or forbids the call. They may pass at any moment.
var localErrors = []error{
	errNotRegistered,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
	syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EPERM, syscall.EACCES,
	syscall.EINTR,
}

// isLocal tells whether an error says nothing of the other side of a connection.
func isLocal(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// isReply tells whether an error of connect is the other side's own word.
func isReply(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// errorLabel is an error's label in metrics: the name of its number where it has one.
func errorLabel(err error) string {
	var number syscall.Errno
	var timeout net.Error
	switch {
	case errors.As(err, &number):
		return unix.ErrnoName(number)
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	case errors.Is(err, errNotRegistered):
		return "not registered"
	}
	return "other"
}

// Pauses between attempts of a system call that fails for want of something of this machine.
const (
	leastPause = time.Millisecond
	mostPause  = 20 * time.Millisecond // short, as clients and requests wait meanwhile
)

// backoff is the pause before the next attempt, which doubles with each failure in a row.
type backoff struct{ pause time.Duration }

func (b *backoff) next() time.Duration {
	b.pause = min(max(2*b.pause, leastPause), mostPause)
	return b.pause
}

func (b *backoff) reset() { b.pause = 0 }

// startPatience is how long a start waits for what the machine lacks for a moment.
const startPatience = 5 * time.Second

// retryLocal calls a function again while it fails for want of something of this machine, until the patience is over. What
// is forbidden stays so.
func retryLocal(patience time.Duration, call func() error) error {
	began := time.Now()
	var pause backoff
	for {
		err := call()
		forbidden := errors.Is(err, syscall.EPERM) || errors.Is(err, syscall.EACCES)
		if err == nil || forbidden || !isLocal(err) || time.Since(began) > patience {
			return err
		}
		time.Sleep(pause.next())
	}
}
