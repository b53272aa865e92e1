package standin

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Member is one database server of a group. It speaks version 3 of PostgreSQL's protocol, simple queries alone.
type Member struct {
	Name  string
	group *Group
	addr  string

	// Of the group's lock.
	primary bool
	lag     time.Duration // of what it applies behind its primary
	frozen  int64         // it applies nothing beyond this; 0 is no bound
	applied int64

	mu            sync.Mutex
	l             net.Listener // nil while it is down
	conns         map[net.Conn]bool
	resume        chan struct{} // closed once it goes on; nil while it runs
	draining      bool
	delay         time.Duration
	failRatio     float64 // share of queries
	failureDebt   float64
	cores         chan struct{}                    // one for each query that is served at a time; nil is no bound
	costOf        func(class string) time.Duration // of a core's time, for a query of a class
	dropResponses map[string]int                   // queries of a class that get no answer after their effect

	utilization atomic.Int64 // in thousandths
	queries     atomic.Int64
	busy        atomic.Int64
}

// NewMember starts a server at an address of its own.
func (g *Group) NewMember(name string, primary bool) *Member {
	m := &Member{Name: name, group: g, conns: map[net.Conn]bool{}, dropResponses: map[string]int{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	m.addr = l.Addr().String()
	g.mu.Lock()
	m.primary = primary
	g.members = append(g.members, m)
	g.mu.Unlock()
	m.serve(l)
	return m
}

// Address is where it listens.
func (m *Member) Address() string { return m.addr }

// Group is the one that it belongs to.
func (m *Member) Group() *Group { return m.group }

// Queries counts the queries that it got, probes too.
func (m *Member) Queries() int { return int(m.queries.Load()) }

// Busy is how many queries are under way.
func (m *Member) Busy() int { return int(m.busy.Load()) }

// Connections is how many are open.
func (m *Member) Connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

func (m *Member) serve(l net.Listener) {
	m.mu.Lock()
	m.l = l
	m.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[c] = true
			m.mu.Unlock()
			go m.session(c)
		}
	}()
}

// Lag sets how far it applies behind its primary.
func (m *Member) SetLag(by time.Duration) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.applied = m.group.position(m)
	m.lag = by
	m.group.changed.Broadcast()
}

// Freeze stops what it applies where that stands; Thaw goes on.
func (m *Member) Freeze() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.frozen = m.group.position(m)
}

// Thaw ends Freeze.
func (m *Member) Thaw() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.frozen = 0
	m.group.changed.Broadcast()
}

// Position is up to where it has applied all.
func (m *Member) Position() int64 {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.group.position(m)
}

// Hang makes it take queries and answer nothing, or go on with what it took.
func (m *Member) SetHung(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if on && m.resume == nil {
		m.resume = make(chan struct{})
	} else if !on && m.resume != nil {
		close(m.resume)
		m.resume = nil
	}
}

// Drain makes it turn new queries away, as a server that is being taken out does.
func (m *Member) SetDraining(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = on
}

// Delay sets how long a query takes.
func (m *Member) SetDelay(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = by
}

// Serve has it serve so many queries at a time, each for a time by its class; the others wait.
func (m *Member) SetCapacity(cores int, cost func(class string) time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cores, m.costOf = make(chan struct{}, cores), cost
}

// Fail has it answer this share of queries with an error and do nothing for them, evenly.
func (m *Member) SetFailRatio(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failRatio, m.failureDebt = share, 0
}

// fails tells whether the next query is one of those.
func (m *Member) shouldFail() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failureDebt += m.failRatio; m.failureDebt >= 1 {
		m.failureDebt--
		return true
	}
	return false
}

// Swallow has so many next queries of a txn type carried out without an answer: the connection breaks instead.
func (m *Member) DropResponses(class string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropResponses[class] = n
}

// Kill ends the process that it stands for: connections break, new ones are refused.
func (m *Member) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.l != nil {
		_ = m.l.Close()
		m.l = nil
	}
	for c := range m.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Start starts it again at its address.
func (m *Member) Start() error {
	l, err := net.Listen("tcp4", m.addr)
	if err == nil {
		m.serve(l)
	}
	return err
}

// Host is its entry in the list.
func (m *Member) ListEntry(health string) Host {
	return Host{Host: m.Name, Dial: m.addr, Site: "a", Class: "m", Block: m.group.ID, Health: health, Share: 1}
}

func (m *Member) session(c net.Conn) {
	defer func() {
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
		_ = c.Close()
	}()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if b.Flush() != nil {
		return
	}
	for {
		message, err := b.Receive()
		if err != nil {
			return
		}
		q, ok := message.(*pgproto3.Query)
		if !ok || !m.answer(b, q.String) {
			return
		}
	}
}

var (
	parameter = regexp.MustCompile(`([a-z]+)=([^,*\s]+)`)
	quoted    = regexp.MustCompile(`'([^']*)'`)
	statement = regexp.MustCompile(`^/\*(.*?)\*/\s*(\w+)`)
)

// answer answers one query; false ends the connection.
func (m *Member) answer(b *pgproto3.Backend, sql string) bool {
	m.queries.Add(1)
	m.busy.Add(1)
	defer m.busy.Add(-1)
	m.mu.Lock()
	hung, drain, delay, cores, cost := m.resume, m.draining, m.delay, m.cores, m.costOf
	m.mu.Unlock()
	if hung != nil {
		m.group.mu.Lock()
		m.group.record(Event{Member: m.Name, Kind: "hung"})
		m.group.mu.Unlock()
		<-hung
	}
	if sql == "SHOW stats" {
		m.group.mu.Lock()
		m.group.record(Event{Member: m.Name, Kind: "probe", Position: m.group.position(m)})
		m.group.mu.Unlock()
		return m.sendRow(b, []byte(m.stats()))
	}
	head := statement.FindStringSubmatch(sql)
	if head == nil {
		return m.sendError(b, "08P01", "unknown statement")
	}
	names := map[string]string{}
	for _, w := range parameter.FindAllStringSubmatch(head[1], -1) {
		names[w[1]] = w[2]
	}
	values := quoted.FindAllStringSubmatch(sql[len(head[0]):], -1)
	if len(values) == 0 || names["id"] == "" {
		return m.sendError(b, "08P01", "unknown statement")
	}
	code := values[0][1]
	if drain {
		m.group.mu.Lock()
		m.group.record(Event{Member: m.Name, Kind: "turned away", ID: names["id"], Code: code})
		m.group.mu.Unlock()
		return m.sendError(b, "53300", "draining")
	}
	if cores != nil {
		cores <- struct{}{}
		delay += cost(names["c"])
		defer func() { <-cores }()
	}
	time.Sleep(delay)
	if m.shouldFail() {
		return m.sendError(b, "XX000", "something went wrong")
	}
	if head[2] == "INSERT" {
		value := []byte{}
		if len(values) > 1 {
			value = []byte(values[1][1])
		}
		c, _, ok := m.group.write(m, names["id"], code, names["k"], value)
		if !ok {
			return m.sendError(b, "25006", "this is a replica")
		}
		if m.dropsResponse(names["c"]) {
			return false
		}
		m.sendStatus(b, c.position)
		return m.sendRow(b, c.value)
	}
	if after, err := strconv.ParseFloat(names["after"], 64); err == nil && !m.waitForPosition(after) {
		m.group.mu.Lock()
		m.group.record(Event{Member: m.Name, Kind: "behind", ID: names["id"], Code: code, Position: m.group.position(m)})
		m.group.mu.Unlock()
		m.sendStatus(b, 0)
		return m.sendError(b, "72000", "too far behind")
	}
	ms, _ := strconv.Atoi(names["d"])
	value, position := m.group.read(m, names["id"], code, time.Duration(ms)*time.Millisecond)
	if m.dropsResponse(names["c"]) {
		return false
	}
	m.sendStatus(b, position)
	return m.sendRow(b, value)
}

func (m *Member) dropsResponse(class string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropResponses[class]--
	return m.dropResponses[class] >= 0
}

// reach waits until a read's position is reached, as long as the group says.
func (m *Member) waitForPosition(after float64) bool {
	g := m.group
	if g.ReplicaWait < 0 {
		return true
	}
	for end := time.Now().Add(g.ReplicaWait); ; time.Sleep(time.Millisecond) {
		if float64(m.Position()) >= after {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

func (m *Member) stats() string {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	role := 2
	if m.primary {
		role = 1
	}
	return fmt.Sprintf("x0=%d,x1=%d,util=%.3f", g.position(m), role, float64(m.utilization.Load())/1000)
}

// tell says which role it has and where it stands; 0 is where it stands now.
func (m *Member) sendStatus(b *pgproto3.Backend, position int64) {
	g := m.group
	g.mu.Lock()
	mode := "read-only"
	if m.primary {
		mode = "read-write"
	}
	if position == 0 {
		position = g.position(m)
	}
	g.mu.Unlock()
	b.Send(&pgproto3.ParameterStatus{Name: "mode", Value: mode})
	b.Send(&pgproto3.ParameterStatus{Name: "wal_time", Value: strconv.FormatInt(position, 10)})
	b.Send(&pgproto3.ParameterStatus{Name: "stats", Value: m.stats()})
}

func (m *Member) sendRow(b *pgproto3.Backend, value []byte) bool {
	b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("data"), DataTypeOID: 17, DataTypeSize: -1, Format: 1}}})
	b.Send(&pgproto3.DataRow{Values: [][]byte{append([]byte{}, value...)}})
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return b.Flush() == nil
}

func (m *Member) sendError(b *pgproto3.Backend, code, text string) bool {
	b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return b.Flush() == nil && !strings.HasPrefix(code, "08")
}
