package gateway

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"magpieglade/internal/neterr"
)

// faultyNetwork is the system's network, whose dials fail with dialError while it is set.
type faultyNetwork struct {
	SystemNetwork
	dialError atomic.Pointer[syscall.Errno]
	failures  atomic.Int64
}

func (n *faultyNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	if number := n.dialError.Load(); number != nil {
		n.failures.Add(1)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: *number}
	}
	return n.SystemNetwork.Dial(address, timeout)
}

// logBuffer keeps log output. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestLocalDialErrorKeepsMemberHealthy guards against healthy members that are marked suspect, and requests that are
// rejected, because socket or connect fails on the local machine for a moment.
func TestLocalDialErrorKeepsMemberHealthy(t *testing.T) {
	t.Parallel()
	for _, number := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH, syscall.EAGAIN, syscall.EPERM, syscall.EINTR} {
		network, logged := new(faultyNetwork), new(logBuffer)
		d, m := newScriptedServer(t), newScriptedServer(t)
		g, ended, stop := startTestGatewayWith(t, func(c *Config) {
			c.Network, c.Log = network, slog.New(slog.NewTextHandler(logged, nil))
			c.Settings = json.RawMessage(strings.Replace(testSettings, `"probes":false`, `"probes":true`, 1))
		}, d, m.listEntry("m", "active"))
		served := m.serve("m", "read-only")
		network.dialError.Store(&number)
		c := connectClient(t, g)
		c.sendTxn("any", 9000)
		answer := make(chan string, 1)
		go func() { answer <- c.readResponse() }()
		for end := time.Now().Add(testTimeout); network.failures.Load() < 5 && len(answer) == 0 && time.Now().Before(end); {
			g.runOnLoop(func() {})
		}
		network.dialError.Store(nil)
		if got := <-answer; got != "served by m" || served.Load() != 1 {
			t.Errorf("%v: response to the request: %s", number, got)
		}
		if strings.Contains(logged.String(), "suspect") {
			t.Errorf("%v: the member was marked suspect", number)
		}
		var failures uint64
		g.runOnLoop(func() { failures = g.outcomes.snapshot().DialErrors[neterr.Label(number)] })
		if failures == 0 {
			t.Errorf("%v: the dial errors were not counted", number)
		}
		stop()
		<-ended
	}
}
