package fleet

import (
	"magpieglade/internal/slots"
	"magpieglade/ledger"
)

// marks keeps the session module's changes in a ledger, and holds answers until theirs are written, where the operator
// says so and not for longer than that. It belongs to the loop.
type marks struct {
	s       *Sessions
	ledger  *ledger.Ledger
	waits   bool  // answers wait for their changes
	atMost  int64 // nanoseconds, and for so long
	early   int   // answers that went out before their changes were written, those not written yet
	behind  bool  // as logged
	failing bool
}

// openMarks reads the ledger and gives the module what it held; what may lack something is fenced as at a first start.
func openMarks(s *Sessions, plan LedgerPlan) (*marks, error) {
	h := s.host
	m := &marks{s: s, waits: plan.BeforeAnswer == DurableProcess, atMost: plan.AtMost}
	var found *ledger.Found
	var err error
	later := func(f func()) { // there is no loop to post to before the start
		<-h.Started()
		h.Post(f)
	}
	wanted := func() { go later(m.snapshot) }
	log := func(text string, err error) { go later(func() { m.told(text, err) }) }
	if m.ledger, found, err = ledger.Open(plan.Folder, plan.Disk, wanted, log); err != nil {
		return nil, err
	}
	s.Clock()
	if found.Complete {
		s.Module.Restore(found.Changes)
	} else {
		s.Module.RestoreKeyedWrites(found.Changes)
	}
	s.Module.TrackChanges()
	h.Logger().Info("ledger read", "folder", plan.Folder, "changes", len(found.Changes), "complete", found.Complete,
		"clean", found.Clean, "torn_bytes", found.Torn, "spoilt", found.Spoilt)
	if err := m.ledger.Began(s.Module.Snapshot(), m.waits); err != nil {
		_ = m.ledger.Close()
		return nil, err
	}
	return m, nil
}

// keep hands over what has changed. An answer that waits for it is given once it is written.
func (m *marks) keep(answer slots.Ref) {
	changes := m.s.Module.TakeChanges()
	if answer == (slots.Ref{}) {
		if len(changes) > 0 {
			m.ledger.Append(changes, nil)
		}
		return
	}
	m.s.host.AnswerBy(answer, m.s.host.Now()+m.atMost)
	m.ledger.Append(changes, func(err error) { m.s.host.Post(func() { m.written(answer, err) }) })
}

// written comes when a change is with the kernel, or is not to be.
func (m *marks) written(ref slots.Ref, err error) {
	if m.s.host.Waiting(ref) {
		m.s.host.AnswerWaiting(ref, false)
		return
	}
	// Its answer went out before, or its client is gone, which is as well.
	if !m.s.host.Caught(ref) {
		return
	}
	if m.early--; m.early == 0 && err == nil {
		m.ledger.Caught()
		m.note(false)
	}
}

// overdue gives an answer that has waited for the disk as long as it may. What is then not written is said at once, in
// a way that needs no disk, so that a restart does not take the ledger for complete.
func (m *marks) overdue(ref slots.Ref) {
	if !m.s.host.Waiting(ref) {
		return
	}
	m.ledger.Behind()
	m.early++
	m.note(true)
	m.s.host.AnswerWaiting(ref, true)
}

func (m *marks) note(behind bool) {
	if m.behind != behind {
		m.behind = behind
		m.s.host.Logger().Info("ledger behind", "now", behind, "span_ms", m.atMost/1e6)
	}
}

func (m *marks) snapshot() { m.ledger.Snapshot(m.s.Module.Snapshot()) }

func (m *marks) told(text string, err error) {
	if (err != nil) != m.failing {
		m.failing = err != nil
		m.s.host.Logger().Info("ledger", "what", text, "why", err)
	}
	if err == nil && m.early == 0 { // a snapshot has all that was refused before
		m.ledger.Caught()
		m.note(false)
	}
}
