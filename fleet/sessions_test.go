package fleet

import (
	"log/slog"
	"testing"
	"time"

	"magpieglade/internal/peerwire"
	"magpieglade/internal/slots"
	"magpieglade/session"
)

// testHost is a host whose clock the test sets, and which routes every fence to the primary.
type testHost struct {
	now    int64
	fences []uint64 // request IDs
}

func (h *testHost) Post(f func())                      { f() }
func (h *testHost) Now() int64                         { return h.now }
func (h *testHost) WakeAfter(int64)                    {}
func (h *testHost) Logger() *slog.Logger               { return slog.New(slog.DiscardHandler) }
func (h *testHost) Started() <-chan struct{}           { return nil }
func (h *testHost) Serve(uint64, session.Position)     {}
func (h *testHost) Refuse(uint64, int64)               {}
func (h *testHost) ReceivePositions([]peerwire.Entry)  {}
func (h *testHost) IsWaiting(slots.Ref) bool           { return false }
func (h *testHost) ReleaseAnswer(slots.Ref, bool)      {}
func (h *testHost) EarlyAnswerWritten(slots.Ref) bool  { return false }
func (h *testHost) SetAnswerDeadline(slots.Ref, int64) {}

func (h *testHost) Fence(d *session.Decision, _ int64) FenceRoute {
	h.fences = append(h.fences, d.RequestID)
	return FenceAtPrimary
}

// TestAnswersAreDatedWhenTheyAreRead guards against more fences than a slow primary can answer: the time that a fence took was
// measured up to the last round before its answer.
func TestAnswersAreDatedWhenTheyAreRead(t *testing.T) {
	const ms, group, reader = 1_000_000, 0, 1
	host := &testHost{now: 1000 * ms}
	s, err := NewSessions(host, &SessionConfig{Session: session.DefaultConfig(), Tokens: TokensHints}, 1, time.Unix(1, 0))
	if err != nil {
		t.Fatal(err)
	}
	addRead := func(id uint64) {
		s.UpdateClock()
		s.AddRead(id, group, reader, 0, nil, host.now+5000*ms)
		s.ProcessDecisions()
	}
	addRead(1)
	if len(host.fences) != 1 {
		t.Fatalf("%d fences for the first read", len(host.fences))
	}
	host.now += 150 * ms // no round runs meanwhile
	s.FenceCompleted(group, host.fences[0], session.Position(host.now))
	s.RecordCommit(group, reader, 0) // it told no position, so that the next read is fenced
	addRead(2)
	host.now += 200 * ms
	addRead(3)
	if len(host.fences) != 2 {
		t.Errorf("%d fences: the last one of 150 ms is to be given twice as long", len(host.fences))
	}
	host.now += 200 * ms
	addRead(4)
	if len(host.fences) != 3 {
		t.Errorf("%d fences after 400 ms, want another one", len(host.fences))
	}
}
