package audit

import (
	"fmt"
	"testing"
)

func testConfig() Config {
	return Config{Types: []Type{
		{Name: "session", Effect: "repeatable", Consistency: "causal", Value: 1, TargetLatency: 300e6, MaxWait: 1e9},
		{Name: "bounded", Effect: "repeatable", Consistency: "lag_bound", Value: 1, TargetLatency: 300e6, MaxWait: 1e9, MaxAge: 200e6},
		{Name: "record", Effect: "by_key", Consistency: "mutate", Value: 4, LateValue: 0.5, TargetLatency: 500e6, MaxWait: 2e9, DedupWindow: 2e9}},
		DrainGrace: 250e6, Slack: 10e6, WarmUp: 10e9, ColdFraction: 0.2, OverloadFactor: 2, OverloadWindow: 1e9}
}

// validLog is a log without violations: a write, and reads of what it wrote.
func validLog() *Log {
	l := &Log{Cores: []int{1, 1}, Names: []string{"p", "r"}}
	defer func() {
		for i := range l.Submissions {
			l.Submissions[i].ReceivedAt = l.Submissions[i].At
		}
	}()
	l.Attempts = append(l.Attempts, Attempt{ID: 1, FirstID: 1, Session: 7, Type: 2, Key: 11, Version: 1, DueAt: 0, SentAt: 0, Deadline: 2e9})
	l.Submissions = append(l.Submissions, Submission{ID: 1, Key: 11, Session: 7, Version: 1, Member: 0, Kind: Write, At: 5e6, Cost: 1e6})
	l.Responses = append(l.Responses, Response{ID: 1, At: 10e6, Outcome: Served})
	for i := range uint64(4) {
		at := int64(20e6 + 10e6*i)
		l.Attempts = append(l.Attempts, Attempt{ID: 2 + i, FirstID: 2 + i, Session: 7, Type: int(i % 2), MinVersion: 1, DueAt: at, SentAt: at, Deadline: at + 1e9})
		l.Submissions = append(l.Submissions, Submission{ID: 2 + i, Session: 7, Version: 1, Member: 1, Kind: Read, At: at + 1e6, Cost: 1e6})
		l.Responses = append(l.Responses, Response{ID: 2 + i, At: at + 2e6, Outcome: Served, Version: 1})
	}
	return l
}

// Each rule must detect a deliberate violation and nothing else, and must accept logs that only resemble one.
func Example_planted() {
	checkModified := func(what string, change func(*Log)) {
		l := validLog()
		change(l)
		fmt.Println(what + ":")
		for _, v := range Check(testConfig(), l) {
			fmt.Println(" ", v.Rule, v.ID, v.Description)
		}
	}
	checkModified("nothing", func(*Log) {})
	checkModified("no answer", func(l *Log) { l.Responses = l.Responses[:4] })
	checkModified("no answer, gateway killed", func(l *Log) {
		l.Responses = l.Responses[:4]
		l.Events = []Event{{At: 60e6, Kind: GatewayKilled}}
	})
	checkModified("no answer, gateway up again before", func(l *Log) {
		l.Responses = l.Responses[:4]
		l.Events = []Event{{At: 10e6, Kind: GatewayKilled}, {At: 30e6, Kind: GatewayUp}}
	})
	checkModified("cut off", func(l *Log) { l.Responses[4].Outcome = Disconnected })
	checkModified("two answers", func(l *Log) { l.Responses = append(l.Responses, Response{ID: 5, At: 70e6, Outcome: Declined}) })
	checkModified("too late", func(l *Log) { l.Responses[4].At = 1080e6 })
	checkModified("effect twice", func(l *Log) {
		l.Submissions = append(l.Submissions, Submission{ID: 9, Key: 11, Session: 7, Version: 1, Kind: Write, At: 90e6})
	})
	checkModified("a repeat", func(l *Log) {
		l.Submissions = append(l.Submissions, Submission{ID: 9, Key: 11, Kind: Repeat, At: 90e6})
	})
	checkModified("declined with its effect", func(l *Log) { l.Responses[0].Outcome = Declined })
	checkModified("drain", func(l *Log) { l.Events = []Event{{At: -300e6, Kind: DrainStarted, Member: 1}} })
	checkModified("drain while it hung", func(l *Log) {
		l.Events = []Event{{At: -300e6, Kind: DrainStarted, Member: 1}}
		for i := range l.Submissions {
			l.Submissions[i].ReceivedAt = -400e6
		}
	})
	checkModified("drain in its grace", func(l *Log) { l.Events = []Event{{At: 0, Kind: DrainStarted, Member: 1}} })
	checkModified("drain that is over", func(l *Log) {
		l.Events = []Event{{At: -300e6, Kind: DrainStarted, Member: 1}, {At: 1e6, Kind: Restored, Member: 1}}
	})
	checkModified("cold", func(l *Log) {
		l.Events = []Event{{At: 0, Kind: MemberStarted, Member: 1}}
		for i := range l.Submissions {
			l.Submissions[i].Cost = 150e6
		}
	})
	checkModified("stale", func(l *Log) { l.Responses[3].Version = 0 })
	checkModified("a later commit of an older version", func(l *Log) { // its client had given it up
		l.Submissions = append([]Submission{l.Submissions[0], {ID: 99, Session: 7, Version: 9, Kind: Write, At: 6e6}}, l.Submissions[1:]...)
		l.Attempts[1].MinVersion, l.Responses[1].Version = 1, 9
		l.Attempts[3].MinVersion, l.Responses[3].Version = 9, 9
	})
	checkModified("older than its bound", func(l *Log) {
		l.Attempts[4].SentAt, l.Attempts[4].Deadline, l.Responses[4].At, l.Responses[4].Version = 300e6, 1300e6, 310e6, 0
	})
	checkModified("within its bound", func(l *Log) { l.Responses[2].Version = 0 })
	// Output:
	// nothing:
	// no answer:
	//   no txn lost 5 no response
	// no answer, gateway killed:
	// no answer, gateway up again before:
	//   no txn lost 5 no response
	// cut off:
	//   no txn lost 5 connection ended without a response
	// two answers:
	//   no txn lost 5 2 responses
	// too late:
	//   no txn lost 5 response 30.0 ms after the deadline
	// effect twice:
	//   no effect twice 9 takes effect a second time, at p
	// a repeat:
	// declined with its effect:
	//   no effect twice 1 declined, but takes effect
	// drain:
	//   drains kept 2 r receives it 321.0 ms after gateway 0 was notified of the drain
	//   drains kept 3 r receives it 331.0 ms after gateway 0 was notified of the drain
	//   drains kept 4 r receives it 341.0 ms after gateway 0 was notified of the drain
	//   drains kept 5 r receives it 351.0 ms after gateway 0 was notified of the drain
	// drain while it hung:
	// drain in its grace:
	// drain that is over:
	// cold:
	//   no cold server pushed over 4 r receives 2.2 times its capacity 41.0 ms after its start
	// stale:
	//   no stale read 4 shows version 0 of session 7, but version 1 is required
	// a later commit of an older version:
	// older than its bound:
	//   no stale read 5 shows version 0 of session 7, but version 1 is required
	// within its bound:
}

// A violation includes the txn's history, with all attempts of its client.
func Example_history() {
	l := validLog()
	l.Responses[0].Outcome = RolledBack
	l.Attempts = append(l.Attempts, Attempt{ID: 8, FirstID: 1, Session: 7, Type: 2, Key: 11, Version: 1, DueAt: 0, SentAt: 100e6, Deadline: 2e9})
	l.Submissions = append(l.Submissions, Submission{ID: 8, Key: 11, Session: 7, Version: 1, Kind: Write, At: 101e6})
	l.Responses = append(l.Responses, Response{ID: 8, At: 105e6, Outcome: Served})
	for _, v := range Check(testConfig(), l) {
		fmt.Println(v.Rule)
		for _, h := range v.History {
			fmt.Println(" ", h)
		}
	}
	// Output:
	// no effect twice
	//   0.0 ms attempt 1 at gateway 0: record, session 7, required version 0, deadline 2000.0 ms
	//   5.0 ms 1 at p: write, version 1
	//   10.0 ms 1 rolled back, version 0
	//   100.0 ms attempt 8 at gateway 0: record, session 7, required version 0, deadline 2000.0 ms
	//   101.0 ms 8 at p: write, version 1
	//   105.0 ms 8 served, version 0
}

// Attempts count with their txn's first, late responses by LateValue, and an attempt sent late from when it
// was due.
func TestService(t *testing.T) {
	l := validLog()
	l.Responses[1].Outcome = Declined // a session read, retried later
	l.Attempts = append(l.Attempts, Attempt{ID: 8, FirstID: 2, Session: 7, Type: 0, MinVersion: 1, DueAt: 20e6, SentAt: 200e6, Deadline: 1020e6})
	l.Responses = append(l.Responses, Response{ID: 8, At: 321e6, Outcome: Served, Version: 1}) // 301 ms after it was first due
	l.Responses[0].At = 501e6
	s := Measure(testConfig(), l)
	if s.Requested != 5 || s.Attempts != 6 || s.Types[0].Service != 0.5 || s.Types[2].Service != 0.5 || s.Overall != (2+0+1+2)/8.0 {
		t.Fatalf("%+v", s)
	}
	if name, x := s.WorstType(); name != "session" || x != 0.5 || s.Types[0].Max < 300e6 || s.Types[0].Max > 302e6 {
		t.Fatal(name, x, s.Types[0].Max)
	}
}
