package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"magpieglade/gateway"
)

// envFaults makes this test program a gateway whose system calls fail by a seed.
const envFaults = "MAGPIEGLADE_SOAK_FAULTS"

func TestMain(m *testing.M) {
	if text := os.Getenv(envFaults); text != "" {
		if err := runGateway(text); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// serve is the program's command of this name, on a network that fails.
func runGateway(seedText string) error {
	seed, err := strconv.ParseUint(seedText, 10, 64)
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	c, err := gateway.FromEnvironment()
	if err != nil {
		return err
	}
	c.Network = newFailingNetwork(seed)
	g, err := gateway.New(c)
	if err != nil {
		return err
	}
	go func() {
		for range reload {
			if c, err := gateway.FromFile(); err != nil {
				fmt.Fprintln(os.Stderr, "not reloaded:", err)
			} else if err := g.Reload(c); err != nil {
				fmt.Fprintln(os.Stderr, "not reloaded:", err)
			}
		}
	}()
	return g.Run(ctx)
}

// failingNetwork is the operating system's, with spells in which accept or connect fail as Linux documents.
type failingNetwork struct {
	gateway.SystemNetwork
	acceptFaults, dialFaults *faultPeriods
}

func newFailingNetwork(seed uint64) *failingNetwork {
	return &failingNetwork{
		acceptFaults: newFaultPeriods(rand.New(rand.NewPCG(seed, 1)), syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
			syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EINTR, syscall.EPERM),
		dialFaults: newFaultPeriods(rand.New(rand.NewPCG(seed, 2)), syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL,
			syscall.ENETUNREACH, syscall.EINTR, syscall.EHOSTUNREACH, syscall.ETIMEDOUT),
	}
}

// Listen fails for a moment at first.
func (n *failingNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	if err := n.acceptFaults.firstError(); err != nil {
		return nil, err
	}
	l, err := n.SystemNetwork.Listen(address)
	if err != nil {
		return nil, err
	}
	return &failingListener{Listener: l, faults: n.acceptFaults}, nil
}

// Dial gives small buffers, so that writes are short.
func (n *failingNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	if err := n.dialFaults.currentError(); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	c, err := n.SystemNetwork.Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(writeBufferSize)
}

const writeBufferSize = 4 << 10 // bytes

type failingListener struct {
	net.Listener
	faults *faultPeriods
}

// Accept fails behind the kernel's, as a connection that is lost by it is no request that was read.
func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.faults.currentError(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(writeBufferSize)
}

// Lengths of spells: good ones up to, bad ones up to.
const (
	maxHealthyPeriod = 800 * time.Millisecond
	maxFaultPeriod   = 150 * time.Millisecond
)

// spells are times in which all calls of a kind fail with one error, and times between them.
type faultPeriods struct {
	mu      sync.Mutex
	random  *rand.Rand
	errors  []syscall.Errno
	until   time.Time
	failing bool
	err     syscall.Errno
	fired   bool
}

func newFaultPeriods(random *rand.Rand, errors ...syscall.Errno) *faultPeriods {
	return &faultPeriods{random: random, errors: errors, failing: true, until: time.Now()}
}

// now is what a call at this moment fails with, nil if it does not.
func (s *faultPeriods) currentError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !time.Now().Before(s.until) {
		s.failing = !s.failing
		maxPeriod := maxHealthyPeriod
		if s.failing {
			maxPeriod = maxFaultPeriod
			s.err = s.errors[s.random.IntN(len(s.errors))]
		}
		s.until = time.Now().Add(time.Duration(s.random.Int64N(int64(maxPeriod))))
	}
	if s.failing {
		return s.err
	}
	return nil
}

// once fails the first time that it is asked.
func (s *faultPeriods) firstError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fired {
		return nil
	}
	s.fired = true
	return syscall.ENOBUFS
}
