package gateway

import (
	"magpieglade/decide"
	"magpieglade/internal/slots"
	"magpieglade/ledger"
)

// marks keeps the session module's changes in a ledger, and holds answers until theirs are written, where the operator
// says so and not for longer than that. It belongs to the loop.
type marks struct {
	s       *sessions
	ledger  *ledger.Ledger
	waits   bool         // answers wait for their changes
	atMost  decide.Nanos // and for so long
	early   int          // answers that went out before their changes were written, those not written yet
	behind  bool         // as logged
	failing bool
}

// openMarks reads the ledger and gives the module what it held; what may lack something is fenced as at a first start.
func openMarks(s *sessions, plan LedgerPlan) (*marks, error) {
	g := s.g
	m := &marks{s: s, waits: plan.BeforeAnswer == DurableProcess, atMost: decide.Nanos(plan.AtMost)}
	var found *ledger.Found
	var err error
	later := func(f func()) { // there is no loop to post to before the start
		<-g.started
		g.post(f)
	}
	wanted := func() { go later(m.snapshot) }
	log := func(text string, err error) { go later(func() { m.told(text, err) }) }
	if m.ledger, found, err = ledger.Open(plan.Folder, plan.disk, wanted, log); err != nil {
		return nil, err
	}
	s.module.Clock(int64(g.clock.now()))
	if found.Complete {
		s.module.Restore(found.Changes)
	} else {
		s.module.RestoreKeys(found.Changes)
	}
	s.module.Keep()
	g.log.Info("ledger read", "folder", plan.Folder, "changes", len(found.Changes), "complete", found.Complete,
		"clean", found.Clean, "torn_bytes", found.Torn, "spoilt", found.Spoilt)
	if err := m.ledger.Began(s.module.Dump(), m.waits); err != nil {
		_ = m.ledger.Close()
		return nil, err
	}
	return m, nil
}

// keep hands over what has changed. An answer that waits for it is given once it is written.
func (m *marks) keep(answer slots.Ref) {
	changes := m.s.module.Changes()
	if answer == (slots.Ref{}) {
		if len(changes) > 0 {
			m.ledger.Append(changes, nil)
		}
		return
	}
	m.s.g.deadlines.Add(int64(m.s.g.clock.now()+m.atMost), due{kind: dueAnswer, ref: answer})
	m.ledger.Append(changes, func(err error) { m.s.g.post(func() { m.written(answer, err) }) })
}

// written comes when a change is with the kernel, or is not to be.
func (m *marks) written(ref slots.Ref, err error) {
	t := m.s.g.txns.Get(ref)
	if t != nil && t.waiting != nil {
		m.s.g.answerWaiting(ref)
		return
	}
	// Its answer went out before, or its client is gone, which is as well.
	if t == nil || !t.early {
		return
	}
	t.early = false
	m.s.g.settled(ref, false)
	if m.early--; m.early == 0 && err == nil {
		m.ledger.Caught()
		m.note(false)
	}
}

// overdue gives an answer that has waited for the disk as long as it may. What is then not written is said at once, in
// a way that needs no disk, so that a restart does not take the ledger for complete.
func (m *marks) overdue(ref slots.Ref) {
	t := m.s.g.txns.Get(ref)
	if t == nil || t.waiting == nil {
		return
	}
	m.ledger.Behind()
	m.early++
	t.early = true
	m.note(true)
	m.s.g.answerWaiting(ref)
}

func (m *marks) note(behind bool) {
	if m.behind != behind {
		m.behind = behind
		m.s.g.log.Info("ledger behind", "now", behind, "span_ms", int64(m.atMost/decide.Millisecond))
	}
}

func (m *marks) snapshot() { m.ledger.Snapshot(m.s.module.Dump()) }

func (m *marks) told(text string, err error) {
	if (err != nil) != m.failing {
		m.failing = err != nil
		m.s.g.log.Info("ledger", "what", text, "why", err)
	}
	if err == nil && m.early == 0 { // a snapshot has all that was refused before
		m.ledger.Caught()
		m.note(false)
	}
}

func (m *marks) close() error { return m.ledger.Close() }
