package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// closeGrace is how long after the close of its client an attempt may begin, and 50 ms more on sockets.
const closeGrace = 150 * time.Millisecond

// TestNothingIsSentOnOfAClientThatLeftMuchUnread guards against requests that are sent to members after their client has closed
// its connection, as they were read from what it had sent ahead.
func TestNothingIsSentOnOfAClientThatLeftMuchUnread(t *testing.T) {
	m := newMember("m", "read-write")
	w := startGateway(256, m)
	defer w.stop()
	steady := w.connect()
	execute(steady, txnSQL("once", ""))
	for range 5 {
		c, err := net.Dial("tcp4", w.address)
		must(err)
		ahead := startupMessage
		for range 5000 {
			ahead += queryMessage(txnSQL("once", ""))
		}
		sent := make(chan bool)
		go func() {
			_, _ = io.WriteString(c, ahead)
			close(sent)
		}()
		await(m.queries)
		must(c.Close())
		<-sent
		<-time.After(closeGrace)
		m.countStatements()
		if got := execute(steady, txnSQL("once", "")); got != "committed by m" {
			t.Fatal(got)
		}
		<-time.After(closeGrace)
		if n := m.countStatements(); n != 1 {
			t.Errorf("%d requests of a client that has left were sent", n-1)
		}
	}
}

// An id that comes again after its client has left does not run a second time if it may have run: the write is rolled back.
// The gateway used to send it again as soon as the first attempt had been given up.
func Example_idAgainAfterItsClientLeft() {
	m := newMember("m", "read-write", "silent", "silent")
	w := startGateway(256, m)
	defer w.stop()
	for _, class := range []string{"once", "any"} {
		sql := txnSQL(class, "")
		c, _ := w.dialSession()
		_, err := io.WriteString(c, queryMessage(sql))
		must(err)
		await(m.queries)
		must(c.Close())
		await(m.closed) // the attempt was given up
		again := w.connect()
		got := execute(again, sql)
		for strings.Contains(got, "id belongs to an open txn") {
			got = execute(again, sql)
		}
		fmt.Println(got, m.countStatements())
	}
	// Output:
	// 40000 rolled back, it may have had its effect 0
	// committed by m 1
}
