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

// A flood of clients that ask and go, come and go, send much and go, or never end a message: whoever else asks is
// served, and descriptors and memory keep to their limits. The loop's longest turn is in the log of the test, as the machine's
// other work is in it.
func TestClientFlood(t *testing.T) {
	const sockets, clientsPerFlood = 256, 300
	w := start(sockets, newMember("m", "read-write"), newMember("r", "read-only"))
	defer w.stop()
	steady := w.connect()
	flood := func(f func(c net.Conn)) {
		for range clientsPerFlood {
			c, err := net.Dial("tcp4", w.address)
			if err != nil {
				continue // none is free: it is turned away by the kernel
			}
			_ = c.SetDeadline(time.Now().Add(soon))
			f(c)
		}
	}
	var floods sync.WaitGroup
	for _, f := range []func(net.Conn){
		func(c net.Conn) { // asks and resets
			_, _ = io.WriteString(c, hello+query(sql("any", "")))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
		func(c net.Conn) { _ = c.Close() },
		func(c net.Conn) { // sends much ahead, reads nothing and goes
			_, _ = io.WriteString(c, hello+strings.Repeat(query(sql("any", "")), 50))
			_ = c.Close()
		},
		func(c net.Conn) { // a message that never ends; it is sent away by and by
			_, _ = io.WriteString(c, hello+"Q\x00\x01\x00\x00half")
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
		if got := ask(steady, sql("any", "")); !strings.HasPrefix(got, "committed") {
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
		line = await(w.log)
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
