package signals

import "testing"

// TestOlderReportOfAPrimaryDoesNotCount guards against a former primary that every gateway connects to again because the report
// on it was under way for longer than that on its successor.
func TestOlderReportOfAPrimaryDoesNotCount(t *testing.T) {
	const former, successor = 1, 2
	p := Primaries{}
	if p.Is(0, former) {
		t.Error("a primary without a report")
	}
	for _, step := range []struct {
		member               uint64
		position, receivedAt int64
		changed              bool
		want                 uint64
	}{
		{former, 100, 0, true, former},
		{successor, 200, 1e9, true, successor},
		{former, 150, 2e9, false, successor},
		{successor, 200, 3e9, false, successor},
		{former, 150, 3e9 + ReportTimeToLive, true, former}, // the clock of positions was stepped back
	} {
		if changed := p.Receive(0, step.member, step.position, step.receivedAt); changed != step.changed || !p.Is(0, step.want) || p.Is(1, step.want) {
			t.Errorf("%+v: changed %v, %+v", step, changed, p)
		}
	}
}
