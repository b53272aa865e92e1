package fleet

import (
	"magpieglade/internal/slots"
	"magpieglade/ledger"
)

// ledgerWriter records the session module's changes in a ledger. If so configured it delays an answer until its changes are
// written, but for no longer than maxWait. It must be used from the event loop only.
type ledgerWriter struct {
	sessions     *Sessions
	ledger       *ledger.Ledger
	waitForWrite bool  // answers wait until their changes are written
	maxWait      int64 // nanoseconds that an answer waits at most
	earlyAnswers int   // answers sent before their changes were written, which are still unwritten
	incomplete   bool  // as last logged
	failing      bool
}

// openLedger reads the ledger and restores the module's state. If the ledger is incomplete only keyed writes are restored, so
// that groups are fenced as at a first start.
func openLedger(s *Sessions, config LedgerConfig) (*ledgerWriter, error) {
	h := s.host
	w := &ledgerWriter{sessions: s, waitForWrite: config.BeforeAnswer == DurableProcess, maxWait: config.MaxWait}
	var recovered *ledger.Recovered
	var err error
	postAfterStart := func(f func()) { // before the start there is no loop to post to
		<-h.Started()
		h.Post(f)
	}
	snapshotNeeded := func() { go postAfterStart(w.snapshot) }
	log := func(message string, err error) { go postAfterStart(func() { w.onDiskStatus(message, err) }) }
	if w.ledger, recovered, err = ledger.Open(config.Folder, config.FileSystem, snapshotNeeded, log); err != nil {
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
	if err := w.ledger.Start(s.Module.Snapshot(), w.waitForWrite); err != nil {
		_ = w.ledger.Close()
		return nil, err
	}
	return w, nil
}

// append queues the changes since the last call. An answer that waits for them is released once they are written.
func (w *ledgerWriter) append(answer slots.Ref) {
	changes := w.sessions.Module.TakeChanges()
	if answer == (slots.Ref{}) {
		if len(changes) > 0 {
			w.ledger.Append(changes, nil)
		}
		return
	}
	w.sessions.host.SetAnswerDeadline(answer, w.sessions.host.Now()+w.maxWait)
	w.ledger.Append(changes, func(err error) { w.sessions.host.Post(func() { w.onWritten(answer, err) }) })
}

// onWritten is called once the changes of an answer are passed to the kernel, or could not be.
func (w *ledgerWriter) onWritten(ref slots.Ref, err error) {
	if w.sessions.host.IsWaiting(ref) {
		w.sessions.host.ReleaseAnswer(ref, false)
		return
	}
	// The answer was sent early, or its client is gone; in the latter case nothing is left to do.
	if !w.sessions.host.EarlyAnswerWritten(ref) {
		return
	}
	if w.earlyAnswers--; w.earlyAnswers == 0 && err == nil {
		w.ledger.ClearIncomplete()
		w.setIncomplete(false)
	}
}

// overdue releases an answer that has waited for the disk for maxWait. The ledger is first marked incomplete, in a way that
// does not wait for the disk, so that a restart does not take it for complete.
func (w *ledgerWriter) overdue(ref slots.Ref) {
	if !w.sessions.host.IsWaiting(ref) {
		return
	}
	w.ledger.MarkIncomplete()
	w.earlyAnswers++
	w.setIncomplete(true)
	w.sessions.host.ReleaseAnswer(ref, true)
}

func (w *ledgerWriter) setIncomplete(incomplete bool) {
	if w.incomplete != incomplete {
		w.incomplete = incomplete
		w.sessions.host.Logger().Info("ledger incomplete", "now", incomplete, "span_ms", w.maxWait/1e6)
	}
}

func (w *ledgerWriter) snapshot() { w.ledger.Snapshot(w.sessions.Module.Snapshot()) }

// onDiskStatus handles a write error of the ledger, or its end if err is nil.
func (w *ledgerWriter) onDiskStatus(message string, err error) {
	if (err != nil) != w.failing {
		w.failing = err != nil
		w.sessions.host.Logger().Info("ledger", "what", message, "why", err)
	}
	if err == nil && w.earlyAnswers == 0 { // a snapshot contains all changes whose writes failed before
		w.ledger.ClearIncomplete()
		w.setIncomplete(false)
	}
}
