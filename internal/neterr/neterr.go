// Package neterr classifies errors of system calls by whether they come from this machine or from the peer, and retries
// calls that fail for local reasons.
package neterr

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// localErrors are errors of socket, bind, connect, dup, epoll_ctl, open and read whose cause is on this machine: it lacks
// descriptors, memory, ports or a route, its disk fails, or it forbids the call. They may pass at any moment.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
	syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EPERM, syscall.EACCES,
	syscall.EINTR, syscall.EIO,
}

// IsLocal reports whether an error has a cause on this machine and says nothing about the peer.
func IsLocal(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// IsRemote reports whether an error of connect was caused by a response of the peer.
func IsRemote(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// Label returns an error's label in metrics: the name of its errno if it has one.
func Label(err error) string {
	var errno syscall.Errno
	var netError net.Error
	switch {
	case errors.As(err, &errno):
		return unix.ErrnoName(errno)
	case errors.As(err, &netError) && netError.Timeout():
		return "timeout"
	}
	return "other"
}

// Delays between attempts of a system call that fails for lack of a local resource.
const (
	minBackoff = time.Millisecond
	maxBackoff = 20 * time.Millisecond // short, as clients and requests wait meanwhile
)

// Backoff computes the delays between attempts: they double with each consecutive failure.
type Backoff struct{ delay time.Duration }

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
	return b.delay
}

// Reset starts over after a successful attempt.
func (b *Backoff) Reset() { b.delay = 0 }

// Retry calls a function again while it fails with a local error, until the timeout has passed. Permission errors are
// not retried, as they do not pass by themselves.
func Retry(timeout time.Duration, call func() error) error {
	start := time.Now()
	var backoff Backoff
	for {
		err := call()
		forbidden := errors.Is(err, syscall.EPERM) || errors.Is(err, syscall.EACCES)
		if err == nil || forbidden || !IsLocal(err) || time.Since(start) > timeout {
			return err
		}
		time.Sleep(backoff.Next())
	}
}
