package agenda

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Events run in the order of their times, and those of one time in the order of scheduling, also when a running event
// schedules further ones.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type scheduled struct{ at, no int64 }
		var s Scheduler
		var all, executed []scheduled
		schedule := func(delay int64) {
			e := scheduled{s.Now + delay, int64(len(all))}
			all = append(all, e)
			s.After(delay, func() {
				if s.Now != e.at {
					t.Fatalf("ran at %d, scheduled for %d", s.Now, e.at)
				}
				executed = append(executed, e)
			})
		}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			schedule(rapid.Int64Range(0, 9).Draw(t, "delay"))
			if rapid.Bool().Draw(t, "nested") {
				s.After(rapid.Int64Range(0, 9).Draw(t, "outer delay"), func() { schedule(rapid.Int64Range(0, 3).Draw(t, "inner delay")) })
			}
		}
		s.Run(100)
		slices.SortFunc(all, func(x, y scheduled) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.no, y.no)) })
		if len(executed) != len(all) || s.Now != 100 {
			t.Fatalf("%d of %d events ran, clock at %d", len(executed), len(all), s.Now)
		}
		for i := 1; i < len(executed); i++ {
			if executed[i].at < executed[i-1].at {
				t.Fatalf("%v ran after %v", executed[i], executed[i-1])
			}
		}
	})
}
