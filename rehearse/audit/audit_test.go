package audit

import (
	"fmt"
	"testing"
)

func terms() Terms {
	return Terms{Types: []Type{
		{Name: "session", Effect: "repeatable", Need: "causal", Worth: 1, Aim: 300e6, Limit: 1e9},
		{Name: "bounded", Effect: "repeatable", Need: "lag_bound", Worth: 1, Aim: 300e6, Limit: 1e9, Bound: 200e6},
		{Name: "record", Effect: "by_key", Need: "mutate", Worth: 4, LateValue: 0.5, Aim: 500e6, Limit: 2e9, Window: 2e9}},
		Grace: 250e6, Slack: 10e6, Cold: 10e9, ColdFrom: 0.2, FallMultiple: 2, OverloadFor: 1e9}
}

// good is a day without a broken rule: a write, and reads of what it wrote.
func good() *Log {
	l := &Log{Cores: []int{1, 1}, Names: []string{"p", "r"}}
	defer func() {
		for i := range l.Works {
			l.Works[i].Came = l.Works[i].At
		}
	}()
	l.Asks = append(l.Asks, Ask{ID: 1, First: 1, Session: 7, Type: 2, Key: 11, Version: 1, Due: 0, At: 0, Until: 2e9})
	l.Works = append(l.Works, Work{ID: 1, Key: 11, Session: 7, Version: 1, Member: 0, Kind: Wrote, At: 5e6, Cost: 1e6})
	l.Answers = append(l.Answers, Answer{ID: 1, At: 10e6, Kind: Served})
	for i := range uint64(4) {
		at := int64(20e6 + 10e6*i)
		l.Asks = append(l.Asks, Ask{ID: 2 + i, First: 2 + i, Session: 7, Type: int(i % 2), Owed: 1, Due: at, At: at, Until: at + 1e9})
		l.Works = append(l.Works, Work{ID: 2 + i, Session: 7, Version: 1, Member: 1, Kind: Read, At: at + 1e6, Cost: 1e6})
		l.Answers = append(l.Answers, Answer{ID: 2 + i, At: at + 2e6, Kind: Served, Version: 1})
	}
	return l
}

// Each rule, broken on purpose, is found, and nothing else is; what only looks like it is not.
func Example_planted() {
	plant := func(what string, change func(*Log)) {
		l := good()
		change(l)
		fmt.Println(what + ":")
		for _, v := range Check(terms(), l) {
			fmt.Println(" ", v.Rule, v.ID, v.What)
		}
	}
	plant("nothing", func(*Log) {})
	plant("no answer", func(l *Log) { l.Answers = l.Answers[:4] })
	plant("no answer, gateway killed", func(l *Log) {
		l.Answers = l.Answers[:4]
		l.Notices = []Notice{{At: 60e6, Kind: Killed}}
	})
	plant("no answer, gateway up again before", func(l *Log) {
		l.Answers = l.Answers[:4]
		l.Notices = []Notice{{At: 10e6, Kind: Killed}, {At: 30e6, Kind: Up}}
	})
	plant("cut off", func(l *Log) { l.Answers[4].Kind = Cut })
	plant("two answers", func(l *Log) { l.Answers = append(l.Answers, Answer{ID: 5, At: 70e6, Kind: Declined}) })
	plant("too late", func(l *Log) { l.Answers[4].At = 1080e6 })
	plant("effect twice", func(l *Log) {
		l.Works = append(l.Works, Work{ID: 9, Key: 11, Session: 7, Version: 1, Kind: Wrote, At: 90e6})
	})
	plant("a repeat", func(l *Log) { l.Works = append(l.Works, Work{ID: 9, Key: 11, Kind: Repeat, At: 90e6}) })
	plant("declined with its effect", func(l *Log) { l.Answers[0].Kind = Declined })
	plant("drain", func(l *Log) { l.Notices = []Notice{{At: -300e6, Kind: Drained, Member: 1}} })
	plant("drain while it hung", func(l *Log) {
		l.Notices = []Notice{{At: -300e6, Kind: Drained, Member: 1}}
		for i := range l.Works {
			l.Works[i].Came = -400e6
		}
	})
	plant("drain in its grace", func(l *Log) { l.Notices = []Notice{{At: 0, Kind: Drained, Member: 1}} })
	plant("drain that is over", func(l *Log) {
		l.Notices = []Notice{{At: -300e6, Kind: Drained, Member: 1}, {At: 1e6, Kind: Back, Member: 1}}
	})
	plant("cold", func(l *Log) {
		l.Notices = []Notice{{At: 0, Kind: Started, Member: 1}}
		for i := range l.Works {
			l.Works[i].Cost = 150e6
		}
	})
	plant("stale", func(l *Log) { l.Answers[3].Version = 0 })
	plant("a later commit of an older version", func(l *Log) { // its client had given it up
		l.Works = append([]Work{l.Works[0], {ID: 99, Session: 7, Version: 9, Kind: Wrote, At: 6e6}}, l.Works[1:]...)
		l.Asks[1].Owed, l.Answers[1].Version = 1, 9
		l.Asks[3].Owed, l.Answers[3].Version = 9, 9
	})
	plant("older than its bound", func(l *Log) {
		l.Asks[4].At, l.Asks[4].Until, l.Answers[4].At, l.Answers[4].Version = 300e6, 1300e6, 310e6, 0
	})
	plant("within its bound", func(l *Log) { l.Answers[2].Version = 0 })
	// Output:
	// nothing:
	// no answer:
	//   no txn lost 5 it has no answer
	// no answer, gateway killed:
	// no answer, gateway up again before:
	//   no txn lost 5 it has no answer
	// cut off:
	//   no txn lost 5 its connection ended without an answer
	// two answers:
	//   no txn lost 5 it has 2 answers
	// too late:
	//   no txn lost 5 its answer came 30.0 ms after its time
	// effect twice:
	//   no effect twice 9 it has its effect a second time, at p
	// a repeat:
	// declined with its effect:
	//   no effect twice 1 it is declined, and has its effect
	// drain:
	//   drains kept 2 r gets it 321.0 ms after gateway 0 was told that it drains
	//   drains kept 3 r gets it 331.0 ms after gateway 0 was told that it drains
	//   drains kept 4 r gets it 341.0 ms after gateway 0 was told that it drains
	//   drains kept 5 r gets it 351.0 ms after gateway 0 was told that it drains
	// drain while it hung:
	// drain in its grace:
	// drain that is over:
	// cold:
	//   no cold server pushed over 4 r gets 2.2 times what it can do 41.0 ms after its start
	// stale:
	//   no stale read 4 it shows version 0 of session 7, and is owed 1
	// a later commit of an older version:
	// older than its bound:
	//   no stale read 5 it shows version 0 of session 7, and is owed 1
	// within its bound:
}

// A broken rule comes with the txn's whole life, all tries of its client.
func Example_history() {
	l := good()
	l.Answers[0].Kind = RolledBack
	l.Asks = append(l.Asks, Ask{ID: 8, First: 1, Session: 7, Type: 2, Key: 11, Version: 1, Due: 0, At: 100e6, Until: 2e9})
	l.Works = append(l.Works, Work{ID: 8, Key: 11, Session: 7, Version: 1, Kind: Wrote, At: 101e6})
	l.Answers = append(l.Answers, Answer{ID: 8, At: 105e6, Kind: Served})
	for _, v := range Check(terms(), l) {
		fmt.Println(v.Rule)
		for _, h := range v.History {
			fmt.Println(" ", h)
		}
	}
	// Output:
	// no effect twice
	//   0.0 ms asked as 1 at gateway 0: record, session 7, owed version 0, until 2000.0 ms
	//   5.0 ms 1 at p: write, version 1
	//   10.0 ms 1 rolled back, version 0
	//   100.0 ms asked as 8 at gateway 0: record, session 7, owed version 0, until 2000.0 ms
	//   101.0 ms 8 at p: write, version 1
	//   105.0 ms 8 served, version 0
}

// Tries count with their first, late answers by their late value, and a try that was sent late from when it was due.
func TestService(t *testing.T) {
	l := good()
	l.Answers[1].Kind = Declined // a session read, which comes again
	l.Asks = append(l.Asks, Ask{ID: 8, First: 2, Session: 7, Type: 0, Owed: 1, Due: 20e6, At: 200e6, Until: 1020e6})
	l.Answers = append(l.Answers, Answer{ID: 8, At: 321e6, Kind: Served, Version: 1}) // 301 ms after it was first due
	l.Answers[0].At = 501e6
	s := Measure(terms(), l)
	if s.Asked != 5 || s.Tries != 6 || s.Types[0].Service != 0.5 || s.Types[2].Service != 0.5 || s.Whole != (2+0+1+2)/8.0 {
		t.Fatalf("%+v", s)
	}
	if name, x := s.WorstType(); name != "session" || x != 0.5 || s.Types[0].Worst < 300e6 || s.Types[0].Worst > 302e6 {
		t.Fatal(name, x, s.Types[0].Worst)
	}
}
