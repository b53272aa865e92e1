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

// Member is one database server of a group. It speaks version 3 of PostgreSQL's protocol, with simple queries
// only.
type Member struct {
	Name  string
	group *Group
	addr  string

	// Guarded by the group's lock.
	primary bool
	lag     time.Duration // replication lag behind the primary
	frozen  int64         // position at which replication is frozen; 0 if it is not
	applied int64

	mu            sync.Mutex
	l             net.Listener // nil while the server is down
	conns         map[net.Conn]bool
	resume        chan struct{} // closed when a hung server resumes; nil while it runs
	draining      bool
	delay         time.Duration
	failRatio     float64 // fraction of queries
	failureDebt   float64
	cores         chan struct{}                    // one slot per concurrent query; nil means unlimited
	costOf        func(class string) time.Duration // core time of a query by txn type
	dropResponses map[string]int                   // queries by txn type whose response is still to be dropped after they take effect

	utilization atomic.Int64 // in thousandths
	queries     atomic.Int64
	hanging     atomic.Int64
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

// Address returns the listening address.
func (m *Member) Address() string { return m.addr }

// Group returns the group that the member belongs to.
func (m *Member) Group() *Group { return m.group }

// Queries returns the number of queries received, including probes.
func (m *Member) Queries() int { return int(m.queries.Load()) }

// Hanging returns the number of queries that wait while the server hangs, without probes.
func (m *Member) Hanging() int { return int(m.hanging.Load()) }

// Connections returns the number of open connections.
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

// SetLag sets the replication lag behind the primary.
func (m *Member) SetLag(by time.Duration) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.applied = m.group.position(m)
	m.lag = by
	m.group.changed.Broadcast()
}

// Freeze stops replication at the current position until Thaw.
func (m *Member) Freeze() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.frozen = m.group.position(m)
}

// Thaw resumes replication.
func (m *Member) Thaw() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.frozen = 0
	m.group.changed.Broadcast()
}

// Position returns the position up to which all commits are applied.
func (m *Member) Position() int64 {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.group.position(m)
}

// SetHung makes the server accept queries without answering, or resume with those it accepted.
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

// SetDraining makes the server reject new queries, as one that is being removed does.
func (m *Member) SetDraining(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = on
}

// SetDelay sets how long a query takes.
func (m *Member) SetDelay(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = by
}

// SetCapacity limits the concurrent queries to cores, each taking a time by its txn type; the others queue.
func (m *Member) SetCapacity(cores int, cost func(class string) time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cores, m.costOf = make(chan struct{}, cores), cost
}

// SetFailRatio makes the server answer this fraction of queries, evenly spaced, with an error and no effect.
func (m *Member) SetFailRatio(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failRatio, m.failureDebt = share, 0
}

// shouldFail returns whether the next query fails.
func (m *Member) shouldFail() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failureDebt += m.failRatio; m.failureDebt >= 1 {
		m.failureDebt--
		return true
	}
	return false
}

// DropResponses makes the next n queries of a txn type take effect without a response: the connection breaks
// instead.
func (m *Member) DropResponses(class string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropResponses[class] = n
}

// Kill simulates the end of the process: connections break and new ones are refused.
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

// Start restarts the server at its address.
func (m *Member) Start() error {
	l, err := net.Listen("tcp4", m.addr)
	if err == nil {
		m.serve(l)
	}
	return err
}

// ListEntry returns the server's entry in the list.
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
		if !ok || !m.handleQuery(b, q.String) {
			return
		}
	}
}

// probeQuery asks a server for its load report.
const probeQuery = "SHOW stats"

var (
	parameter = regexp.MustCompile(`([a-z]+)=([^,*\s]+)`)
	quoted    = regexp.MustCompile(`'([^']*)'`)
	statement = regexp.MustCompile(`^/\*(.*?)\*/\s*(\w+)`)
)

// handleQuery handles one query; false ends the connection.
func (m *Member) handleQuery(b *pgproto3.Backend, sql string) bool {
	m.queries.Add(1)
	isProbe := sql == probeQuery
	m.mu.Lock()
	hung, drain, delay, cores, cost := m.resume, m.draining, m.delay, m.cores, m.costOf
	m.mu.Unlock()
	if hung != nil {
		m.group.mu.Lock()
		m.group.record(Event{Member: m.Name, Kind: "hung"})
		m.group.mu.Unlock()
		if !isProbe {
			m.hanging.Add(1)
		}
		<-hung
		if !isProbe {
			m.hanging.Add(-1)
		}
	}
	if isProbe {
		m.group.mu.Lock()
		m.group.record(Event{Member: m.Name, Kind: "probe", Position: m.group.position(m)})
		m.group.mu.Unlock()
		return m.sendRow(b, []byte(m.stats()))
	}
	statementMatch := statement.FindStringSubmatch(sql)
	if statementMatch == nil {
		return m.sendError(b, "08P01", "unknown statement")
	}
	parameters := map[string]string{}
	for _, w := range parameter.FindAllStringSubmatch(statementMatch[1], -1) {
		parameters[w[1]] = w[2]
	}
	values := quoted.FindAllStringSubmatch(sql[len(statementMatch[0]):], -1)
	if len(values) == 0 || parameters["id"] == "" {
		return m.sendError(b, "08P01", "unknown statement")
	}
	code := values[0][1]
	if drain {
		m.group.mu.Lock()
		m.group.record(Event{Member: m.Name, Kind: "turned away", ID: parameters["id"], Code: code})
		m.group.mu.Unlock()
		return m.sendError(b, "53300", "draining")
	}
	if cores != nil {
		cores <- struct{}{}
		delay += cost(parameters["c"])
		defer func() { <-cores }()
	}
	time.Sleep(delay)
	if m.shouldFail() {
		return m.sendError(b, "XX000", "something went wrong")
	}
	if statementMatch[2] == "INSERT" {
		value := []byte{}
		if len(values) > 1 {
			value = []byte(values[1][1])
		}
		c, _, ok := m.group.write(m, parameters["id"], code, parameters["k"], value)
		if !ok {
			return m.sendError(b, "25006", "this is a replica")
		}
		if m.dropsResponse(parameters["c"]) {
			return false
		}
		m.sendStatus(b, c.position)
		return m.sendRow(b, c.value)
	}
	if after, err := strconv.ParseFloat(parameters["after"], 64); err == nil && !m.waitForPosition(after) {
		m.group.mu.Lock()
		m.group.record(Event{Member: m.Name, Kind: "behind", ID: parameters["id"], Code: code, Position: m.group.position(m)})
		m.group.mu.Unlock()
		m.sendStatus(b, 0)
		return m.sendError(b, "72000", "too far behind")
	}
	ms, _ := strconv.Atoi(parameters["d"])
	value, position := m.group.read(m, parameters["id"], code, time.Duration(ms)*time.Millisecond)
	if m.dropsResponse(parameters["c"]) {
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

// waitForPosition waits up to the group's ReplicaWait until the required position is applied.
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
	return fmt.Sprintf("x0=%.3f,x1=%d,util=%.3f", float64(g.position(m)-g.ReportAge.Milliseconds())/1000, role, float64(m.utilization.Load())/1000)
}

// sendStatus reports the server's role and a position; 0 stands for the current one.
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
