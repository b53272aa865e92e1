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
func (w *world) dialSession() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp4", w.address)
	must(err)
	must(c.SetDeadline(time.Now().Add(soon)))
	_, err = io.WriteString(c, hello)
	must(err)
	r := bufio.NewReader(c)
	answers(r, 8)
	return c, r
}

// largeWrite returns a write statement with a value of 64 KiB.
func largeWrite(class string) string {
	return strings.Replace(sql(class, ""), `\x9f03`, `\x`+strings.Repeat("9f", 64<<10), 1)
}

// Many pipelined commands are served one after the other, even if together they exceed the limit of one message. The gateway
// used to close the connection at a ninth of a megabyte of input, and all of them were lost.
func Example_pipelineOfLargeWrites() {
	w := start(256, newMember("m", "read-write"))
	defer w.stop()
	c, r := w.dialSession()
	defer c.Close()
	all := ""
	for range 6 {
		all += query(largeWrite("once"))
	}
	go func() { _, _ = io.WriteString(c, all) }()
	for range 6 {
		fmt.Println(answers(r, 4))
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
	w := start(256, m)
	defer w.stop()
	c, other := w.connect(), w.connect()
	got := make(chan string)
	go func() { got <- ask(c, sql("any", "")) }()
	await(m.open)
	must(other.CancelRequest(context.Background())) // this client has no open query
	for _, wrong := range []uint32{0, c.SecretKey() + 1} {
		key := binary.BigEndian.AppendUint32([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), c.PID())
		key = binary.BigEndian.AppendUint32(key, wrong)
		fmt.Printf("%q\n", w.raw(string(key), len(key)))
	}
	select {
	case early := <-got:
		fmt.Println("cancelled by another:", early)
	default:
	}
	must(c.CancelRequest(context.Background()))
	fmt.Println(await(got))
	fmt.Println(await(m.shut) != "", m.statements()) // cancelled at its member too, and sent to no other
	m.plan.next(false)
	fmt.Println(ask(c, sql("any", "")))
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
	w := start(256, m)
	defer w.stop()
	long := func() string { return query(strings.Replace(sql("once", ""), "d=900", "d=30000", 1)) }
	c, r := w.dialSession()
	defer c.Close()
	_, err := io.WriteString(c, long())
	must(err)
	await(m.open)
	must(w.process.Process.Signal(syscall.SIGTERM))
	w.logged("leaving")
	_, err = io.WriteString(c, long()) // queued behind the first: accepted while the gateway shuts down
	must(err)
	fmt.Println(answers(r, 2), answers(r, 2))
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
	w := start(256, m)
	defer w.stop()
	c, r := w.dialSession()
	defer c.Close()
	_, err := io.WriteString(c, query(sql("once", ""))+query(sql("once", "")))
	must(err)
	served := 0
	for range 9 {
		if answers(r, 4) == "TD(m)CZ" {
			served++
		}
		_, err = io.WriteString(c, query(sql("once", "")))
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
	w := start(256, newMember("m", "read-write"))
	defer w.stop()
	must(w.process.Process.Kill())
	<-w.exited
	next := newDiscovery()
	defer next.l.Close()
	w.configure(next, 256)
	// The shell sends the signal itself, immediately before it executes the program.
	w.process = exec.Command("sh", "-c", strings.Replace(run, "exec bin/magpieglade", "kill -HUP $$; exec "+program, 1))
	w.process.Env = append(os.Environ(), "EDGE_CONFIG="+w.config, "EDGE_DISCOVERY="+w.d.l.Addr().String())
	w.run()
	fmt.Printf("after=%s\n", await(next.asked).Get("after"))
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
		w := start(256, m)
		busy := w.connect()
		got := make(chan string)
		go func() { got <- ask(busy, sql("once", "")) }()
		await(m.open)
		must(os.WriteFile(w.config, []byte("{"), 0o600))
		must(w.process.Process.Signal(syscall.SIGSTOP)) // the signals arrive while the process is stopped
		for _, s := range signals {
			must(w.process.Process.Signal(s))
		}
		must(w.process.Process.Signal(syscall.SIGCONT))
		w.logged("leaving")
		late := w.connect()
		fmt.Println(ask(late, sql("any", "")), "/", await(got))
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
