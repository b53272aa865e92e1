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

// Network opens a gateway's sockets. Embedders and tests may wrap or replace the operating system's.
type Network interface {
	// Listen opens a listener for clients.
	Listen(address netip.AddrPort) (net.Listener, error)
	// Dial connects within the timeout. The connection must be a *net.TCPConn.
	Dial(address string, timeout time.Duration) (net.Conn, error)
}

// SystemNetwork uses the operating system's sockets.
type SystemNetwork struct{}

// Listen opens a listener with SO_REUSEPORT, as a previous process of the gateway may still listen until it has ended.
func (SystemNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: reusePort}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp4", address.String())
}

// reusePort sets SO_REUSEPORT on a socket.
func reusePort(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	err := socket.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, optionErr)
}

// Dial connects within the timeout.
func (SystemNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.Dial("tcp4", address)
}

// startTimeout is how long a start retries while the machine lacks a resource for a moment.
const startTimeout = 5 * time.Second
