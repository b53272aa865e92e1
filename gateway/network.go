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
	var optionErr error
	err := socket.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, optionErr)
}

// Dial connects within a time.
func (SystemNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.Dial("tcp4", address)
}

// startPatience is how long a start waits for what the machine lacks for a moment.
const startTimeout = 5 * time.Second
