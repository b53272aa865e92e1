// Package audit checks what clients and databases observed of a fleet of gateways against five rules, and
// measures the service that clients received. It shares no code with the gateway and relies on nothing that a
// gateway reports about itself.
package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Type is a txn type, as clients and operators define it. All times in this package are nanoseconds.
type Type struct {
	Name          string
	Effect        string // "repeatable", "by_key" or "once"
	Consistency   string // what a read must see: "eventual", "lag_bound" or "causal"; "mutate" marks a write
	Value         float64
	LateValue     float64 // fraction of Value if served after TargetLatency
	TargetLatency int64   // SLA target
	MaxWait       int64   // that a client waits over all attempts
	MaxAge        int64   // of lag_bound: max age of the data shown
	DedupWindow   int64   // of by_key: how long databases drop repeats
	AnyGroup      bool    // of by_key: repeats are harmless in any group
}

// Config holds the settings that a run is checked against.
type Config struct {
	Types          []Type
	DrainGrace     int64 // grace period of a drain
	Slack          int64 // tolerance for messages in flight and timers
	WarmUp         int64 // how long a member is cold after its start
	ColdFraction   float64
	OverloadFactor float64 // multiple of its capacity at its age beyond which a cold member is overloaded
	OverloadWindow int64   // window over which load is summed
}

// Attempt is one attempt of a client at a txn.
type Attempt struct {
	ID, FirstID   uint64 // of this attempt, and of the txn's first
	Session       uint64
	Type          int
	Key           uint64 // 0 if none
	Version       uint64 // that a write creates in its session
	MinVersion    uint64 // latest version acknowledged to its session when it was sent
	DueAt, SentAt int64  // when it was due, and when it was sent
	Deadline      int64  // when its time runs out
	Gateway       int
}

// Outcome is the result that a client received.
type Outcome uint8

// Outcomes.
const (
	Served Outcome = iota
	Declined
	RolledBack
	Disconnected // its connection ended without a response
)

// String returns the outcome's name.
func (k Outcome) String() string {
	return [...]string{"served", "declined", "rolled back", "cut off"}[k]
}

// Response is what a client received for an attempt.
type Response struct {
	ID      uint64
	At      int64
	Outcome Outcome
	Version uint64 // that a read showed
}

// SubmissionKind is what a database did with a submission.
type SubmissionKind uint8

// Submission kinds.
const (
	Write SubmissionKind = iota
	Repeat
	Read
	Rejected // no primary, or too far behind
)

// String returns the kind's name.
func (k SubmissionKind) String() string { return [...]string{"write", "repeat", "read", "miss"}[k] }

// Submission is one submission at a database.
type Submission struct {
	ID, Key    uint64
	Session    uint64
	Version    uint64
	Member     int
	Gateway    int
	Kind       SubmissionKind
	At         int64 // when it was executed, or begun
	ReceivedAt int64 // when it was received, which may be long before At at a hung member
	Cost       int64 // core time on a warm member
}

// EventKind is the kind of an event around the gateways.
type EventKind uint8

// Event kinds.
const (
	DrainStarted  EventKind = iota // Gateway was notified that Member drains
	Restored                       // Gateway was notified that Member no longer drains
	MemberStarted                  // Member started cold
	GatewayKilled                  // Gateway was killed without a shutdown
	MemberDied                     // Member died; commits that it had not replicated may be lost
	GatewayUp                      // Gateway runs again
)

// String returns the kind's name.
func (k EventKind) String() string {
	return [...]string{"drain told", "back told", "member started", "gateway killed", "member died", "gateway up"}[k]
}

// Event is something that happened around the gateways.
type Event struct {
	At              int64
	Kind            EventKind
	Member, Gateway int
}

// Log holds everything observed, each list ordered by time.
type Log struct {
	Attempts    []Attempt
	Responses   []Response
	Submissions []Submission
	Events      []Event
	Cores       []int // per member
	Names       []string
}

// Rules.
const (
	RuleNoLoss      = "no txn lost"
	RuleNoDuplicate = "no effect twice"
	RuleDrain       = "drains kept"
	RuleColdStart   = "no cold server pushed over"
	RuleNoStaleRead = "no stale read"
)

// Rules lists all rules in the order of the checks.
var Rules = []string{RuleNoLoss, RuleNoDuplicate, RuleDrain, RuleColdStart, RuleNoStaleRead}

// Violation is one broken rule.
type Violation struct {
	Rule        string
	ID          uint64 // of the txn, 0 for none
	At          int64
	Description string `json:"What"`
	History     []string
}

// auditor is the state of one audit.
type auditor struct {
	config      Config
	log         *Log
	responses   map[uint64][]Response
	submissions map[uint64][]Submission
	violations  []Violation
}

// Check returns all violations, ordered by time.
func Check(config Config, l *Log) []Violation {
	a := &auditor{config: config, log: l, responses: map[uint64][]Response{}, submissions: map[uint64][]Submission{}}
	for _, x := range l.Responses {
		a.responses[x.ID] = append(a.responses[x.ID], x)
	}
	for _, w := range l.Submissions {
		a.submissions[w.ID] = append(a.submissions[w.ID], w)
	}
	a.checkLost()
	a.checkDuplicates()
	a.checkDrains()
	a.checkColdStarts()
	a.checkStaleReads()
	slices.SortStableFunc(a.violations, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
	return a.violations
}

// maxHistories limits the violations that include the txn's history: a thousand of one kind tell no more than
// these.
const maxHistories = 50

func (a *auditor) report(rule string, id uint64, at int64, format string, args ...any) {
	v := Violation{Rule: rule, ID: id, At: at, Description: fmt.Sprintf(format, args...)}
	if id != 0 && len(a.violations) < maxHistories {
		v.History = a.history(id)
	}
	a.violations = append(a.violations, v)
}

// history returns a txn's events: all attempts of its client, their responses, and what databases did.
func (a *auditor) history(id uint64) []string {
	type line struct {
		at   int64
		text string
	}
	var lines []line
	first := id
	for i := range a.log.Attempts {
		if x := &a.log.Attempts[i]; x.ID == id {
			first = x.FirstID
		}
	}
	for i := range a.log.Attempts {
		x := &a.log.Attempts[i]
		if x.FirstID != first {
			continue
		}
		lines = append(lines, line{x.SentAt, fmt.Sprintf("attempt %d at gateway %d: %s, session %d, required version %d, deadline %s",
			x.ID, x.Gateway, a.config.Types[x.Type].Name, x.Session, x.MinVersion, ms(x.Deadline))})
		for _, y := range a.responses[x.ID] {
			lines = append(lines, line{y.At, fmt.Sprintf("%d %s, version %d", x.ID, y.Outcome, y.Version)})
		}
		for _, w := range a.submissions[x.ID] {
			lines = append(lines, line{w.At, fmt.Sprintf("%d at %s: %s, version %d", x.ID, a.name(w.Member), w.Kind, w.Version)})
		}
	}
	slices.SortStableFunc(lines, func(x, y line) int { return cmp.Compare(x.at, y.at) })
	var all []string
	for _, l := range lines {
		all = append(all, ms(l.at)+" "+l.text)
	}
	return all
}

func (a *auditor) name(member int) string {
	if member < len(a.log.Names) {
		return a.log.Names[member]
	}
	return fmt.Sprint("member ", member)
}

func ms(at int64) string { return fmt.Sprintf("%.1f ms", float64(at)/1e6) }

// checkLost checks that each attempt has exactly one final response, in time. An attempt whose gateway was down
// in that time had no chance of one, so it may lack it; two responses or a late one still count.
func (a *auditor) checkLost() {
	type downtime struct{ from, to int64 }
	down := map[int][]downtime{}
	for _, n := range a.log.Events {
		switch all := down[n.Gateway]; {
		case n.Kind == GatewayKilled:
			down[n.Gateway] = append(all, downtime{n.At, math.MaxInt64})
		case n.Kind == GatewayUp && len(all) > 0:
			all[len(all)-1].to = n.At
		}
	}
	excused := func(x *Attempt) bool {
		return slices.ContainsFunc(down[x.Gateway], func(s downtime) bool { return s.from <= x.Deadline+a.config.Slack && s.to >= x.SentAt-a.config.Slack })
	}
	for i := range a.log.Attempts {
		x := &a.log.Attempts[i]
		responses := a.responses[x.ID]
		switch {
		case len(responses) == 0 && !excused(x):
			a.report(RuleNoLoss, x.ID, x.Deadline, "no response")
		case len(responses) > 1:
			a.report(RuleNoLoss, x.ID, responses[1].At, "%d responses", len(responses))
		case len(responses) == 1 && responses[0].Outcome == Disconnected && !excused(x):
			a.report(RuleNoLoss, x.ID, responses[0].At, "connection ended without a response")
		case len(responses) == 1 && responses[0].Outcome != Disconnected && responses[0].At > x.Deadline+a.config.Slack:
			a.report(RuleNoLoss, x.ID, responses[0].At, "response %s after the deadline", ms(responses[0].At-x.Deadline))
		}
	}
}

// checkDuplicates checks that each change takes effect once, and that declined attempts, which are reported as
// not executed, have no effect.
func (a *auditor) checkDuplicates() {
	typeOf := map[uint64]int{}
	for i := range a.log.Attempts {
		typeOf[a.log.Attempts[i].ID] = a.log.Attempts[i].Type
	}
	type effectKey struct{ key, id uint64 } // the key's, or the attempt's own if there is no key
	effects := map[effectKey]int{}
	for _, w := range a.log.Submissions {
		if w.Kind != Write {
			continue
		}
		key := effectKey{key: w.Key}
		if w.Key == 0 {
			key.id = w.ID
		}
		if effects[key]++; effects[key] == 2 {
			a.report(RuleNoDuplicate, w.ID, w.At, "takes effect a second time, at %s", a.name(w.Member))
		}
		if n, ok := typeOf[w.ID]; ok && !a.config.Types[n].AnyGroup {
			for _, x := range a.responses[w.ID] {
				if x.Outcome == Declined {
					a.report(RuleNoDuplicate, w.ID, max(x.At, w.At), "declined, but takes effect")
				}
			}
		}
	}
}

// checkDrains checks that after the grace period a gateway that was notified of a drain submits nothing new to
// the member.
func (a *auditor) checkDrains() {
	type pair struct{ member, gateway int }
	notifications := map[pair][]Event{}
	for _, n := range a.log.Events {
		if n.Kind == DrainStarted || n.Kind == Restored {
			key := pair{n.Member, n.Gateway}
			notifications[key] = append(notifications[key], n)
		}
	}
	for _, w := range a.log.Submissions {
		var latest *Event
		for i, n := range notifications[pair{w.Member, w.Gateway}] {
			if n.At <= w.ReceivedAt {
				latest = &notifications[pair{w.Member, w.Gateway}][i]
			}
		}
		if latest != nil && latest.Kind == DrainStarted && w.ReceivedAt > latest.At+a.config.DrainGrace+a.config.Slack {
			a.report(RuleDrain, w.ID, w.At, "%s receives it %s after gateway %d was notified of the drain", a.name(w.Member), ms(w.ReceivedAt-latest.At), w.Gateway)
		}
	}
}

// checkColdStarts checks that within any OverloadWindow a member that has just started receives no more than a
// multiple of its capacity at its age.
func (a *auditor) checkColdStarts() {
	if a.config.OverloadFactor <= 0 || a.config.OverloadWindow <= 0 {
		return
	}
	for _, n := range a.log.Events {
		if n.Kind != MemberStarted {
			continue
		}
		var window []Submission
		sum := int64(0)
		for _, w := range a.log.Submissions {
			if w.Member != n.Member || w.At < n.At || w.At > n.At+a.config.WarmUp || w.Kind == Rejected {
				continue
			}
			window = append(window, w)
			sum += w.Cost
			for window[0].At <= w.At-a.config.OverloadWindow {
				sum -= window[0].Cost
				window = window[1:]
			}
			capacityRatio := a.config.ColdFraction + (1-a.config.ColdFraction)*float64(w.At-n.At)/float64(a.config.WarmUp)
			capacity := capacityRatio * float64(a.log.Cores[n.Member]) * float64(a.config.OverloadWindow)
			if float64(sum) > a.config.OverloadFactor*capacity {
				a.report(RuleColdStart, w.ID, w.At, "%s receives %.1f times its capacity %s after its start", a.name(n.Member), float64(sum)/capacity, ms(w.At-n.At))
				break // report once per start
			}
		}
	}
}

// checkStaleReads checks that a read shows the version acknowledged to its session before it was sent, or all commits older
// than its bound; or a commit after that, which may be an older write that its client had given up.
func (a *auditor) checkStaleReads() {
	memberDied := false
	commits := map[uint64][]Submission{} // by session, in order of time
	for _, w := range a.log.Submissions {
		if w.Kind == Write {
			commits[w.Session] = append(commits[w.Session], w)
		}
	}
	for _, n := range a.log.Events {
		memberDied = memberDied || n.Kind == MemberDied
	}
	for i := range a.log.Attempts {
		x := &a.log.Attempts[i]
		consistency := a.config.Types[x.Type].Consistency
		if consistency != "causal" && consistency != "lag_bound" {
			continue
		}
		for _, y := range a.responses[x.ID] {
			if y.Outcome != Served {
				continue
			}
			required := uint64(0)
			at := map[uint64]int{} // index of the commit of each version, counted from 1
			for i, w := range commits[x.Session] {
				at[w.Version] = i + 1
				// For a bound; but a commit lost with a member was never visible to others.
				if consistency == "lag_bound" && !memberDied && w.At < x.SentAt-a.config.Types[x.Type].MaxAge-a.config.Slack {
					required = w.Version
				}
			}
			if consistency == "causal" {
				required = x.MinVersion
			}
			if at[y.Version] < at[required] {
				a.report(RuleNoStaleRead, x.ID, y.At, "shows version %d of session %d, but version %d is required", y.Version, x.Session, required)
			}
		}
	}
}
