package gateway_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestClientFlood floods the gateway with clients that send a request and reset, connect and close, send many requests and
// close, or never complete a message. Other clients must be served, and descriptors and memory must stay within their limits.
// The loop's longest turn is only logged, as it includes the other load of the machine.
func TestClientFlood(t *testing.T) {
	const sockets, clientsPerFlood = 256, 300
	w := startGateway(sockets, newMember("m", "read-write"), newMember("r", "read-only"))
	defer w.stop()
	steady := w.connect()
	flood := func(f func(c net.Conn)) {
		for range clientsPerFlood {
			c, err := net.Dial("tcp4", w.address)
			if err != nil {
				continue // none is free: the kernel refuses it
			}
			_ = c.SetDeadline(time.Now().Add(eventTimeout))
			f(c)
		}
	}
	var floods sync.WaitGroup
	for _, f := range []func(net.Conn){
		func(c net.Conn) { // sends a request and resets
			_, _ = io.WriteString(c, startupMessage+queryMessage(txnSQL("any", "")))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
		func(c net.Conn) { _ = c.Close() },
		func(c net.Conn) { // pipelines requests, reads nothing and closes
			_, _ = io.WriteString(c, startupMessage+strings.Repeat(queryMessage(txnSQL("any", "")), 50))
			_ = c.Close()
		},
		func(c net.Conn) { // a message that never ends; the gateway disconnects it after a while
			_, _ = io.WriteString(c, startupMessage+"Q\x00\x01\x00\x00half")
			t.Cleanup(func() { _ = c.Close() })
		},
	} {
		for range 4 {
			floods.Go(func() { flood(f) })
		}
	}
	flooded := make(chan bool)
	go func() { floods.Wait(); close(flooded) }()
	served := 0
	for over := false; !over; {
		select {
		case <-flooded:
			over = true
		default:
		}
		if got := execute(steady, txnSQL("any", "")); !strings.HasPrefix(got, "committed") {
			t.Fatalf("after %d served: %s", served, got)
		}
		served++
	}
	memory := regexp.MustCompile(`VmHWM:\s+(\d+) kB`)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.process.Process.Pid))
	must(err)
	if kb, _ := strconv.Atoi(memory.FindStringSubmatch(string(status))[1]); kb > 192<<10 {
		t.Errorf("%d kB of memory", kb)
	}
	must(w.process.Process.Signal(syscall.SIGTERM))
	line := ""
	for !strings.Contains(line, "ended") {
		line = await(w.logLines)
	}
	t.Logf("%d served beside %d clients of the flood; %s", served, 16*clientsPerFlood, line)
	_, peak, _ := strings.Cut(line, "most_descriptors=")
	peak, _, _ = strings.Cut(peak, " ")
	if n, err := strconv.Atoi(peak); err != nil || n > sockets {
		t.Errorf("%q descriptors", peak)
	}
	err = await(w.exited)
	if err != nil {
		t.Error(err)
	}
	w.exited <- err
}
