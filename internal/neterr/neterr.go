// Package neterr tells what errors of system calls say of this machine and of others, and paces what is tried again.
package neterr

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrNotRegistered is that the kernel did not take a connection into the loop's epoll set.
var ErrNotRegistered = errors.New("the event loop could not register the connection")

// localErrors are errors of socket, bind, connect, dup, epoll_ctl, open and read that tell of this machine alone: it lacks
// descriptors, memory, ports or a route, its disk fails, or it forbids the call. They may pass at any moment.
var localErrors = []error{
	ErrNotRegistered,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
	syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EPERM, syscall.EACCES,
	syscall.EINTR, syscall.EIO,
}

// IsLocal tells whether an error says nothing of the other side of a connection.
func IsLocal(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// IsReply tells whether an error of connect is the other side's own word.
func IsReply(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// Label is an error's label in metrics: the name of its number where it has one.
func Label(err error) string {
	var number syscall.Errno
	var timeout net.Error
	switch {
	case errors.As(err, &number):
		return unix.ErrnoName(number)
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	case errors.Is(err, ErrNotRegistered):
		return "not registered"
	}
	return "other"
}

// Pauses between attempts of a system call that fails for want of something of this machine.
const (
	leastPause = time.Millisecond
	mostPause  = 20 * time.Millisecond // short, as clients and requests wait meanwhile
)

// Backoff paces attempts: the pause doubles with each failure in a row.
type Backoff struct{ pause time.Duration }

// Next is the pause before the next attempt.
func (b *Backoff) Next() time.Duration {
	b.pause = min(max(2*b.pause, leastPause), mostPause)
	return b.pause
}

// Reset begins anew, behind an attempt that did not fail.
func (b *Backoff) Reset() { b.pause = 0 }

// Retry calls a function again while it fails for want of something of this machine, until the patience is over. What
// is forbidden stays so.
func Retry(patience time.Duration, call func() error) error {
	began := time.Now()
	var pause Backoff
	for {
		err := call()
		forbidden := errors.Is(err, syscall.EPERM) || errors.Is(err, syscall.EACCES)
		if err == nil || forbidden || !IsLocal(err) || time.Since(began) > patience {
			return err
		}
		time.Sleep(pause.Next())
	}
}
