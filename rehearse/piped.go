package rehearse

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"magpieglade/rehearse/audit"
)

// batch is how many reads a client sends ahead on one connection, without waiting for answers.
const batch = 3

// piped sends reads ahead on a connection of their own and takes the answers as they come, in the order of the questions.
func (d *driver) piped(all []*wish, no int) {
	s := d.scenario
	t := &s.Types[all[0].kind]
	for i := 0; i < len(d.endpoints) && d.endpoints[no].isDown(); i++ {
		no = (no + 1) % len(d.endpoints)
	}
	var ids []uint64
	until := all[0].due + t.MaxWait
	d.mu.Lock()
	at := d.now()
	for _, x := range all {
		id := d.lastID.Add(1)
		x.first = id
		ids = append(ids, id)
		d.log.Attempts = append(d.log.Attempts, audit.Attempt{ID: id, FirstID: id, Session: uint64(x.session) + 1, Type: x.kind, MinVersion: d.sessions[x.session].told,
			DueAt: x.due, SentAt: at, Deadline: until, Gateway: no})
	}
	d.mu.Unlock()
	told := 0
	answer := func(k audit.Outcome, version uint64) {
		if k == audit.Served {
			d.served.Add(1)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.log.Responses = append(d.log.Responses, audit.Response{ID: ids[told], At: d.now(), Outcome: k, Version: version})
		told++
	}
	defer func() {
		for told < len(ids) { // nothing of a txn that is cut off is repeated: the others go on
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
	for i, x := range all {
		left := max(1, (until-d.now())/1e6)
		f.Send(&pgproto3.Query{String: fmt.Sprintf("/* id=%016x,c=%s,d=%d,cluster=%d */ SELECT data FROM facts WHERE code = '%s'", ids[i], t.Name, left,
			d.groupOf(x.session), fmt.Sprintf("%08x%08x", d.sessionPrefix, x.session+1))})
	}
	if f.Flush() != nil {
		return
	}
	k, version, greeted := audit.Served, uint64(0), false
	for told < len(ids) {
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
			if greeted {
				answer(k, version)
			}
			k, version, greeted = audit.Served, 0, true
		}
	}
}
