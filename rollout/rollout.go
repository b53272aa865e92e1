// Package rollout decides when a change of configuration is applied, kept and undone. A change is proposed once it
// has been checked; it is applied to all routing at one instant, its health is compared to the time before for a
// watch period, and it is kept or undone.
//
// It is driven like the module in package decide: New once, Clock in each round, then inputs, then Next until no
// decision is left. It does no I/O, reads no clock and starts no goroutine. judge.go measures health.
package rollout

import (
	"fmt"
)

// Generation identifies a configuration. 0 is the gateway's configuration without a document.
type Generation uint64

// Stage is the state of the current change.
type Stage uint8

const (
	Settled Stage = iota // the generation in force is kept, and there is no change
	Staged               // a change waits to be applied
	Watched              // a change is in force and may be undone
)

// String returns the name of a stage.
func (s Stage) String() string { return [...]string{"settled", "staged", "watched"}[s] }

// Kind is what the host has to do.
type Kind uint8

const (
	Apply Kind = iota // put Generation in force for everything that arrives from now on
	Undo              // put the former Generation in force again; the effects of the change end
	Keep              // Generation is the one to start with from now on
	Save              // persist State
	Wake              // run another round After this many nanoseconds
	Log               // log Text
)

// Decision is one action for the host.
type Decision struct {
	Kind       Kind
	Generation Generation
	After      int64 // nanoseconds
	Text       string
}

// Reason is why a change ended or was not applied.
type Reason string

const (
	ByHealth     Reason = "health worsened"
	ByOperator   Reason = "by hand"
	ByWatch      Reason = "its watch is over"
	ByCrash      Reason = "the gateway ended while it was watched"
	NotJudged    Reason = "its watch went by without a quiet moment to judge it by"
	Replaced     Reason = "a newer one took its place"
	ByFleet      Reason = "the fleet decided"
	UndoneBefore Reason = "it was undone before"
)

// FinishedChange is a change that was kept, undone or replaced.
type FinishedChange struct {
	Generation Generation
	Digest     uint64
	Kept       bool
	Why        Reason
	At         int64
	Text       string // measured health
}

// Change is a proposed generation.
type Change struct {
	Generation    Generation
	Digest        uint64 // of its content: equal texts have equal digests
	WatchDuration int64  // nanoseconds for which it may be undone automatically; 0 keeps it at once
	Reapply       bool   // accept it even if it was undone before
}

// State is what survives a restart.
type State struct {
	Kept     Generation
	Watching Generation // 0 is none
	Digest   uint64     // of the watched change
	Crashes  int        // consecutive ends of the process under a watched change
	Undone   []uint64   // digests, latest last
}

// DefaultWatch is the watch period of a change that names none. Most drops are detected within a tenth of it.
const DefaultWatch = int64(30e9)

// Limits of a watch and of the history; rollout_test.go covers them.
const (
	maxWatchFactor    = 3  // a disturbed watch lasts at most this many times its period
	maxUndone         = 64 // digests
	maxFinished       = 100
	minJudgedFraction = 0.5 // of the watch period that must have been measured for a change to be kept
)

// Rollout is the state of one gateway's changes.
type Rollout struct {
	now       int64
	stage     Stage
	kept      Generation
	change    Change // watched
	startedAt int64
	staged    *Change
	health    healthMonitor
	undone    []uint64
	crashes   int
	finished  []FinishedChange
	out       []Decision
	wakeAt    int64
}

// New restores what the last run saved. A change that was watched when the process ended is not in force: the last
// kept one is, and the change counts as undone.
func New(s State) *Rollout {
	r := &Rollout{kept: s.Kept, undone: s.Undone, crashes: s.Crashes}
	if s.Watching != 0 {
		r.crashes++
		r.finish(FinishedChange{Generation: s.Watching, Digest: s.Digest, Why: ByCrash})
		r.out = append(r.out, Decision{Kind: Save})
		r.log("generation %d: undone, %s; %d is in force", s.Watching, ByCrash, s.Kept)
	}
	return r
}

// State returns what has to survive a restart.
func (r *Rollout) State() State {
	s := State{Kept: r.kept, Crashes: r.crashes, Undone: r.undone}
	if r.stage == Watched {
		s.Watching, s.Digest = r.change.Generation, r.change.Digest
	}
	return s
}

// Clock starts a round.
func (r *Rollout) Clock(now int64) {
	r.now = now
	r.health.clock(now)
}

// Propose stages a checked change, replacing a staged one. A change that was undone before is refused unless
// Reapply is set.
func (r *Rollout) Propose(c Change) error {
	if !c.Reapply {
		for _, d := range r.undone {
			if d == c.Digest {
				return fmt.Errorf("generation %d is not applied: %s; apply it with --again", c.Generation, UndoneBefore)
			}
		}
	}
	if r.staged != nil {
		r.finish(FinishedChange{Generation: r.staged.Generation, Digest: r.staged.Digest, Why: Replaced})
	}
	r.staged = &c
	return nil
}

// KeepNow keeps the watched change on an operator's request.
func (r *Rollout) KeepNow() error { return r.KeepWithReason(ByOperator) }

// KeepWithReason keeps the watched change for a given reason.
func (r *Rollout) KeepWithReason(reason Reason) error {
	if r.stage != Watched {
		return fmt.Errorf("no change is watched")
	}
	r.keep(reason)
	return nil
}

// UndoNow undoes the watched change, or drops the staged one, on an operator's request.
func (r *Rollout) UndoNow() error {
	switch {
	case r.stage == Watched:
		r.undo(ByOperator, "")
	case r.staged != nil:
		r.finish(FinishedChange{Generation: r.staged.Generation, Digest: r.staged.Digest, Why: ByOperator})
		r.staged = nil
	default:
		return fmt.Errorf("no change is watched or staged")
	}
	return nil
}

// RecordTxn records a finished txn: its route, its value and the value that was served.
func (r *Rollout) RecordTxn(route int32, value, served float64) { r.health.add(route, value, served) }

// ReportDisturbance reports an external event that no change is responsible for, such as a member that left, joined
// or restarted. Health is not measured around it.
func (r *Rollout) ReportDisturbance() { r.health.disturb() }

// Next returns the next decision of this round; ok is false if none is left.
func (r *Rollout) Next() (Decision, bool) {
	r.step()
	if len(r.out) > 0 {
		d := r.out[0]
		r.out = r.out[1:]
		return d, true
	}
	if at := r.due(); at > 0 && (r.wakeAt <= r.now || at < r.wakeAt) {
		r.wakeAt = at
		return Decision{Kind: Wake, After: max(1e6, at-r.now)}, true
	}
	return Decision{}, false
}

func (r *Rollout) step() {
	if r.stage == Watched {
		elapsed := r.now - r.startedAt
		judged := r.health.judged
		if v := r.health.verdict(); v.worse {
			r.undo(ByHealth, v.text)
		} else if elapsed >= r.change.WatchDuration && float64(judged) >= minJudgedFraction*float64(r.change.WatchDuration) {
			r.keep(ByWatch)
		} else if elapsed >= maxWatchFactor*r.change.WatchDuration {
			if r.health.idle() { // no traffic: there is nothing to measure, and nobody was harmed
				r.keep(ByWatch)
			} else {
				r.undo(NotJudged, "")
			}
		}
	}
	if r.stage != Watched && r.staged != nil {
		r.apply(*r.staged)
	}
}

func (r *Rollout) apply(c Change) {
	r.staged = nil
	r.change, r.startedAt, r.stage = c, r.now, Watched
	r.health.begin()
	if c.WatchDuration <= 0 {
		r.out = append(r.out, Decision{Kind: Apply, Generation: c.Generation})
		r.keep(ByOperator)
		return
	}
	// Save comes before Apply: a process that ends under a change must find it at the next start.
	r.out = append(r.out, Decision{Kind: Save}, Decision{Kind: Apply, Generation: c.Generation})
	r.log("generation %d: applied, watched for %d ms, %s", c.Generation, c.WatchDuration/1e6, r.health.describeBaseline())
}

func (r *Rollout) keep(reason Reason) {
	r.kept, r.stage, r.crashes = r.change.Generation, Settled, 0
	text := r.health.describeResult()
	r.health.end()
	r.finish(FinishedChange{Generation: r.kept, Digest: r.change.Digest, Kept: true, Why: reason, Text: text})
	r.out = append(r.out, Decision{Kind: Keep, Generation: r.kept}, Decision{Kind: Save})
	r.log("generation %d: kept, %s, %s", r.kept, reason, text)
}

func (r *Rollout) undo(reason Reason, text string) {
	change := r.change
	r.stage = Settled
	r.health.end()
	r.finish(FinishedChange{Generation: change.Generation, Digest: change.Digest, Why: reason, Text: text})
	r.out = append(r.out, Decision{Kind: Undo, Generation: r.kept}, Decision{Kind: Save})
	r.log("generation %d: undone after %d ms, %s; %d is in force again%s", change.Generation, (r.now-r.startedAt)/1e6, reason, r.kept, text)
}

func (r *Rollout) finish(e FinishedChange) {
	e.At = r.now
	if r.finished = append(r.finished, e); len(r.finished) > maxFinished {
		r.finished = r.finished[1:]
	}
	if !e.Kept && e.Why != Replaced {
		if r.undone = append(r.undone, e.Digest); len(r.undone) > maxUndone {
			r.undone = r.undone[1:]
		}
	}
}

// Status is a snapshot of the rollout for display.
type Status struct {
	Stage    Stage
	InForce  Generation
	Kept     Generation
	Staged   Generation
	Left     int64 // nanoseconds left of the watch if it is not disturbed
	Health   string
	Crashes  int
	Finished []FinishedChange
}

// Status returns the current status.
func (r *Rollout) Status() Status {
	s := Status{Stage: r.stage, InForce: r.kept, Kept: r.kept, Crashes: r.crashes, Finished: r.finished, Health: r.health.describeBaseline()}
	if r.stage == Watched {
		s.InForce = r.change.Generation
		s.Left = max(0, r.startedAt+r.change.WatchDuration-r.now)
		s.Health = r.health.describeResult()
	}
	if r.staged != nil {
		s.Staged = r.staged.Generation
		if s.Stage == Settled {
			s.Stage = Staged
		}
	}
	return s
}

func (r *Rollout) log(format string, a ...any) {
	r.out = append(r.out, Decision{Kind: Log, Text: fmt.Sprintf(format, a...)})
}

func (r *Rollout) due() int64 {
	if r.stage != Watched {
		return 0
	}
	return r.now + slotDuration
}
