package gateway_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	floodClients  = 6
	floodDuration = 700 * time.Millisecond
	// How long the other clients wait, as in the briefest class of the deployments, and 50 ms more on sockets.
	steadyWait = 361 * time.Millisecond
	socketTime = 50 * time.Millisecond
)

// flood is what a client sends at full speed: a preface on each new connection, then the next piece again and again.
type flood struct {
	name    string
	preface string
	next    func() string
	reads   bool // the client reads what the gateway sends
	once    bool // a piece is sent once per connection
}

func repeated(text string) func() string {
	piece := strings.Repeat(text, 1+16<<10/len(text))
	return func() string { return piece }
}

// floods are the messages that cost their sender least, sound or not.
func floods() []flood {
	newName := func() string { return fmt.Sprintf("n%x", rand.Uint64()) }
	several := func(one func() string) func() string {
		return func() (piece string) {
			for range 100 {
				piece += one()
			}
			return piece
		}
	}
	parse := message('P', "\x00SELECT 1\x00\x00\x00") + message('S', "")
	return []flood{
		{"empty statements", startupMessage, repeated(queryMessage("")), true, false},
		{"empty statements, answers unread", startupMessage, repeated(queryMessage("")), false, false},
		{"blank statements of 20 KB", startupMessage, repeated(queryMessage(strings.Repeat(" ", 20<<10))), true, false},
		{"asks for TLS", "", repeated("\x00\x00\x00\x08\x04\xd2\x16\x2f"), true, false},
		{"syncs", startupMessage, repeated(message('S', "")), true, false},
		{"extended protocol", startupMessage, repeated(parse), true, false},
		{"function calls", startupMessage, repeated(message('F', "")), true, false},
		{"statements without a comment", startupMessage, repeated(queryMessage("SELECT 1")), true, false},
		{"classes of ever new names", startupMessage, several(func() string { return queryMessage(txnSQL(newName(), "")) }), true, false},
		{"reads of ever new sessions with no time left", startupMessage, several(func() string {
			return queryMessage(strings.NewReplacer("d=900", "d=1", "7f3a", newName()).Replace(txnSQL("session", "")))
		}), true, false},
		{"reads at full speed", startupMessage, several(func() string { return queryMessage(txnSQL("any", "")) }), true, false},
		{"ever new users", "", func() string {
			body := "\x00\x03\x00\x00user\x00" + newName() + "\x00database\x00" + newName() + "\x00\x00"
			return string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body + queryMessage("") + message('X', "")
		}, true, true},
		{"cancel requests", "", func() string {
			return string(binary.BigEndian.AppendUint64([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), rand.Uint64()))
		}, true, true},
	}
}

// run sends the flood on one connection after another until stop is closed.
func (f *flood) run(address string, stop chan bool) {
	for {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			continue // none is free: the kernel refuses it
		}
		go func() {
			<-stop
			_ = c.Close()
		}()
		ended := make(chan bool)
		go func() {
			defer close(ended)
			if f.reads {
				_, _ = io.Copy(io.Discard, c)
			}
		}()
		_, err = io.WriteString(c, f.preface)
		for err == nil {
			_, err = io.WriteString(c, f.next())
			if f.once {
				<-ended
				break
			}
		}
		_ = c.Close()
		select {
		case <-stop:
			return
		default:
		}
	}
}

// peakMemory returns the most resident memory that the gateway's process has had, in bytes.
func (env *environment) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", env.process.Process.Pid))
	must(err)
	kb, err := strconv.Atoi(regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindStringSubmatch(string(status))[1])
	must(err)
	return kb << 10
}

// TestFloodsOfSmallMessages guards against answers that other clients get late or never while some clients send small or
// unsound messages at full speed: each read processed all that was there, a system call a message, in one turn of the loop.
func TestFloodsOfSmallMessages(t *testing.T) {
	for _, f := range floods() {
		t.Run(f.name, func(t *testing.T) {
			w := startGateway(256, newMember("m", "read-write"), newMember("r", "read-only"))
			defer w.stop()
			steady := w.connect()
			execute(steady, txnSQL("any", ""))
			stop := make(chan bool)
			var flooders sync.WaitGroup
			for range floodClients {
				flooders.Go(func() { f.run(w.address, stop) })
			}
			sent, refused, late, longest := 0, 0, 0, time.Duration(0)
			for end := time.Now().Add(floodDuration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				sql := strings.Replace(txnSQL([]string{"any", "once"}[sent%2], ""), "d=900", fmt.Sprintf("d=%d", steadyWait.Milliseconds()), 1)
				sentAt := time.Now()
				got := execute(steady, sql)
				took := time.Since(sentAt)
				longest = max(longest, took)
				sent++
				if !strings.HasPrefix(got, "committed") {
					refused++
				}
				if took > steadyWait+socketTime {
					late++
				}
			}
			close(stop)
			flooders.Wait()
			t.Logf("%d sent, %d not served, %d late, the longest %v, memory %d MB", sent, refused, late, longest, w.peakMemory()>>20)
			if late > 0 {
				t.Errorf("%d of %d answers came after the client's time", late, sent)
			}
			if sent < 20 || refused > sent/10 {
				t.Errorf("%d of %d requests were not served", refused, sent)
			}
			if w.peakMemory() > 192<<20 {
				t.Errorf("%d MB of memory", w.peakMemory()>>20)
			}
		})
	}
}
