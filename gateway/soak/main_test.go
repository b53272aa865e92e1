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

// envFaults holds a seed and makes this test program run a gateway whose system calls fail at times drawn from it.
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

// runGateway does what the program's serve command does, on a failing network.
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

// failingNetwork is the operating system's network with periods in which accept or connect return errors that Linux
// documents for them.
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

// Listen fails on the first call.
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

// Dial sets small write buffers, so that short writes occur.
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

// Accept returns an injected error before it calls the kernel's accept: such a failure takes no connection from the
// backlog, and so loses no request that was read.
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

// Upper bounds of the random lengths of fault-free and faulty periods.
const (
	maxHealthyPeriod = 800 * time.Millisecond
	maxFaultPeriod   = 150 * time.Millisecond
)

// faultPeriods alternates between periods in which every call of a kind fails with one error and periods in which
// none fails.
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

// currentError returns the error of a call made now, nil in a fault-free period.
func (p *faultPeriods) currentError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !time.Now().Before(p.until) {
		p.failing = !p.failing
		maxPeriod := maxHealthyPeriod
		if p.failing {
			maxPeriod = maxFaultPeriod
			p.err = p.errors[p.random.IntN(len(p.errors))]
		}
		p.until = time.Now().Add(time.Duration(p.random.Int64N(int64(maxPeriod))))
	}
	if p.failing {
		return p.err
	}
	return nil
}

// firstError returns an error on the first call and nil afterwards.
func (p *faultPeriods) firstError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fired {
		return nil
	}
	p.fired = true
	return syscall.ENOBUFS
}
