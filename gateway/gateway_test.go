package gateway_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// These tests start the program and connect to it over loopback. Members and discovery are stand-ins written from the
// public specifications of the PostgreSQL protocol and HTTP; clients are pgx's pgconn or raw sockets.

var program string

func TestMain(m *testing.M) {
	if os.Getenv(clockRateVariable) != "" {
		runSkewedGateway()
	}
	dir, err := os.MkdirTemp("", "magpieglade")
	must(err)
	program = filepath.Join(dir, "magpieglade")
	out, err := exec.Command("go", "build", "-o", program, "magpieglade/cmd/magpieglade").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// eventTimeout is how long an event may take before the test fails; no test passes by waiting for it.
const eventTimeout = 20 * time.Second

func await[T any](events <-chan T) (e T) {
	select {
	case e = <-events:
		return e
	case <-time.After(eventTimeout):
		panic("timed out waiting for an event")
	}
}

const settings = `{"classes":[
 {"effect":"repeatable","promiseMs":300,"hardLimitMs":1000,"worth":1,"name":"any"},
 {"effect":"repeatable","promiseMs":300,"hardLimitMs":1000,"worth":2,"name":"session"},
 {"effect":"by_key","group":"cell","windowMs":800,"promiseMs":500,"hardLimitMs":2000,"worth":4,"name":"keyed"},
 {"effect":"once","promiseMs":500,"hardLimitMs":2000,"worth":4,"name":"once"}],
 "familyInfo":{"consistency":["eventual","causal","mutate","mutate"],"oldestDataMs":[0,0,0,0],"whenBehind":"await",
  "writeMarks":"brought","roleInList":"none","countedFromMs":146484879.702,"waitMs":20,"answersStamped":true},
 "fleetSize":2,"limits":{"cancelling":true,"maxAttempts":8,"mayDuplicate":false,"probes":true,"retryAfter":true,
  "connectTimeoutMs":250,"keepaliveMs":15000,"maxRetryAfterMs":1000},
 "loadReport":{"how":"answers","fields":["x0","x1","util"]},"locality":0,"membershipMode":"ask","parties":[],
 "rules":{"askWithinMs":10000,"coldFrom":0.2,"coldMs":10000,"drainGraceMs":250,"fallMultiple":2,"overloadForMs":1000},
 "machineTypes":["m"],"zones":["a"],"tickMs":5}`

// member is a stand-in for a database server that responds to each query with its own name.
type member struct {
	name, mode     string
	listener       net.Listener
	queries        chan string // queries received
	closed         chan string // connections closed by the gateway: the query that was running on each
	plan           *responsePlan
	unansweredText string       // queries that contain this text get no response
	lateTrailers   atomic.Int32 // responses whose trailing data was written unrealistically late because the machine is busy
}

// responsePlan is how the next connections or queries are handled, by any of the members that share it.
type responsePlan struct {
	mu    sync.Mutex
	steps []string
}

func newMember(name, mode string, steps ...string) *member {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	m := &member{name: name, mode: mode, listener: l, plan: &responsePlan{steps: steps},
		queries: make(chan string, 1e5), closed: make(chan string, 1000)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return m
}

// next takes the plan's first step if it is of the given kind; steps for connections are in capitals.
func (p *responsePlan) next(forConnection bool) (step string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.steps) > 0 && (strings.ToUpper(p.steps[0]) == p.steps[0]) == forConnection {
		step, p.steps = p.steps[0], p.steps[1:]
	}
	return step
}

func message(kind byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))) + body
}

func (m *member) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return
	}
	if _, err := r.Discard(int(binary.BigEndian.Uint32(size[:])) - 4); err != nil {
		return
	}
	if m.plan.next(true) == "FULL" {
		_, _ = io.WriteString(c, message('E', "SFATAL\x00C53300\x00Mfull\x00\x00"))
		return
	}
	_, _ = io.WriteString(c, message('R', "\x00\x00\x00\x00")+message('Z', "I"))
	for {
		kind, err := r.ReadByte()
		if err != nil {
			m.closed <- "an idle connection"
			return
		}
		_, _ = io.ReadFull(r, size[:])
		body := make([]byte, binary.BigEndian.Uint32(size[:])-4)
		if _, err := io.ReadFull(r, body); err != nil || kind != 'Q' {
			return
		}
		sql := string(body[:len(body)-1])
		m.queries <- sql
		status := message('S', "mode\x00"+m.mode+"\x00") +
			message('S', fmt.Sprintf("wal_time\x00%d\x00", time.Now().UnixMilli())) + message('Z', "I")
		row := message('T', "\x00\x01data\x00"+strings.Repeat("\x00", 18)) +
			message('D', "\x00\x01\x00\x00\x00"+string(rune(len(m.name)))+m.name)
		step := m.plan.next(false)
		malformed, isMalformed := map[string]string{
			"noise": "\x01no message", "reordered": row[30:] + row[:30], "badLength": strings.Replace(row, "\x00\x01\x00\x00\x00\x01", "\x00\x01\x00\x00\x00\x02", 1),
			"huge": row[:30] + "D\xb2\xd0\x5e\x00\x00\x01", "incomplete": row[:len(row)-1],
			"errorThenNoise": message('E', "SERROR\x00C53300\x00Mfull\x00\x00") + "noise", "badStatus": row + message('C', "SELECT 1\x00") + message('Z', "?"),
		}[step]
		stale := strings.Replace(row, m.name, "?", 1) + message('C', "SELECT 1\x00") + status
		switch {
		case isMalformed: // and the connection stays open
			_, _ = io.WriteString(c, malformed)
		case step == "slow":
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(c, row+message('C', "INSERT 0 1\x00")+status)
		case step == "badStats":
			_, _ = io.WriteString(c, row+message('C', "SELECT 1\x00")+message('S', "stats\x00x0=,x1=0;\x00")+status)
		case step == "long":
			value := "\x00\x01" + string(binary.BigEndian.AppendUint32(nil, 350000)) + strings.Repeat("v", 350000)
			_, _ = io.WriteString(c, row[:30]+message('D', value)+message('C', "SELECT 1\x00")+status)
		case step == "twice":
			_, _ = io.WriteString(c, row+message('C', "SELECT 1\x00")+status+stale)
		case step == "late":
			startedAt := time.Now()
			_, _ = io.WriteString(c, row+message('C', "SELECT 1\x00")+status)
			_, _ = io.WriteString(c, stale)
			if time.Since(startedAt) > time.Millisecond { // this process was suspended in between, for longer than a server's delay
				m.lateTrailers.Add(1)
			}
		case step == "truncated":
			_, _ = io.WriteString(c, row[:len(row)-1])
			return
		case step == "silent" || m.unansweredText != "" && strings.Contains(sql, m.unansweredText):
			_, _ = r.ReadByte()
			m.closed <- sql
			return
		case step == "twoRows":
			_, _ = io.WriteString(c, row+row[30:]+message('C', "SELECT 2\x00")+status)
		case step == "error":
			_, _ = io.WriteString(c, message('E', "SERROR\x00CXX000\x00Moops\x00\x00")+status)
		case step == "full":
			_, _ = io.WriteString(c, message('E', "SERROR\x00C53300\x00Mfull\x00\x00")+status)
		case strings.Contains(sql, "INSERT") && m.mode == "read-only":
			_, _ = io.WriteString(c, message('E', "SERROR\x00C25006\x00Mreplica\x00\x00")+status)
		default:
			_, _ = io.WriteString(c, row+message('C', "SELECT 1\x00")+status)
		}
	}
}

// countStatements counts the statements received so far without probes, which the gateway sends when the machine is busy.
func (m *member) countStatements() (n int) {
	for len(m.queries) > 0 {
		if strings.Contains(<-m.queries, "facts") {
			n++
		}
	}
	return n
}

// countWrites counts the writes received so far; the queries also include probes.
func (m *member) countWrites() (n int) {
	for len(m.queries) > 0 {
		if strings.Contains(<-m.queries, "INSERT") {
			n++
		}
	}
	return n
}

// discovery is a stand-in for the list service.
type discovery struct {
	listener    net.Listener
	mu          sync.Mutex
	seq         int
	hosts       []map[string]any
	changed     chan struct{}
	replacement string // the response sent instead of the list; "503" is sent as a status
	requests    chan url.Values
}

func newDiscovery() *discovery {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	d := &discovery{listener: l, changed: make(chan struct{}), requests: make(chan url.Values, 1000)}
	go func() { _ = http.Serve(l, d) }()
	return d
}

// update sets the replacement response and, if hosts are given, publishes them as a new list.
func (d *discovery) update(replacement string, hosts ...map[string]any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replacement = replacement
	if hosts != nil {
		d.seq++
		d.hosts = hosts
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

func (d *discovery) list(whole bool) map[string]any {
	return map[string]any{"seq": d.seq, "whole": whole, "hosts": d.hosts}
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	d.requests <- q
	d.mu.Lock()
	defer d.mu.Unlock()
	if wait := q.Get("wait_ms"); wait != "" && wait != "0" && q.Get("after") == fmt.Sprint(d.seq) {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		d.mu.Lock()
	}
	switch d.replacement {
	case "":
		_ = json.NewEncoder(w).Encode(d.list(true))
	case "503":
		w.WriteHeader(503)
	default:
		_, _ = io.WriteString(w, d.replacement)
	}
}

// listEntry returns the member's entry in discovery's list.
func (m *member) listEntry(health string) map[string]any {
	return map[string]any{"host": m.name, "dial": m.listener.Addr().String(), "site": "a", "class": "m", "block": 0,
		"health": health, "share": 1.0, "born_ms": 0}
}

// environment is a gateway process with its discovery, members and configuration.
type environment struct {
	discovery  *discovery
	members    []*member
	address    string
	process    *exec.Cmd
	exited     chan error
	logLines   chan string
	configPath string
}

// startGateway starts a gateway whose configuration holds the members as the last known list.
func startGateway(sockets int, members ...*member) *environment {
	return startGatewayWithDiscovery("", sockets, members...)
}

// startGatewayWithDiscovery starts a gateway while discovery sends the replacement instead of its list.
func startGatewayWithDiscovery(replacement string, sockets int, members ...*member) *environment {
	env := &environment{discovery: newDiscovery(), members: members, exited: make(chan error, 1), logLines: make(chan string, 10000)}
	env.discovery.replacement = replacement
	for _, m := range members {
		env.discovery.hosts = append(env.discovery.hosts, m.listEntry("active"))
	}
	// Nothing else in these tests uses this address, so a port that was free a moment ago still is.
	l, err := net.Listen("tcp4", "127.0.0.2:0")
	must(err)
	env.address = l.Addr().String()
	must(l.Close())
	dir := filepath.Dir(program)
	env.configPath = filepath.Join(dir, "config.json")
	env.writeConfig(env.discovery, sockets)
	env.process = exec.Command(program)
	env.process.Env = append(os.Environ(), "EDGE_CONFIG="+env.configPath, "EDGE_DISCOVERY="+env.discovery.listener.Addr().String())
	env.startProcess()
	env.awaitLog("listening")
	return env
}

// startProcess starts the process and collects its log lines.
func (env *environment) startProcess() {
	pipe, err := env.process.StderrPipe()
	must(err)
	must(env.process.Start())
	go func() {
		for s := bufio.NewScanner(pipe); s.Scan(); {
			env.logLines <- s.Text()
		}
		env.exited <- env.process.Wait()
	}()
}

// writeConfig writes the configuration file with the address of discovery and its current list.
func (env *environment) writeConfig(d *discovery, sockets int) {
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": env.address, "discovery": d.listener.Addr().String(),
		"seed": "1", "limits": map[string]any{"memory_mb": 192, "sockets": sockets}, "known": d.list(true),
		"settings": json.RawMessage(settings)})
	must(err)
	must(os.WriteFile(env.configPath, text, 0o600))
}

// awaitLog waits for a log line that contains the text.
func (env *environment) awaitLog(text string) {
	for line := ""; !strings.Contains(line, text); {
		line = await(env.logLines)
	}
}

func (env *environment) stop() {
	_ = env.process.Process.Kill()
	<-env.exited
	_ = env.discovery.listener.Close()
	for _, m := range env.members {
		_ = m.listener.Close()
	}
}

var lastID atomic.Uint64

// txnSQL returns the SQL of a txn with its comment, as clients write it.
func txnSQL(class string, attributes string) string {
	text := fmt.Sprintf("/* id=%016x,c=%s,d=900,cluster=0%s */ ", lastID.Add(1), class, attributes)
	if class == "keyed" || class == "once" {
		return text + `INSERT INTO facts (code, data) VALUES ('7f3a', '\x9f03') RETURNING data`
	}
	return text + "SELECT data FROM facts WHERE code = '7f3a'"
}

// connect opens a session with pgconn, which requests encryption first.
func (env *environment) connect() *pgconn.PgConn {
	c, err := pgconn.Connect(context.Background(), "postgres://portal@"+env.address+"/crm?sslmode=prefer")
	must(err)
	return c
}

// execute runs one query and returns which member's row came back, or the error code and message.
func execute(c *pgconn.PgConn, sql string) string {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	results, err := c.Exec(ctx, sql).ReadAll()
	var serverError *pgconn.PgError
	switch {
	case errors.As(err, &serverError):
		return serverError.Code + " " + serverError.Message
	case err != nil:
		return err.Error()
	case len(results) == 0 || len(results[0].Rows) == 0:
		return "empty"
	}
	return "committed by " + string(results[0].Rows[0][0])
}

// budgetAttribute matches a comment's d attribute, the remaining time in milliseconds.
var budgetAttribute = regexp.MustCompile(`,d=(\d+)`)

// A write reaches the primary, a read that must see it goes to a replica, and the statement is forwarded unchanged
// except for the remaining time.
func Example_writeAndRead() {
	p, r := newMember("p", "read-write"), newMember("r", "read-only")
	env := startGateway(256, p, r)
	defer env.stop()
	c := env.connect()
	fmt.Println(execute(c, ""))
	fmt.Println(execute(c, txnSQL("keyed", ",k=1")))
	for len(r.queries) > 0 {
		<-r.queries // the write, if it was tried here first
	}
	read := txnSQL("session", fmt.Sprintf(",after=%d", time.Now().UnixMilli()))
	fmt.Println(execute(c, read))
	forwarded := await(r.queries)
	for !strings.Contains(forwarded, "c=session") { // a probe came first
		forwarded = await(r.queries)
	}
	var d int
	_, err := fmt.Sscanf(budgetAttribute.FindString(forwarded), ",d=%d", &d)
	fmt.Println(budgetAttribute.ReplaceAllString(forwarded, ",d=900") == budgetAttribute.ReplaceAllString(read, ",d=900"), d > 0 && d <= 900, err)
	// Output:
	// empty
	// committed by p
	// committed by r
	// true true <nil>
}

// Truncated responses, responses of two rows, malformed ones and errors are discarded: a repeatable txn is retried, and
// no part of the bad response reaches the client. A once-only txn that may have run is reported as rolled back.
func Example_invalidResponses() {
	for _, step := range []string{"truncated", "twoRows", "full", "FULL", "noise", "reordered", "badLength", "huge", "incomplete", "badStatus", "badStats"} {
		m, other := newMember("m", "read-write", step), newMember("m", "read-only")
		other.plan = m.plan
		env := startGateway(256, m, other)
		fmt.Println(step, execute(env.connect(), txnSQL("any", "")))
		env.stop()
	}
	for _, step := range []string{"truncated", "twoRows", "error", "full", "errorThenNoise", "incomplete"} {
		m := newMember("m", "read-write", step)
		env := startGateway(256, m)
		fmt.Println(step, execute(env.connect(), txnSQL("once", "")), m.countWrites())
		env.stop()
	}
	// Output:
	// truncated committed by m
	// twoRows committed by m
	// full committed by m
	// FULL committed by m
	// noise committed by m
	// reordered committed by m
	// badLength committed by m
	// huge committed by m
	// incomplete committed by m
	// badStatus committed by m
	// badStats committed by m
	// truncated 40000 rolled back, it may have had its effect 1
	// twoRows 40000 rolled back, it may have had its effect 1
	// error 40000 rolled back, it may have had its effect 1
	// full committed by m 2
	// errorThenNoise 40000 rolled back, it may have had its effect 1
	// incomplete 40000 rolled back, it may have had its effect 1
}

// A valid response followed by trailing data is forwarded once, and the trailing data is never taken for another txn's
// response, whether it arrives with the response or shortly after it.
func Example_trailingData() {
	for _, step := range []string{"twice", "late"} {
		m := newMember("m", "read-write", slices.Repeat([]string{step}, 200)...)
		env := startGateway(256, m)
		c := env.connect()
		wrong := map[string]int{}
		for range 200 {
			if got := execute(c, txnSQL("any", "")); got != "committed by m" {
				wrong[got]++
			}
		}
		env.stop()
		if wrong["committed by ?"] <= int(m.lateTrailers.Load()) {
			delete(wrong, "committed by ?")
		}
		for got, n := range wrong {
			fmt.Println(step, got, n)
		}
	}
	// Output:
}

// Values longer than agreed, which members have been seen to send, are forwarded; a response whose announced size is
// huge is not.
func Example_longValue() {
	m := newMember("m", "read-write", "long", "huge")
	env := startGateway(256, m)
	defer env.stop()
	c := env.connect()
	fmt.Println(len(execute(c, txnSQL("any", ""))) - len("committed by "))
	fmt.Println(execute(c, txnSQL("any", "")))
	// Output:
	// 350000
	// committed by m
}

// A txn on a member that never responds ends at its deadline with an error, and the connection of the abandoned
// attempt is closed. The same happens when the client disconnects.
func Example_silentMember() {
	m := newMember("m", "read-write", "silent", "silent")
	env := startGateway(256, m)
	defer env.stop()
	at := time.Now()
	fmt.Println(execute(env.connect(), txnSQL("once", "")), time.Since(at) < 950*time.Millisecond)
	await(m.closed)
	c := env.connect()
	go execute(c, txnSQL("any", ""))
	await(m.queries)
	for q := await(m.queries); !strings.Contains(q, "c=any"); q = await(m.queries) {
	}
	must(c.Conn().Close())
	fmt.Println(strings.Contains(await(m.closed), "c=any")) // none was idle before
	// Output:
	// 40000 rolled back, it may have had its effect true
	// true
}

// A draining member gets no new txns, and its idle connections are closed.
func Example_drain() {
	a, b := newMember("a", "read-only"), newMember("b", "read-only")
	env := startGateway(256, a)
	defer env.stop()
	c := env.connect()
	fmt.Println(execute(c, txnSQL("any", "")))
	env.awaitLog("list followed")
	env.discovery.update("", a.listEntry("leaving"), b.listEntry("active"))
	fmt.Println(await(a.closed))
	for range 20 {
		if got := execute(c, txnSQL("any", "")); got != "committed by b" {
			fmt.Println(got)
		}
	}
	fmt.Println(len(a.queries), len(b.queries))
	// Output:
	// committed by a
	// an idle connection
	// 1 20
}

// After a reload with another discovery address, the gateway fetches the whole list there and then watches it, whatever
// EDGE_DISCOVERY says and whatever its sequence numbers are; an invalid file changes nothing.
func Example_reload() {
	a, b := newMember("a", "read-only"), newMember("b", "read-only")
	env := startGateway(256, a)
	defer env.stop()
	c := env.connect()
	fmt.Println(execute(c, txnSQL("any", "")))
	env.awaitLog("list followed")
	next := newDiscovery()
	next.seq = -7 // lower than any sequence number of the first discovery
	next.update("", b.listEntry("active"))
	for _, wrong := range []string{"{", `{"listen":"127.0.0.1:1"}`} {
		must(os.WriteFile(env.configPath, []byte(wrong), 0o600))
		must(env.process.Process.Signal(syscall.SIGHUP))
		env.awaitLog("not reloaded")
		fmt.Println(execute(c, txnSQL("any", "")))
	}
	env.writeConfig(next, 256)
	must(env.process.Process.Signal(syscall.SIGHUP))
	env.awaitLog("reloaded")
	fmt.Println(len(await(next.requests)), await(next.requests).Get("after")) // the whole list, then a watch
	fmt.Println(await(a.closed))                                              // since the new list lacks it
	fmt.Println(execute(c, txnSQL("any", "")))
	next.update("", a.listEntry("active"))
	await(next.requests)
	fmt.Println(await(b.closed))
	fmt.Println(execute(c, txnSQL("any", "")))
	// Output:
	// committed by a
	// committed by a
	// committed by a
	// 0 -6
	// an idle connection
	// committed by b
	// an idle connection
	// committed by a
}

// While discovery is unavailable the last known list is used; a response that is not a list changes nothing.
func Example_discoveryDown() {
	m := newMember("m", "read-write")
	env := startGatewayWithDiscovery("503", 256, m)
	defer env.stop()
	c := env.connect()
	for _, down := range []string{"503", `{"seq":1,"hosts":[`, "[]", `{"seq":"x"}`} {
		env.discovery.update(down, m.listEntry("active"))
		env.awaitLog("call to discovery failed")
		fmt.Println(execute(c, txnSQL("any", "")))
	}
	env.discovery.update("", m.listEntry("active"))
	env.awaitLog("list followed")
	fmt.Println(execute(c, txnSQL("any", "")))
	// Output:
	// committed by m
	// committed by m
	// committed by m
	// committed by m
	// committed by m
}

// exchange sends the input in chunks and summarizes what comes back until the end of the connection.
func (env *environment) exchange(input string, chunkSize int) string {
	c, err := net.Dial("tcp4", env.address)
	must(err)
	defer c.Close()
	must(c.SetDeadline(time.Now().Add(eventTimeout)))
	for chunk := range slices.Chunk([]byte(input), chunkSize) {
		if _, err := c.Write(chunk); err != nil {
			break
		}
	}
	return summarizeResponses(bufio.NewReader(c), 99)
}

// summarizeResponses reads up to maxMessages messages and returns their types, with error codes and values; "." marks
// the end of the connection and "~" a truncated message.
func summarizeResponses(r *bufio.Reader, maxMessages int) (summary string) {
	for range maxMessages {
		kind, err := r.ReadByte()
		if err != nil {
			return summary + "."
		}
		if kind == 'N' && len(summary) == 0 {
			summary += "N"
			continue
		}
		var size [4]byte
		_, _ = io.ReadFull(r, size[:])
		body := make([]byte, binary.BigEndian.Uint32(size[:])-4)
		if _, err := io.ReadFull(r, body); err != nil {
			return summary + "~"
		}
		summary += string(kind)
		switch kind {
		case 'E':
			_, code, _ := strings.Cut(string(body), "\x00C")
			summary += "(" + code[:5] + ")"
		case 'D':
			summary += "(" + string(body[6:]) + ")"
		}
	}
	return summary
}

const startupMessage = "\x00\x00\x00\x16\x00\x03\x00\x00user\x00portal\x00\x00\x00"

func queryMessage(sql string) string { return message('Q', sql+"\x00") }

// Whatever clients send gets a well-formed response, in order, whether it arrives in one piece or byte by byte.
func Example_clients() {
	m := newMember("m", "read-write")
	env := startGateway(256, m)
	defer env.stop()
	terminate := message('X', "")
	for _, in := range []string{
		startupMessage + terminate,
		"\x00\x00\x00\x08\x04\xd2\x16\x2f" + startupMessage + terminate,
		startupMessage + queryMessage(" ;") + terminate,
		startupMessage + queryMessage("SELECT 1") + queryMessage("") + terminate,
		startupMessage + queryMessage("/* id=1,c=nothing,d=5,cluster=0 */") + terminate,
		startupMessage + queryMessage("/* id=1,c=keyed,d=5,cluster=0 */") + terminate,
		startupMessage + queryMessage("/* id=1,c=any,d=5,cluster=7 */") + terminate,
		startupMessage + message('P', "\x00SELECT\x00\x00\x00") + message('B', "") + message('S', "") + queryMessage("") + terminate,
		startupMessage + message('F', "") + message('?', "") + terminate,
		startupMessage + message('Q', "no end") + queryMessage(""),
		startupMessage + "Q\x7f\x00\x00\x00",
		"\x00\x00\x00\x08\x00\x02\x00\x00",
		"GET / HTTP/1.1\r\n\r\n",
		"\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x01",
	} {
		whole := env.exchange(in, len(in))
		fmt.Println(strings.Replace(whole, "RSSSSSKZ", "hello ", 1), whole == env.exchange(in, 1))
	}
	c, err := net.Dial("tcp4", env.address)
	must(err)
	defer c.Close()
	first := txnSQL("any", "")
	_, err = io.WriteString(c, startupMessage+queryMessage(first)+queryMessage("")+queryMessage(txnSQL("any", ""))+queryMessage(txnSQL("once", "")))
	must(err)
	fmt.Println(summarizeResponses(bufio.NewReader(c), 8+4+2+4+4))
	// Output:
	// hello . true
	// Nhello . true
	// hello IZ. true
	// hello E(42601)ZIZ. true
	// hello E(42601)Z. true
	// hello E(42601)Z. true
	// hello E(42601)Z. true
	// hello E(0A000)ZIZ. true
	// hello E(0A000)ZE(08P01). true
	// hello E(08P01). true
	// hello E(08P01). true
	// E(08P01). true
	// E(08P01). true
	// . true
	// RSSSSSKZTD(m)CZIZTD(m)CZTD(m)CZ
}

// While a txn is open, another with the same id gets an error, and the first continues.
func Example_sameID() {
	m := newMember("m", "read-write", "silent")
	env := startGateway(256, m)
	defer env.stop()
	text := txnSQL("once", "")
	got := make(chan string)
	go func() { got <- execute(env.connect(), text) }()
	await(m.queries)
	fmt.Println(execute(env.connect(), text))
	fmt.Println(await(got))
	// Output:
	// 42601 id belongs to an open txn
	// 40000 rolled back, it may have had its effect
}

// A client that pipelines far more than it may hold in the memory, and does not read: while its write is open nothing more is read
// from it, and others are served. Then each of its commands has its own answer, the open write that it may have had its effect, and
// the connection stays.
func Example_clientOverMemoryLimit() {
	const reads = 20_000
	m := newMember("m", "read-write")
	m.unansweredText = "INSERT"
	env := startGateway(256, m, newMember("r", "read-only"))
	defer env.stop()
	var pipelined strings.Builder
	pipelined.WriteString(queryMessage(txnSQL("once", "")))
	for range reads { // together more than a sixteenth of the memory limit
		pipelined.WriteString(queryMessage(txnSQL("any", "") + strings.Repeat(" ", 700)))
	}
	c, r := env.dialSession()
	defer c.Close()
	go func() { _, _ = io.WriteString(c, pipelined.String()) }()
	await(m.queries)
	got, _, _ := strings.Cut(execute(env.connect(), txnSQL("any", "")), " by ")
	fmt.Println(got)
	fmt.Println(summarizeResponses(r, 2))
	served := regexp.MustCompile(`^TD\([mr]\)CZ$`) // by either member
	answers := 0
	for range reads {
		answer := ""
		for !strings.HasSuffix(answer, "Z") && !strings.HasSuffix(answer, ".") {
			answer += summarizeResponses(r, 1)
		}
		if served.MatchString(answer) || answer == "E(53300)Z" {
			answers++
		}
	}
	fmt.Println(answers, "answers")
	_, _ = io.WriteString(c, queryMessage(txnSQL("any", "")))
	fmt.Println(served.MatchString(summarizeResponses(r, 4)), env.peakMemory() < 96<<20)
	// Output:
	// committed
	// E(40000)Z
	// 20000 answers
	// true true
}

// After SIGTERM, open txns are completed, txns that still arrive are served, and the program exits with status 0.
func Example_shutdown() {
	m := newMember("m", "read-write", "silent")
	env := startGateway(256, m)
	defer env.stop()
	idle, busy, steady := env.connect(), env.connect(), env.connect()
	once, any := txnSQL("once", ""), txnSQL("any", "")
	answered := map[string]bool{txnID(once): true, txnID(any): true}
	got, disconnected := make(chan string), make(chan bool)
	go func() { got <- execute(busy, once) }()
	await(m.queries)
	must(env.process.Process.Signal(syscall.SIGTERM))
	env.awaitLog("leaving")
	fmt.Println(execute(env.connect(), any))
	go func() { // sends queries until it is disconnected
		for !steady.IsClosed() {
			sql := txnSQL("any", "")
			execute(steady, sql)
			answered[txnID(sql)] = !steady.IsClosed()
		}
		close(disconnected)
	}()
	fmt.Println(await(got))
	err := await(env.exited)
	fmt.Println(err, execute(idle, "") != "empty")
	await(disconnected)
	unanswered := 0
	for len(m.queries) > 0 {
		if id := txnID(<-m.queries); id != "" && !answered[id] {
			unanswered++
		}
	}
	fmt.Println(unanswered, "taken and not answered")
	env.exited <- err
	// Output:
	// committed by m
	// 40000 rolled back, it may have had its effect
	// <nil> true
	// 0 taken and not answered
}

// txnID returns the id in a statement's comment, empty if it has none.
func txnID(sql string) string {
	_, rest, _ := strings.Cut(sql, "id=")
	id, _, _ := strings.Cut(rest, ",")
	return id
}

// A client whose query crosses the close of its connection sends it again on a new connection, which the gateway must
// serve while it shuts down. When it rejected the query instead, the reset for the unread query discarded the error
// message as well, and the txn was lost.
func Example_queryDuringClose() {
	env := startGateway(256, newMember("m", "read-write"))
	defer env.stop()
	idle := env.connect()
	fmt.Println(execute(idle, txnSQL("any", "")))
	must(env.process.Process.Signal(syscall.SIGTERM))
	_, err := idle.Conn().Read(make([]byte, 1))
	fmt.Println(errors.Is(err, io.EOF), execute(env.connect(), txnSQL("any", "")))
	err = await(env.exited)
	fmt.Println(err)
	env.exited <- err
	// Output:
	// committed by m
	// true committed by m
	// <nil>
}

// Descriptors are budgeted before they are opened: clients over the budget get an error, and connections to members
// still succeed.
func Example_descriptorBudget() {
	env := startGateway(100, newMember("m", "read-write", slices.Repeat([]string{"silent"}, 100)...))
	defer env.stop()
	outcomes := map[string]int{}
	var open []net.Conn
	openTxn := func() string { // sends a txn that stays open
		c, err := net.Dial("tcp4", env.address)
		must(err)
		open = append(open, c)
		must(c.SetDeadline(time.Now().Add(eventTimeout)))
		_, err = io.WriteString(c, startupMessage+queryMessage(strings.Replace(txnSQL("once", ""), "d=900", "d=30000", 1)))
		must(err)
		return summarizeResponses(bufio.NewReader(c), 8)
	}
	for range 50 {
		outcomes[openTxn()]++
	}
	served, rejected := outcomes["RSSSSSKZ"], outcomes["E(53300)."]
	fmt.Println(served+rejected, rejected > 0, served > 30) // connections to the member use some descriptors
	must(open[0].Close())
	pollUntil(func() bool { return openTxn() == "RSSSSSKZ" })
	// Output:
	// 50 true true
}

// When many clients stay connected after one query, the gateway soon closes idle ones, because the client pool in front
// may hold no more connections than that. They are closed sooner than a client that only connected, even if it connected
// before them.
func Example_idleClientsOverLimit() {
	env := startGateway(100, newMember("m", "read-write"))
	defer env.stop()
	closed := make(chan string, 100)
	watchClose := func(name string, c net.Conn) {
		must(c.SetDeadline(time.Now().Add(eventTimeout)))
		go func() {
			_, err := c.Read(make([]byte, 1))
			closed <- fmt.Sprint(name, " ", errors.Is(err, io.EOF))
		}()
	}
	silent, err := net.Dial("tcp4", env.address)
	must(err)
	watchClose("silent", silent)
	for range 30 {
		c := env.connect()
		if got := execute(c, txnSQL("any", "")); got != "committed by m" {
			fmt.Println(got)
		}
		watchClose("asked once", c.Conn())
	}
	fmt.Println(await(closed))
	// Output:
	// asked once true
}

// Clients that connect and send nothing, or never complete a message, are disconnected, and until then give way to
// others; so do idle clients after one query. Unread input does not keep the error message from arriving.
func Example_misbehavingClients() {
	m := newMember("m", "read-write")
	env := startGateway(100, m)
	defer env.stop()
	var silent []net.Conn
	for range 60 {
		c, err := net.Dial("tcp4", env.address)
		must(err)
		defer c.Close()
		must(c.SetDeadline(time.Now().Add(eventTimeout)))
		silent = append(silent, c)
	}
	pollUntil(func() bool {
		c, err := pgconn.Connect(context.Background(), "postgres://portal@"+env.address+"/crm?sslmode=disable")
		return err == nil && execute(c, txnSQL("any", "")) == "committed by m"
	})
	for _, c := range silent { // closed without any message
		if n, err := c.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			fmt.Println(n, err)
		}
	}
	for _, in := range []string{"\x00", startupMessage, startupMessage + "Q\x00\x00\x00\x50/*", startupMessage + message('?', "") + strings.Repeat("x", 1e5),
		startupMessage + strings.Repeat(queryMessage("x"), 100)} {
		fmt.Println(strings.Replace(env.exchange(in, len(in)), "RSSSSSKZ", "hello ", 1))
	}
	var idle []*pgconn.PgConn // more than the connection limit, one after the other
	pollUntil(func() bool {
		c, err := pgconn.Connect(context.Background(), "postgres://portal@"+env.address+"/crm?sslmode=disable")
		if err == nil && execute(c, txnSQL("any", "")) == "committed by m" {
			idle = append(idle, c)
		}
		return len(idle) == 50
	})
	// Output:
	// E(08P01).
	// hello .
	// hello E(08P01).
	// hello E(08P01).
	// hello E(42601)ZE(42601)ZE(42601)ZE(42601)ZE(42601)ZE(42601)ZE(42601)ZE(42601).
}

// pollUntil calls done every 10 ms until it returns true.
func pollUntil(done func() bool) {
	for end := time.Now().Add(eventTimeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			panic("timed out waiting for a condition")
		}
	}
}

// A missing or invalid setting at startup ends the program with one line that names it.
func Example_configuration() {
	for _, text := range []string{"", "{", `{"listen":"x"}`, `{}`, `{"listen":"127.0.0.1:1"}`,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{"memory_mb":192,"sockets":256},
		"settings":{"limits":{"connectTimeoutMs":1,"keepaliveMs":1},"familyInfo":{}}}`} {
		config := filepath.Join(filepath.Dir(program), "wrong.json")
		must(os.WriteFile(config, []byte(text), 0o600))
		run := exec.Command(program)
		run.Env = []string{"EDGE_CONFIG=" + config}
		out, err := run.CombinedOutput()
		fmt.Print(err, " ", string(out))
	}
	// Output:
	// exit status 1 magpieglade: EDGE_CONFIG: unexpected end of JSON input
	// exit status 1 magpieglade: EDGE_CONFIG: unexpected end of JSON input
	// exit status 1 magpieglade: EDGE_CONFIG: not an ip:port
	// exit status 1 magpieglade: configuration: listen is lacking or out of range
	// exit status 1 magpieglade: configuration: discovery is lacking or out of range
	// exit status 1 magpieglade: configuration: settings: classes is lacking or out of range
}
