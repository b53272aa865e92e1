package gateway_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// startGatewayWithMemory starts a gateway with the given limits.
func startGatewayWithMemory(memoryMB, sockets int, members ...*member) *environment {
	env := startGateway(sockets, members...)
	must(env.process.Process.Kill())
	<-env.exited
	text, err := os.ReadFile(env.configPath)
	must(err)
	limited := strings.Replace(string(text), `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), 1)
	must(os.WriteFile(env.configPath, []byte(limited), 0o600))
	env.process = exec.Command(program)
	env.process.Env = append(os.Environ(), "EDGE_CONFIG="+env.configPath, "EDGE_DISCOVERY="+env.discovery.listener.Addr().String())
	env.startProcess()
	env.awaitLog("listening")
	return env
}

// anonymousMemory returns how much memory that no file backs the gateway's process has, in bytes.
func (env *environment) anonymousMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", env.process.Process.Pid))
	must(err)
	kb, err := strconv.Atoi(regexp.MustCompile(`RssAnon:\s+(\d+) kB`).FindStringSubmatch(string(status))[1])
	must(err)
	return kb << 10
}

// TestMemoryOfManyUnfinishedRequests guards against a process that passes its memory limit as hundreds of clients send requests
// that they do not finish: each was granted 32 KB whatever the limit, and buffers count as the memory that they take.
func TestMemoryOfManyUnfinishedRequests(t *testing.T) {
	const memoryMB, sockets, clients = 32, 1024, 600
	large := queryMessage(largeWrite("once"))
	manyFields := "\x00\x03\x00\x00" + strings.Repeat("a\x00b\x00", 2400)
	for _, test := range []struct {
		name string
		send func(c net.Conn)
	}{
		{"half of a large request", func(c net.Conn) { _, _ = io.WriteString(c, startupMessage+large[:len(large)/2]) }},
		{"all but the end of a large request", func(c net.Conn) { _, _ = io.WriteString(c, startupMessage+large[:len(large)-100]) }},
		{"a large request sent slowly", func(c net.Conn) {
			_, _ = io.WriteString(c, startupMessage)
			for i := 0; i+1000 < len(large); i += 1000 {
				if _, err := io.WriteString(c, large[i:i+1000]); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}},
		{"a startup message of many short fields", func(c net.Conn) {
			size := binary.BigEndian.AppendUint32(nil, uint32(len(manyFields)+100))
			_, _ = io.WriteString(c, string(size)+manyFields)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := startGatewayWithMemory(memoryMB, sockets, newMember("m", "read-write"), newMember("r", "read-only"))
			defer w.stop()
			steady := w.connect()
			execute(steady, txnSQL("any", "")) // or it may be closed as one that has sent no query, if connecting the others takes long
			for range clients {
				c, err := net.Dial("tcp4", w.address)
				if err != nil {
					continue // none is free: the kernel refuses it
				}
				defer c.Close()
				go test.send(c)
			}
			most, served, sent := 0, 0, 0
			for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				sent++
				if strings.HasPrefix(execute(steady, txnSQL("any", "")), "committed") {
					served++
				}
				most = max(most, w.anonymousMemory())
			}
			t.Logf("%d of %d served, %d MB", served, sent, most>>20)
			if most > memoryMB<<20 {
				t.Errorf("%d MB of memory, the limit is %d", most>>20, memoryMB)
			}
			if served < sent*9/10 {
				t.Errorf("%d of %d requests were served", served, sent)
			}
		})
	}
}
