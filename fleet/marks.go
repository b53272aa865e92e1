package fleet

import (
	"magpieglade/internal/slots"
	"magpieglade/ledger"
)

// marks keeps the session module's changes in a ledger, and holds answers until theirs are written, where the operator
// says so and not for longer than that. It belongs to the loop.
type ledgerWriter struct {
	sessions     *Sessions
	ledger       *ledger.Ledger
	waitForWrite bool  // answers wait for their changes
	maxWait      int64 // nanoseconds, and for so long
	earlyAnswers int   // answers that went out before their changes were written, those not written yet
	incomplete   bool  // as logged
	failing      bool
}

// openMarks reads the ledger and gives the module what it held; what may lack something is fenced as at a first start.
func openLedger(s *Sessions, config LedgerConfig) (*ledgerWriter, error) {
	h := s.host
	m := &ledgerWriter{sessions: s, waitForWrite: config.BeforeAnswer == DurableProcess, maxWait: config.MaxWait}
	var recovered *ledger.Recovered
	var err error
	postAfterStart := func(f func()) { // there is no loop to post to before the start
		<-h.Started()
		h.Post(f)
	}
	snapshotNeeded := func() { go postAfterStart(m.snapshot) }
	log := func(text string, err error) { go postAfterStart(func() { m.onDiskStatus(text, err) }) }
	if m.ledger, recovered, err = ledger.Open(config.Folder, config.FileSystem, snapshotNeeded, log); err != nil {
		return nil, err
	}
	s.UpdateClock()
	if recovered.Complete {
		s.Module.Restore(recovered.Changes)
	} else {
		s.Module.RestoreKeyedWrites(recovered.Changes)
	}
	s.Module.TrackChanges()
	h.Logger().Info("ledger read", "folder", config.Folder, "changes", len(recovered.Changes), "complete", recovered.Complete,
		"clean", recovered.Clean, "torn_bytes", recovered.TornBytes, "spoilt", recovered.Corrupt)
	if err := m.ledger.Start(s.Module.Snapshot(), m.waitForWrite); err != nil {
		_ = m.ledger.Close()
		return nil, err
	}
	return m, nil
}

// keep hands over what has changed. An answer that waits for it is given once it is written.
func (m *ledgerWriter) append(answer slots.Ref) {
	changes := m.sessions.Module.TakeChanges()
	if answer == (slots.Ref{}) {
		if len(changes) > 0 {
			m.ledger.Append(changes, nil)
		}
		return
	}
	m.sessions.host.AnswerBy(answer, m.sessions.host.Now()+m.maxWait)
	m.ledger.Append(changes, func(err error) { m.sessions.host.Post(func() { m.onWritten(answer, err) }) })
}

// written comes when a change is with the kernel, or is not to be.
func (m *ledgerWriter) onWritten(ref slots.Ref, err error) {
	if m.sessions.host.Waiting(ref) {
		m.sessions.host.AnswerWaiting(ref, false)
		return
	}
	// Its answer went out before, or its client is gone, which is as well.
	if !m.sessions.host.Caught(ref) {
		return
	}
	if m.earlyAnswers--; m.earlyAnswers == 0 && err == nil {
		m.ledger.ClearIncomplete()
		m.setIncomplete(false)
	}
}

// overdue gives an answer that has waited for the disk as long as it may. What is then not written is said at once, in
// a way that needs no disk, so that a restart does not take the ledger for complete.
func (m *ledgerWriter) overdue(ref slots.Ref) {
	if !m.sessions.host.Waiting(ref) {
		return
	}
	m.ledger.MarkIncomplete()
	m.earlyAnswers++
	m.setIncomplete(true)
	m.sessions.host.AnswerWaiting(ref, true)
}

func (m *ledgerWriter) setIncomplete(incomplete bool) {
	if m.incomplete != incomplete {
		m.incomplete = incomplete
		m.sessions.host.Logger().Info("ledger behind", "now", incomplete, "span_ms", m.maxWait/1e6)
	}
}

func (m *ledgerWriter) snapshot() { m.ledger.Snapshot(m.sessions.Module.Snapshot()) }

func (m *ledgerWriter) onDiskStatus(message string, err error) {
	if (err != nil) != m.failing {
		m.failing = err != nil
		m.sessions.host.Logger().Info("ledger", "what", message, "why", err)
	}
	if err == nil && m.earlyAnswers == 0 { // a snapshot has all that was refused before
		m.ledger.ClearIncomplete()
		m.setIncomplete(false)
	}
}
