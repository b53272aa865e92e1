// Package agenda is the event queue and virtual clock of a discrete-event simulation. Time advances only when events run.
package agenda

// Scheduler runs callbacks at their scheduled virtual times. Events with equal times run in the order in which they were
// scheduled. The zero value is empty, at time 0.
type Scheduler struct {
	Now          int64 // nanoseconds
	lastSequence uint64
	events       []event // a binary heap, written out by hand because most of a simulation's time is spent in it
}

type event struct {
	at       int64
	sequence uint64
	run      func()
}

// less reports whether event i runs before event j.
func (s *Scheduler) less(i, j int) bool {
	x, y := &s.events[i], &s.events[j]
	return x.at < y.at || x.at == y.at && x.sequence < y.sequence
}

// After schedules a callback to run after a delay in nanoseconds; a negative delay counts as 0.
func (s *Scheduler) After(delay int64, run func()) {
	s.lastSequence++
	s.events = append(s.events, event{s.Now + max(0, delay), s.lastSequence, run})
	for i := len(s.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s.less(i, parent) {
			break
		}
		s.events[i], s.events[parent] = s.events[parent], s.events[i]
		i = parent
	}
}

// Step advances the clock to the earliest event that is due by the given time and runs it. It returns false if there is
// no such event.
func (s *Scheduler) Step(until int64) (ok bool) {
	if len(s.events) == 0 || s.events[0].at > until {
		return false
	}
	earliest, last := s.events[0], len(s.events)-1
	s.events[0], s.events[last] = s.events[last], event{}
	s.events = s.events[:last]
	for i := 0; ; {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if s.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			break
		}
		s.events[i], s.events[smallest] = s.events[smallest], s.events[i]
		i = smallest
	}
	s.Now = earliest.at
	earliest.run()
	return true
}

// Run runs all events that are due by the given time and leaves the clock at that time.
func (s *Scheduler) Run(until int64) {
	for s.Step(until) {
	}
	s.Now = max(s.Now, until)
}
