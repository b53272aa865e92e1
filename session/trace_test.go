package session

import "fmt"

// trace drives one gateway of a fleet of three, the first, and prints what it decides.
type trace struct {
	s        *Sessions
	complete bool   // what clients bring covers all that their sessions wrote
	fence    uint64 // the latest
	asks     [3]uint64
}

func open(change ...func(*Config)) *trace {
	t := DefaultConfig()
	t.FleetSize = 3
	for _, c := range change {
		c(&t)
	}
	s, err := New(t, 1, 100)
	if err != nil {
		panic(err)
	}
	s.nonce = 0
	return (&trace{s: s}).at(1000)
}

func (t *trace) at(ms int64) *trace { t.s.SetTime(ms * 1e6); return t }

func (t *trace) pull() *trace {
	for {
		d, ok := t.s.Next()
		if !ok {
			return t
		}
		fmt.Print(t.s.now/1e6, " ")
		switch d.Kind {
		case Serve:
			fmt.Println("serve", d.ReadID, "from", d.Floor)
		case Refuse:
			fmt.Println("refuse", d.ReadID, "for", d.Delay/1e6)
		case Fence:
			t.fence = d.RequestID
			fmt.Println("fence group", d.Group, "no", d.RequestID)
		case RequestEntries:
			t.asks[d.Peer] = d.RequestID
			fmt.Println("ask", d.Peer, "no", d.RequestID, "behind", d.Page.Last, "of", d.Page.Epoch)
		case SendEntries:
			fmt.Println("tell", d.Peer, "no", d.RequestID, len(d.Page.Entries), "entries from", d.Page.First, "last", d.Page.Last)
		case Wake:
			fmt.Println("wake after", d.Delay/1e6)
		case Log:
			fmt.Println("log:", d.Text)
		}
	}
}

func (t *trace) read(id uint64, session uint64, brought Position) *trace {
	t.s.AddRead(id, 0, session, brought, t.complete, t.s.now+500e6)
	return t
}

// told answers the latest question to a peer, or has it say something unasked.
func (t *trace) told(from int, asked bool, epoch, last uint64, first uint64, marks ...Position) *trace {
	no := uint64(0)
	if asked {
		no = t.asks[from]
	}
	p := Page{Epoch: epoch, Last: last, First: first}
	for _, m := range marks {
		p.Entries = append(p.Entries, Entry{Kind: CommitEntry, Key: 7, Position: m})
	}
	t.s.HandlePage(from, no, p)
	return t
}

// fenced answers the latest fence.
func (t *trace) fenced(p Position) *trace {
	t.s.FenceCompleted(0, t.fence, p)
	return t
}

// quiet takes decisions without printing them.
func (t *trace) quiet() *trace {
	for d, ok := t.s.Next(); ok; d, ok = t.s.Next() {
		switch d.Kind {
		case Fence:
			t.fence = d.RequestID
		case RequestEntries:
			t.asks[d.Peer] = d.RequestID
		}
	}
	return t
}

// known is a gateway that has heard of both others, and of its group's primary since.
func known(change ...func(*Config)) *trace {
	t := open(change...)
	t.quiet()
	t.told(1, true, 201, 0, 1).told(2, true, 301, 0, 1)
	t.read(99, 7, 0)
	t.quiet()
	t.fenced(5000)
	t.quiet()
	return t
}

// A fresh gateway asks the primary; what came before the first word of the others lies under that fence.
func Example_freshGateway() {
	t := open().read(1, 7, 0).pull()
	t.at(1001).told(1, true, 201, 40, 41).told(2, true, 301, 12, 13).pull()
	t.at(1002).fenced(5000) // asked for before the last loss: it covers the read, not the group
	t.pull().read(2, 7, 0).pull()
	t.at(1003).fenced(6000)
	t.pull().read(3, 7, 0).pull()
	// Output:
	// 1000 fence group 0 no 1
	// 1000 ask 1 no 2 behind 0 of 0
	// 1000 ask 2 no 3 behind 0 of 0
	// 1000 wake after 50
	// 1002 serve 1 from 5000
	// 1002 fence group 0 no 4
	// 1003 serve 2 from 6000
	// 1003 ask 1 no 5 behind 40 of 201
	// 1003 ask 2 no 6 behind 12 of 301
	// 1003 wake after 3
}

// One question to both others serves all reads that wait when it goes out; later ones wait for the next.
func Example_round() {
	t := known().at(1100).read(1, 7, 0).read(2, 8, 0).pull()
	t.read(3, 8, 0).pull()
	t.at(1101).told(1, true, 201, 2, 1, 7000, 8000).told(2, true, 301, 0, 1).pull()
	// Output:
	// 1100 ask 1 no 4 behind 0 of 201
	// 1100 ask 2 no 5 behind 0 of 301
	// 1100 wake after 3
	// 1101 serve 1 from 8000
	// 1101 serve 2 from 5000
	// 1101 ask 1 no 6 behind 2 of 201
	// 1101 ask 2 no 7 behind 0 of 301
}

// A message is lost: who has not answered is asked again within the round, and either answer will do.
func Example_lostMessage() {
	t := known().at(1100).read(1, 7, 0).pull()
	t.told(2, true, 301, 0, 1).at(1104).pull()
	t.at(1105).told(1, true, 201, 1, 1, 7000).pull()
	// Output:
	// 1100 ask 1 no 4 behind 0 of 201
	// 1100 ask 2 no 5 behind 0 of 301
	// 1100 wake after 3
	// 1104 ask 1 no 6 behind 0 of 201
	// 1104 wake after 2
	// 1105 serve 1 from 7000
}

// Of several pages one is lost: the round is not over before the gap is filled, by the next question.
func Example_gap() {
	t := known().at(1100).read(1, 7, 0).pull()
	t.at(1101).told(2, true, 301, 0, 1).told(1, true, 201, 10, 9, 7000, 8000).pull()
	t.at(1111).pull()
	t.at(1112).fenced(9000)
	t.pull().at(1120).read(2, 7, 0).pull()
	t.at(1121).told(2, true, 301, 0, 1).told(1, true, 201, 10, 1, 1, 1, 1, 1, 1, 1, 1, 1).told(1, true, 201, 10, 9, 7000, 8000).pull()
	// Output:
	// 1100 ask 1 no 4 behind 0 of 201
	// 1100 ask 2 no 5 behind 0 of 301
	// 1100 wake after 3
	// 1111 fence group 0 no 6
	// 1111 wake after 50
	// 1112 serve 1 from 9000
	// 1120 ask 1 no 7 behind 0 of 201
	// 1120 ask 2 no 8 behind 0 of 301
	// 1120 wake after 3
	// 1121 serve 2 from 8000
}

// A page of another run that nobody asked for changes nothing; as an answer it is a loss, and each group is fenced
// once.
func Example_otherEpoch() {
	t := known().at(1100).told(1, false, 777, 9, 9, 8000).read(1, 7, 0).pull()
	t.at(1101).told(1, true, 202, 0, 1).told(2, true, 301, 0, 1).pull()
	t.at(1102).fenced(9000)
	t.pull()
	// Output:
	// 1100 ask 1 no 4 behind 0 of 201
	// 1100 ask 2 no 5 behind 0 of 301
	// 1100 wake after 3
	// 1101 log: gateway 1: notes lost from 0 to 0, each group is fenced once
	// 1101 fence group 0 no 6
	// 1102 serve 1 from 9000
}

// A fence that was asked for before a loss covers the reads that waited for it, but not what was lost.
func Example_lossMeanwhile() {
	t := open().read(1, 7, 0).pull()
	t.told(1, true, 201, 5, 6).at(1005)
	t.fenced(5000)
	t.pull().read(2, 7, 0).pull()
	// Output:
	// 1000 fence group 0 no 1
	// 1000 ask 1 no 2 behind 0 of 0
	// 1000 ask 2 no 3 behind 0 of 0
	// 1000 wake after 50
	// 1005 serve 1 from 5000
	// 1005 fence group 0 no 4
}

// A gateway that does not answer costs the reads their round once, then a fence each, until it answers again.
func Example_silentPeer() {
	t := known().at(1100).read(1, 7, 0).pull()
	t.at(1101).told(2, true, 301, 0, 1).at(1110).pull()
	t.at(1111).fenced(9000)
	t.pull().at(1120).read(2, 7, 0).pull()
	t.at(1121).fenced(9100)
	t.pull().at(1400).pull().told(1, true, 201, 0, 1).read(3, 7, 0).pull()
	// Output:
	// 1100 ask 1 no 4 behind 0 of 201
	// 1100 ask 2 no 5 behind 0 of 301
	// 1100 wake after 3
	// 1110 log: gateway 1 does not answer, reads are fenced, notes held to 0
	// 1110 fence group 0 no 6
	// 1110 ask 1 no 7 behind 0 of 201
	// 1110 wake after 20
	// 1111 serve 1 from 9000
	// 1120 fence group 0 no 8
	// 1121 serve 2 from 9100
	// 1400 ask 1 no 9 behind 0 of 201
	// 1400 ask 2 no 10 behind 0 of 301
	// 1400 wake after 40
	// 1400 log: gateway 1 answers again after 290 ms, notes held to 0 of 0
	// 1400 ask 1 no 11 behind 0 of 201
	// 1400 ask 2 no 12 behind 0 of 301
	// 1400 wake after 3
}

// No primary tells its position: reads wait for its successor as long as their time allows, then are refused with
// when to come back.
func Example_noPrimary() {
	t := open(func(t *Config) { t.FleetSize = 1 }).read(1, 7, 0).read(2, 7, 0).pull()
	for i := range 12 {
		t.at(1001+6*int64(i)).s.FenceFailed(0, uint64(i+1))
		for d, ok := t.s.Next(); ok; d, ok = t.s.Next() {
			if d.Kind == Log {
				fmt.Println(d.Text)
			}
		}
		t.at(1007 + 6*int64(i))
		for _, ok := t.s.Next(); ok; _, ok = t.s.Next() {
		}
	}
	t.s.CancelRead(2)
	t.at(1438).pull()
	// Output:
	// 1000 fence group 0 no 1
	// 1000 wake after 50
	// group 0: no primary tells its position, 2 reads wait
	// 1438 refuse 1 for 200
}

// A position that a client brings is believed as far as its group was seen; one from the future is bounded by the
// primary, so that nobody pins a session to it.
func Example_broughtTokens() {
	t := known().at(1100)
	t.complete = true
	t.read(1, 7, 4000).read(2, 7, 0).read(3, 7, 999e15).pull()
	t.at(1101).fenced(9000)
	t.pull()
	// Output:
	// 1100 serve 1 from 4000
	// 1100 serve 2 from 0
	// 1100 fence group 0 no 4
	// 1100 wake after 50
	// 1101 serve 3 from 9000
}

// Restored notes are out of reach as far as anybody told, until a replica shows itself beyond them: no primary is needed
// then, for what clients bring from before that neither. What lies further is still the primary's.
func Example_replicaShows() {
	t := open(func(t *Config) { t.FleetSize = 1 })
	t.s.Restore([]Change{{Kind: FloorSet, Entry: Entry{Position: 2000}}, {Kind: EntryRecorded, Entry: Entry{Kind: CommitEntry, Key: 7, Position: 3000}}})
	t.at(2500).read(1, 7, 0).read(2, 7, 4000).read(3, 7, 9000).pull()
	t.complete = true
	t.at(2501).read(4, 7, 4000)
	t.s.RecordMemberPosition(0, 2900) // short of all of them
	t.s.FenceFailed(0, t.fence)
	t.pull().s.RecordMemberPosition(0, 5000)
	t.pull()
	// Output:
	// 2500 fence group 0 no 1
	// 2500 wake after 50
	// 2501 wake after 5
	// 2501 serve 4 from 4000
	// 2501 serve 1 from 3000
	// 2501 serve 2 from 4000
}

// A floor that its primary has not reached long after is lowered to where that stands: the commit was lost in a
// switch. Until then reads are the primary's.
func Example_lostCommit() {
	t := open(func(t *Config) { t.FleetSize = 1 }).read(1, 7, 0).pull()
	t.fenced(5e9)
	t.pull().s.RecordCommit(0, 7, 9e9) // the primary dies with it, and its successor stands at 6 s
	t.at(1500).read(2, 7, 0).pull()
	t.at(2600).read(3, 8, 0).pull()
	t.at(2700).s.RecordCommit(0, 8, 6e9)
	t.read(4, 7, 0).pull().at(2701).fenced(61e8)
	t.pull().at(12600).read(5, 9, 0).pull()
	// Output:
	// 1000 fence group 0 no 1
	// 1000 wake after 50
	// 1000 serve 1 from 5000000000
	// 1500 serve 2 from 9000000000
	// 2600 serve 3 from 5000000000
	// 2700 fence group 0 no 2
	// 2700 wake after 50
	// 2701 serve 4 from 6100000000
	// 12600 serve 5 from 5000000000
}

// A commit without a position is a loss, here and at whoever hears of it: each group is fenced once.
func Example_commitWithoutPosition() {
	t := known()
	t.s.RecordCommit(0, 7, 0)
	t.read(1, 7, 0).pull().told(1, false, 201, 1, 1, 0).at(1001)
	t.fenced(6000)
	t.pull().read(2, 7, 0).pull()
	// Output:
	// 1000 fence group 0 no 4
	// 1000 wake after 2
	// 1001 serve 1 from 6000
	// 1001 fence group 0 no 5
}

// A keyed write is not sent past its window since the first that any gateway told of, nor to another group.
func Example_repeats() {
	t := known().at(1100)
	p := Page{Epoch: 201, Last: 1, First: 1, Entries: []Entry{{Kind: KeyedWriteEntry, Group: 2, Key: 77, Age: 300e6}}}
	t.s.HandlePage(1, 0, p)
	t.s.RecordKeyedWrite(2, 78)
	for _, key := range []uint64{76, 77, 78} {
		until, ok := t.s.RetryDeadline(2, key, 2e9)
		fmt.Println(key, until/1e6, ok)
	}
	fmt.Println(t.s.RetryDeadline(3, 78, 2e9))
	t.at(2760)
	fmt.Println(t.s.RetryDeadline(2, 77, 2e9))
	t.at(99000).pull()
	fmt.Println(t.s.RetryDeadline(2, 77, 2e9))
	// Output:
	// 76 0 true
	// 77 2750 true
	// 78 3050 true
	// 3050000000 false
	// 2750000000 false
	// 99000 tell 1 no 0 1 entries from 1 last 1
	// 99000 tell 2 no 0 1 entries from 1 last 1
	// 99000 ask 1 no 4 behind 1 of 201
	// 99000 ask 2 no 5 behind 0 of 301
	// 99000 wake after 250
	// 0 true
}
