package gateway_test

import (
	"bufio"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// limitDescriptors sets the descriptor limit of the gateway's process. A limit below the open descriptors makes every new one
// fail with EMFILE. The returned function restores the previous limit.
func (w *environment) limitDescriptors(t *testing.T, limit uint64) (restore func()) {
	t.Helper()
	var previous unix.Rlimit
	pid := w.process.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &previous); err != nil {
		t.Fatal(err)
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: previous.Max}, nil); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &previous, nil); err != nil && !os.IsNotExist(err) {
			t.Error(err)
		}
	}
}

// dialUnaccepted connects without waiting for the gateway to accept the connection.
func (w *environment) dialUnaccepted(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", w.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	return c
}

// TestOpenRequestsSurviveFailedAccept guards against a failed accept that ends the process and with it all open requests.
func TestOpenRequestsSurviveFailedAccept(t *testing.T) {
	m := newMember("m", "read-write", "silent")
	w := startGateway(256, m)
	defer w.stop()
	open, asked := w.connect(), make(chan string, 1)
	steady := w.connect()
	go func() { asked <- execute(open, txnSQL("once", "")) }()
	await(m.queries)
	restore := w.limitDescriptors(t, 1)
	late := w.dialUnaccepted(t)
	if _, err := io.WriteString(late, startupMessage); err != nil {
		t.Fatal(err)
	}
	w.awaitLog("too many open files")
	if got := execute(steady, txnSQL("any", "")); got != "committed by m" && got[:5] != "53300" {
		t.Errorf("an open connection while accept fails: %s", got)
	}
	// Still while accept fails, but so late that the request has its time when the connection is accepted: that counts from here.
	if _, err := io.WriteString(late, queryMessage(txnSQL("any", ""))); err != nil {
		t.Fatal(err)
	}
	restore()
	if got := await(asked); got[:5] != "40000" {
		t.Errorf("the open request: %s", got)
	}
	if got := summarizeResponses(bufio.NewReader(late), 12); got != "RSSSSSKZTD(m)CZ" {
		t.Errorf("the client that connected while accept failed: %s", got)
	}
}
