package gateway_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Events between two steps of a shutdown, a takeover or a wait, on real connections, each in the order that can do harm.

// dialSession opens a connection without a client library and completes the startup.
func (w *environment) dialSession() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp4", w.address)
	must(err)
	must(c.SetDeadline(time.Now().Add(eventTimeout)))
	_, err = io.WriteString(c, startupMessage)
	must(err)
	r := bufio.NewReader(c)
	summarizeResponses(r, 8)
	return c, r
}

// largeWrite returns a write statement with a value of 64 KiB.
func largeWrite(class string) string {
	return strings.Replace(txnSQL(class, ""), `\x9f03`, `\x`+strings.Repeat("9f", 64<<10), 1)
}

// Many pipelined commands are served one after the other, even if together they exceed the limit of one message. The gateway
// used to close the connection once more than twice that limit, 384 KiB, was unprocessed, and all of them were lost.
func Example_pipelineOfLargeWrites() {
	w := startGateway(256, newMember("m", "read-write"))
	defer w.stop()
	c, r := w.dialSession()
	defer c.Close()
	all := ""
	for range 6 {
		all += queryMessage(largeWrite("once"))
	}
	go func() { _, _ = io.WriteString(c, all) }()
	for range 6 {
		fmt.Println(summarizeResponses(r, 4))
	}
	// Output:
	// TD(m)CZ
	// TD(m)CZ
	// TD(m)CZ
	// TD(m)CZ
	// TD(m)CZ
	// TD(m)CZ
}

// A cancelled query is answered at once, nothing more is sent to members for it, and the connection stays usable. The gateway
// used to give every client the same all-zero key and to ignore cancel requests. A key that matches no client has no effect.
func Example_cancel() {
	m := newMember("m", "read-write", slices.Repeat([]string{"silent"}, 2)...)
	w := startGateway(256, m)
	defer w.stop()
	c, other := w.connect(), w.connect()
	got := make(chan string)
	go func() { got <- execute(c, txnSQL("any", "")) }()
	await(m.queries)
	must(other.CancelRequest(context.Background())) // this client has no open query
	for _, wrong := range []uint32{0, c.SecretKey() + 1} {
		key := binary.BigEndian.AppendUint32([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), c.PID())
		key = binary.BigEndian.AppendUint32(key, wrong)
		fmt.Printf("%q\n", w.exchange(string(key), len(key)))
	}
	select {
	case early := <-got:
		fmt.Println("cancelled by another:", early)
	default:
	}
	must(c.CancelRequest(context.Background()))
	fmt.Println(await(got))
	fmt.Println(await(m.closed) != "", m.countStatements()) // cancelled at its member too, and sent to no other
	m.plan.next(false)
	fmt.Println(execute(c, txnSQL("any", "")))
	// Output:
	// "."
	// "."
	// 57014 cancelled by its client, it may have had its effect
	// true 0
	// committed by m
}

// After SIGTERM, accepted requests are answered before the platform may kill the process, however long the client would
// wait: the platform waits no longer than the longest budget of a txn type, and clients send as long as a connection is open.
func Example_answeredBeforeKill() {
	m := newMember("m", "read-write", slices.Repeat([]string{"silent"}, 9)...)
	w := startGateway(256, m)
	defer w.stop()
	long := func() string { return queryMessage(strings.Replace(txnSQL("once", ""), "d=900", "d=30000", 1)) }
	c, r := w.dialSession()
	defer c.Close()
	_, err := io.WriteString(c, long())
	must(err)
	await(m.queries)
	must(w.process.Process.Signal(syscall.SIGTERM))
	w.awaitLog("leaving")
	_, err = io.WriteString(c, long()) // queued behind the first: accepted while the gateway shuts down
	must(err)
	fmt.Println(summarizeResponses(r, 2), summarizeResponses(r, 2))
	err = await(w.exited)
	fmt.Println(err)
	w.exited <- err
	// Output:
	// E(40000)Z E(53300)Z
	// <nil>
}

// A client that always pipelines one command ahead is served indefinitely: each command's budget runs from its own arrival,
// not from that of the first. Commands after the first second used to be rejected without being sent.
func Example_pipelineOneAhead() {
	m := newMember("m", "read-write", slices.Repeat([]string{"slow"}, 100)...)
	w := startGateway(256, m)
	defer w.stop()
	c, r := w.dialSession()
	defer c.Close()
	_, err := io.WriteString(c, queryMessage(txnSQL("once", ""))+queryMessage(txnSQL("once", "")))
	must(err)
	served := 0
	for range 9 {
		if summarizeResponses(r, 4) == "TD(m)CZ" {
			served++
		}
		_, err = io.WriteString(c, queryMessage(txnSQL("once", "")))
		must(err)
	}
	fmt.Println(served)
	// Output:
	// 9
}

// A reload signal that arrives before the program has installed its handler neither kills the process nor is lost: the file
// is read once the handler is installed, and its discovery takes precedence over the one given when the process started.
func Example_signalBeforeItsHandler() {
	text, err := os.ReadFile("../deploy/balancer.toml")
	must(err)
	_, run, _ := strings.Cut(string(text), "\nrun = \"")
	run, _, _ = strings.Cut(run, "\"")
	w := startGateway(256, newMember("m", "read-write"))
	defer w.stop()
	must(w.process.Process.Kill())
	<-w.exited
	next := newDiscovery()
	defer next.listener.Close()
	w.writeConfig(next, 256)
	// The shell sends the signal itself, immediately before it executes the program.
	w.process = exec.Command("sh", "-c", strings.Replace(run, "exec bin/magpieglade", "kill -HUP $$; exec "+program, 1))
	w.process.Env = append(os.Environ(), "EDGE_CONFIG="+w.configPath, "EDGE_DISCOVERY="+w.discovery.listener.Addr().String())
	w.startProcess()
	fmt.Printf("after=%s\n", await(next.requests).Get("after"))
	// Output:
	// after=0
}

// Simultaneous signals, in whatever order the kernel delivers them: two reloads with a broken file, a termination, and a
// reload after it. Accepted requests are answered, new queries are served for a moment, and the program exits with status 0.
func Example_signalsTogether() {
	for _, signals := range [][]syscall.Signal{
		{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP},
		{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		m := newMember("m", "read-write", "slow")
		w := startGateway(256, m)
		busy := w.connect()
		got := make(chan string)
		go func() { got <- execute(busy, txnSQL("once", "")) }()
		await(m.queries)
		must(os.WriteFile(w.configPath, []byte("{"), 0o600))
		must(w.process.Process.Signal(syscall.SIGSTOP)) // the signals arrive while the process is stopped
		for _, s := range signals {
			must(w.process.Process.Signal(s))
		}
		must(w.process.Process.Signal(syscall.SIGCONT))
		w.awaitLog("leaving")
		late := w.connect()
		fmt.Println(execute(late, txnSQL("any", "")), "/", await(got))
		err := await(w.exited)
		fmt.Println(err)
		w.exited <- err
		w.stop()
	}
	// Output:
	// committed by m / committed by m
	// <nil>
	// committed by m / committed by m
	// <nil>
	// committed by m / committed by m
	// <nil>
}
