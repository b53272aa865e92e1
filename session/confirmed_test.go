package session

import "testing"

// TestRepeatedWriteDoesNotLowerTheFloor guards against a floor below an answered commit: a repeated write is answered with the
// position of its first commit, which was taken for where the primary stands when a later watermark expired.
func TestRepeatedWriteDoesNotLowerTheFloor(t *testing.T) {
	const first, later = Position(5e9), Position(9e9)
	s := newTrace(func(c *Config) { c.FleetSize = 1 })
	s.read(1, 7, 0).processSilently().completeFence(first).processSilently()
	s.at(1100).s.RecordCommit(0, 7, later)
	s.at(2600).s.RecordCommit(0, 8, first) // a repeat: its first commit is old
	s.processSilently()
	s.at(11500).processSilently() // the watermark of session 7 has expired
	floor, _ := s.s.sessionFloor(s.s.groupByID(0), 7)
	if floor < later {
		t.Errorf("reads of session 7 are served from %d, %d was answered", floor, later)
	}
}
