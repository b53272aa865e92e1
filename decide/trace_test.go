package decide

import (
	"fmt"
	"strings"
)

// trace drives one instance and prints its decisions, one per line.
type trace struct {
	g         *Gateway
	clock     float64
	hideLog   bool // omit log lines
	showWakes bool // include wake decisions
}

const traceSettings = `{"classes":[
 {"effect":"repeatable","promiseMs":300,"hardLimitMs":1000,"worth":2,"name":"session"},
 {"effect":"repeatable","promiseMs":300,"hardLimitMs":1000,"worth":1,"name":"bounded"},
 {"effect":"repeatable","promiseMs":300,"hardLimitMs":1000,"worth":1,"name":"any"},
 {"effect":"once","promiseMs":500,"hardLimitMs":2000,"worth":4,"lateValue":0.5,"name":"once"},
 {"effect":"by_key","group":"cell","windowMs":800,
  "promiseMs":500,"hardLimitMs":2000,"worth":4,"lateValue":0.5,"name":"keyed"}],
 "familyInfo":{"consistency":["causal","lag_bound","eventual","mutate","mutate"],"oldestDataMs":[0,300,0,0,0],
  "whenBehind":"await","writeMarks":"brought","roleInList":"none","countedFromMs":0,
  "waitMs":20,"answersStamped":true},
 "fleetSize":2,"limits":{"cancelling":true,"maxAttempts":8,
  "mayDuplicate":false,"probes":false,"retryAfter":true},
 "loadReport":{"how":"none","fields":[]},"locality":0,"membershipMode":"push","parties":[],
 "rules":{"askWithinMs":10000,"coldFrom":0.2,"coldMs":10000,
  "drainGraceMs":250,"fallMultiple":2,"overloadForMs":1000},
 "tickMs":5}`

// open starts an instance at 10 s with traceSettings, after replacing pairs of old and new text.
func open(changes ...string) *trace {
	g, err := New(1, []byte(strings.NewReplacer(changes...).Replace(traceSettings)))
	if err != nil {
		panic(err)
	}
	t := &trace{g: g, hideLog: true}
	t.at(10000)
	return t
}

func (t *trace) at(ms float64) *trace {
	t.clock = ms
	t.g.BeginRound(Millis(ms))
	return t
}

// list applies a full member list: a letter for each member, followed by * for a named primary, - for
// draining, ! for cold.
func (t *trace) list(members string) *trace {
	for _, m := range strings.Fields(members) {
		status, start := Ready, Nanos(0)
		if strings.Contains(m, "-") {
			status = Draining
		}
		if strings.Contains(m, "!") {
			start = Millis(t.clock)
		}
		t.g.UpdateMember(Server{m[0]}, 0, strings.Contains(m, "*"), status, 0, 1, 0, start)
	}
	t.g.EndMemberList(FullList)
	return t
}

// txn adds a txn with a budget of one second and a session whose last write is age ms old.
func (t *trace) txn(id uint64, class int, age float64) *trace {
	if err := t.g.AddTxn(id, class, 0, 7, Millis(1000), 0, 0, Millis(age)); err != nil {
		fmt.Println(err)
	}
	return t
}

// end reports the result of a txn's submission attempt at a member after 20 ms, with the role and position in the
// answer.
func (t *trace) end(id uint64, attempt int, m string, r Result, role Role, position float64) *trace {
	final := r == Committed
	t.g.SubmissionEnded(id, attempt, Server{m[0]}, r, Millis(20), role, Millis(position), final, nil)
	return t
}

// printRound prints the decisions of a round.
func (t *trace) printRound() *trace {
	line := func(format string, a ...any) { fmt.Printf("%6.0f "+format+"\n", append([]any{t.clock}, a...)...) }
	t.g.BeginRound(Millis(t.clock))
	for d, ok := t.g.Next(); ok; d, ok = t.g.Next() {
		switch d.Kind {
		case Submit:
			line("submit %d to %c", d.Txn, d.Server[0])
		case Reject:
			line("reject %d", d.Txn)
		case RollBack:
			line("roll back %d", d.Txn)
		case Cancel:
			line("cancel %d/%d", d.Txn, d.Attempt)
		case Probe:
			line("probe %c", d.Server[0])
		case Wake:
			if t.showWakes {
				line("wake in %d ms", d.Delay/Millisecond)
			}
		case CloseIdle:
			line("close idle connections to %c", d.Server[0])
		case SendUpdates:
			for _, update := range d.Updates {
				line("update %c at %d", update.Server[0], update.Position/Millisecond)
			}
		case SubscribeList:
			line("subscribe to the list")
		case Log:
			if !t.hideLog {
				line("log: %s", d.Text)
			}
		}
	}
	return t
}

// run advances the time in steps of 10 ms and prints the decisions.
func (t *trace) run(until float64) *trace {
	for t.clock < until {
		t.at(t.clock + 10).printRound()
	}
	return t
}
