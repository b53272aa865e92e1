package rehearse

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"magpieglade/rehearse/audit"
)

// pipelineDepth is the number of reads that a client pipelines on one connection.
const pipelineDepth = 3

// sendPipelined pipelines reads on a new connection and receives the responses in request order.
func (d *driver) sendPipelined(requests []*clientRequest, no int) {
	s := d.scenario
	t := &s.Types[requests[0].txnType]
	for i := 0; i < len(d.endpoints) && d.endpoints[no].isDown(); i++ {
		no = (no + 1) % len(d.endpoints)
	}
	var ids []uint64
	deadline := requests[0].dueAt + t.MaxWait
	d.mu.Lock()
	at := d.now()
	for _, x := range requests {
		id := d.lastID.Add(1)
		x.firstID = id
		ids = append(ids, id)
		d.log.Attempts = append(d.log.Attempts, audit.Attempt{ID: id, FirstID: id, Session: uint64(x.session) + 1, Type: x.txnType, MinVersion: d.sessions[x.session].confirmed,
			DueAt: x.dueAt, SentAt: at, Deadline: deadline, Gateway: no})
	}
	d.mu.Unlock()
	answered := 0
	answer := func(k audit.Outcome, version uint64) {
		if k == audit.Served {
			d.served.Add(1)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.log.Responses = append(d.log.Responses, audit.Response{ID: ids[answered], At: d.now(), Outcome: k, Version: version})
		answered++
	}
	defer func() {
		for answered < len(ids) { // txns whose connection breaks aren't retried
			answer(audit.Disconnected, 0)
		}
	}()
	c, err := net.DialTimeout("tcp4", d.endpoints[no].address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Duration(t.MaxWait) + 2*time.Second))
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "portal", "database": "crm"}})
	for i, x := range requests {
		left := max(1, (deadline-d.now())/1e6)
		f.Send(&pgproto3.Query{String: fmt.Sprintf("/* id=%016x,c=%s,d=%d,cluster=%d */ SELECT data FROM facts WHERE code = '%s'", ids[i], t.Name, left,
			d.groupOf(x.session), fmt.Sprintf("%08x%08x", d.sessionPrefix, x.session+1))})
	}
	if f.Flush() != nil {
		return
	}
	k, version, ready := audit.Served, uint64(0), false
	for answered < len(ids) {
		m, err := f.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			if len(m.Values) == 1 {
				version, _ = strconv.ParseUint(string(m.Values[0]), 10, 64)
			}
		case *pgproto3.ErrorResponse:
			if k = audit.RolledBack; m.Code == "53300" {
				k = audit.Declined
			}
		case *pgproto3.ReadyForQuery:
			if ready {
				answer(k, version)
			}
			k, version, ready = audit.Served, 0, true
		}
	}
}
