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

// What comes between two steps of an end, a hand-over or a wait, on real connections, each time in the order that harms.

// speak opens a connection without a library, past the startup messages.
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

// large words a write of a value of 64 KiB.
func largeWrite(class string) string {
	return strings.Replace(sql(class, ""), `\x9f03`, `\x`+strings.Repeat("9f", 64<<10), 1)
}

// Many commands that are sent at once are served one after the other, though together they are larger than any bound for one
// message. The gateway ended the connection with the ninth part of a megabyte, and all of them were lost.
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

// A client that cancels its query has gone from it: it has its answer at once, nothing more is sent for it, and the connection
// goes on. The gateway gave all the same key of zeros and passed every cancel over. A key that fits nobody cancels nothing.
func Example_cancel() {
	m := newMember("m", "read-write", slices.Repeat([]string{"silent"}, 2)...)
	w := start(256, m)
	defer w.stop()
	c, other := w.connect(), w.connect()
	got := make(chan string)
	go func() { got <- ask(c, sql("any", "")) }()
	await(m.open)
	must(other.CancelRequest(context.Background())) // it has asked nothing
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
	fmt.Println(await(m.shut) != "", m.statements()) // called off at its member too, and sent nowhere else
	m.plan.next(false)
	fmt.Println(ask(c, sql("any", "")))
	// Output:
	// "."
	// "."
	// 57014 cancelled by its client, it may have had its effect
	// true 0
	// committed by m
}

// At an end that was asked for, what is taken has its answer before a kill may come, however long its client would wait: the
// platform waits no longer than the longest time of a txn type, and its clients send as long as a connection is open.
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
	_, err = io.WriteString(c, long()) // behind the first: taken while the gateway ends
	must(err)
	fmt.Println(answers(r, 2), answers(r, 2))
	err = await(w.exited)
	fmt.Println(err)
	w.exited <- err
	// Output:
	// E(40000)Z E(53300)Z
	// <nil>
}

// A client that always has a command ahead of its answers is served for as long as it likes: each command's time runs from when
// it came, not from when the first of all came. Commands past the first second were declined unsent.
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

// A signal to reload that comes before the program can handle it neither ends it nor is lost with what it was about: the file is
// read once the program has its handler, and its discovery goes before that of the time when the process was started.
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
	// The shell sends it itself, at the last moment before the program is there.
	w.process = exec.Command("sh", "-c", strings.Replace(run, "exec bin/magpieglade", "kill -HUP $$; exec "+program, 1))
	w.process.Env = append(os.Environ(), "EDGE_CONFIG="+w.config, "EDGE_DISCOVERY="+w.d.l.Addr().String())
	w.run()
	fmt.Printf("after=%s\n", await(next.asked).Get("after"))
	// Output:
	// after=0
}

// Signals at once, in whatever order the kernel hands them over: a reload that is asked for twice with a broken file, an end, and
// a reload behind it. What was taken is answered, new queries are served for a moment, and the program ends with status 0.
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
		must(w.process.Process.Signal(syscall.SIGSTOP)) // they come while it stands still
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
