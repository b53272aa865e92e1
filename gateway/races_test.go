package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// What comes between two steps of an end, a hand-over or a wait, on real connections, each time in the order that harms.

// speak opens a connection without a library, past the startup messages.
func (w *world) speak() (net.Conn, *bufio.Reader) {
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
func large(class string) string {
	return strings.Replace(sql(class, ""), `\x9f03`, `\x`+strings.Repeat("9f", 64<<10), 1)
}

// Many commands that are sent at once are served one after the other, though together they are larger than any bound for one
// message. The gateway ended the connection with the ninth part of a megabyte, and all of them were lost.
func Example_pipelineOfLargeWrites() {
	w := start(256, newMember("m", "read-write"))
	defer w.stop()
	c, r := w.speak()
	defer c.Close()
	all := ""
	for range 6 {
		all += query(large("once"))
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
