package session

import "fmt"

// trace drives the first gateway of a fleet of three, and prints its decisions.
type trace struct {
	s              *Sessions
	complete       bool   // client positions cover all that their sessions wrote
	lastFenceID    uint64 // of the latest fence
	lastRequestIDs [3]uint64
}

func newTrace(change ...func(*Config)) *trace {
	config := DefaultConfig()
	config.FleetSize = 3
	for _, c := range change {
		c(&config)
	}
	s, err := New(config, 1, 100)
	if err != nil {
		panic(err)
	}
	s.lastRequestID = 0
	return (&trace{s: s}).at(1000)
}

func (t *trace) at(ms int64) *trace { t.s.SetTime(ms * 1e6); return t }

func (t *trace) printDecisions() *trace {
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
			t.lastFenceID = d.RequestID
			fmt.Println("request", d.RequestID, "to the primary of group", d.Group)
		case RequestEntries:
			t.lastRequestIDs[d.Peer] = d.RequestID
			fmt.Println("request", d.RequestID, "to gateway", d.Peer, "after", d.Page.Last, "of epoch", d.Page.Epoch)
		case SendEntries:
			fmt.Printf("send to gateway %d for request %d: %d entries from %d, last %d\n", d.Peer, d.RequestID, len(d.Page.Entries), d.Page.First, d.Page.Last)
		case Wake:
			fmt.Println("wake after", d.Delay/1e6)
		case Log:
			fmt.Println("log:", d.Text)
		}
	}
}

func (t *trace) read(id uint64, session uint64, clientPosition Position) *trace {
	t.s.AddRead(id, 0, session, clientPosition, t.complete, t.s.now+500e6)
	return t
}

// respond delivers a page of a peer, as the response to the latest request or unrequested.
func (t *trace) respond(from int, isResponse bool, epoch, last uint64, first uint64, positions ...Position) *trace {
	requestID := uint64(0)
	if isResponse {
		requestID = t.lastRequestIDs[from]
	}
	p := Page{Epoch: epoch, Last: last, First: first}
	for _, m := range positions {
		p.Entries = append(p.Entries, Entry{Kind: CommitEntry, Key: 7, Position: m})
	}
	t.s.HandlePage(from, requestID, p)
	return t
}

// completeFence responds to the latest fence.
func (t *trace) completeFence(p Position) *trace {
	t.s.FenceCompleted(0, t.lastFenceID, p)
	return t
}

// processSilently takes decisions without printing them.
func (t *trace) processSilently() *trace {
	for d, ok := t.s.Next(); ok; d, ok = t.s.Next() {
		switch d.Kind {
		case Fence:
			t.lastFenceID = d.RequestID
		case RequestEntries:
			t.lastRequestIDs[d.Peer] = d.RequestID
		}
	}
	return t
}

// connected returns a gateway that has received a page of both others, and then its primary's position.
func connected(change ...func(*Config)) *trace {
	t := newTrace(change...)
	t.processSilently()
	t.respond(1, true, 201, 0, 1).respond(2, true, 301, 0, 1)
	t.read(99, 7, 0)
	t.processSilently()
	t.completeFence(5000)
	t.processSilently()
	return t
}

// A gateway without state asks the primary; a fence covers what the others recorded before their first response.
func Example_gatewayWithoutState() {
	t := newTrace().read(1, 7, 0).printDecisions()
	t.at(1001).respond(1, true, 201, 40, 41).respond(2, true, 301, 12, 13).printDecisions()
	t.at(1002).completeFence(5000) // requested before the last loss: it covers the read, not the group
	t.printDecisions().read(2, 7, 0).printDecisions()
	t.at(1003).completeFence(6000)
	t.printDecisions().read(3, 7, 0).printDecisions()
	// Output:
	// 1000 request 1 to the primary of group 0
	// 1000 request 2 to gateway 1 after 0 of epoch 0
	// 1000 request 3 to gateway 2 after 0 of epoch 0
	// 1000 wake after 50
	// 1002 serve 1 from 5000
	// 1002 request 4 to the primary of group 0
	// 1003 serve 2 from 6000
	// 1003 request 5 to gateway 1 after 40 of epoch 201
	// 1003 request 6 to gateway 2 after 12 of epoch 301
	// 1003 wake after 3
}

// One query to both others serves all reads that wait when it starts; later ones wait for the next.
func Example_peerQuery() {
	t := connected().at(1100).read(1, 7, 0).read(2, 8, 0).printDecisions()
	t.read(3, 8, 0).printDecisions()
	t.at(1101).respond(1, true, 201, 2, 1, 7000, 8000).respond(2, true, 301, 0, 1).printDecisions()
	// Output:
	// 1100 request 4 to gateway 1 after 0 of epoch 201
	// 1100 request 5 to gateway 2 after 0 of epoch 301
	// 1100 wake after 3
	// 1101 serve 1 from 8000
	// 1101 serve 2 from 5000
	// 1101 request 6 to gateway 1 after 2 of epoch 201
	// 1101 request 7 to gateway 2 after 0 of epoch 301
}

// A message is lost: the peer that has not responded is asked again within the query, and either response counts.
func Example_lostMessage() {
	t := connected().at(1100).read(1, 7, 0).printDecisions()
	t.respond(2, true, 301, 0, 1).at(1104).printDecisions()
	t.at(1105).respond(1, true, 201, 1, 1, 7000).printDecisions()
	// Output:
	// 1100 request 4 to gateway 1 after 0 of epoch 201
	// 1100 request 5 to gateway 2 after 0 of epoch 301
	// 1100 wake after 3
	// 1104 request 6 to gateway 1 after 0 of epoch 201
	// 1104 wake after 2
	// 1105 serve 1 from 7000
}

// One of several pages is lost: the query does not end before the next request fills the gap.
func Example_gap() {
	t := connected().at(1100).read(1, 7, 0).printDecisions()
	t.at(1101).respond(2, true, 301, 0, 1).respond(1, true, 201, 10, 9, 7000, 8000).printDecisions()
	t.at(1111).printDecisions()
	t.at(1112).completeFence(9000)
	t.printDecisions().at(1120).read(2, 7, 0).printDecisions()
	t.at(1121).respond(2, true, 301, 0, 1).respond(1, true, 201, 10, 1, 1, 1, 1, 1, 1, 1, 1, 1).respond(1, true, 201, 10, 9, 7000, 8000).printDecisions()
	// Output:
	// 1100 request 4 to gateway 1 after 0 of epoch 201
	// 1100 request 5 to gateway 2 after 0 of epoch 301
	// 1100 wake after 3
	// 1111 request 6 to the primary of group 0
	// 1111 wake after 50
	// 1112 serve 1 from 9000
	// 1120 request 7 to gateway 1 after 0 of epoch 201
	// 1120 request 8 to gateway 2 after 0 of epoch 301
	// 1120 wake after 3
	// 1121 serve 2 from 8000
}

// A page of another run that was not requested changes nothing; as a response it is a loss, and each group is fenced
// once.
func Example_otherEpoch() {
	t := connected().at(1100).respond(1, false, 777, 9, 9, 8000).read(1, 7, 0).printDecisions()
	t.at(1101).respond(1, true, 202, 0, 1).respond(2, true, 301, 0, 1).printDecisions()
	t.at(1102).completeFence(9000)
	t.printDecisions()
	// Output:
	// 1100 request 4 to gateway 1 after 0 of epoch 201
	// 1100 request 5 to gateway 2 after 0 of epoch 301
	// 1100 wake after 3
	// 1101 log: gateway 1: notes lost from 0 to 0, each group is fenced once
	// 1101 request 6 to the primary of group 0
	// 1102 serve 1 from 9000
}

// A fence requested before a loss covers the reads that waited for it, but not the lost entries.
func Example_lossDuringFence() {
	t := newTrace().read(1, 7, 0).printDecisions()
	t.respond(1, true, 201, 5, 6).at(1005)
	t.completeFence(5000)
	t.printDecisions().read(2, 7, 0).printDecisions()
	// Output:
	// 1000 request 1 to the primary of group 0
	// 1000 request 2 to gateway 1 after 0 of epoch 0
	// 1000 request 3 to gateway 2 after 0 of epoch 0
	// 1000 wake after 50
	// 1005 serve 1 from 5000
	// 1005 request 4 to the primary of group 0
}

// An unresponsive gateway costs the reads one failed query, then a fence each, until it responds again.
func Example_unresponsivePeer() {
	t := connected().at(1100).read(1, 7, 0).printDecisions()
	t.at(1101).respond(2, true, 301, 0, 1).at(1110).printDecisions()
	t.at(1111).completeFence(9000)
	t.printDecisions().at(1120).read(2, 7, 0).printDecisions()
	t.at(1121).completeFence(9100)
	t.printDecisions().at(1400).printDecisions().respond(1, true, 201, 0, 1).read(3, 7, 0).printDecisions()
	// Output:
	// 1100 request 4 to gateway 1 after 0 of epoch 201
	// 1100 request 5 to gateway 2 after 0 of epoch 301
	// 1100 wake after 3
	// 1110 log: gateway 1 does not answer, reads are fenced, notes held to 0
	// 1110 request 6 to the primary of group 0
	// 1110 request 7 to gateway 1 after 0 of epoch 201
	// 1110 wake after 20
	// 1111 serve 1 from 9000
	// 1120 request 8 to the primary of group 0
	// 1121 serve 2 from 9100
	// 1400 request 9 to gateway 1 after 0 of epoch 201
	// 1400 request 10 to gateway 2 after 0 of epoch 301
	// 1400 wake after 40
	// 1400 log: gateway 1 answers again after 290 ms, notes held to 0 of 0
	// 1400 request 11 to gateway 1 after 0 of epoch 201
	// 1400 request 12 to gateway 2 after 0 of epoch 301
	// 1400 wake after 3
}

// No primary reports its position: reads wait for its successor as long as their time allows, then are refused with a
// delay after which to retry.
func Example_noPrimary() {
	t := newTrace(func(c *Config) { c.FleetSize = 1 }).read(1, 7, 0).read(2, 7, 0).printDecisions()
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
	t.at(1438).printDecisions()
	// Output:
	// 1000 request 1 to the primary of group 0
	// 1000 wake after 50
	// group 0: no primary tells its position, 2 reads wait
	// 1438 refuse 1 for 200
}

// A client's position is trusted up to where its group is known to be; a higher one is bounded by the primary, so that
// no client can pin a session to it.
func Example_clientPositions() {
	t := connected().at(1100)
	t.complete = true
	t.read(1, 7, 4000).read(2, 7, 0).read(3, 7, 999e15).printDecisions()
	t.at(1101).completeFence(9000)
	t.printDecisions()
	// Output:
	// 1100 serve 1 from 4000
	// 1100 serve 2 from 0
	// 1100 request 4 to the primary of group 0
	// 1100 wake after 50
	// 1101 serve 3 from 9000
}

// Restored entries may be out of reach, until a replica reports a position beyond them: then neither they nor client
// positions up to there need a primary. Higher positions still do.
func Example_replicaReachesFloor() {
	t := newTrace(func(c *Config) { c.FleetSize = 1 })
	t.s.Restore([]Change{{Kind: FloorSet, Entry: Entry{Position: 2000}}, {Kind: EntryRecorded, Entry: Entry{Kind: CommitEntry, Key: 7, Position: 3000}}})
	t.at(2500).read(1, 7, 0).read(2, 7, 4000).read(3, 7, 9000).printDecisions()
	t.complete = true
	t.at(2501).read(4, 7, 4000)
	t.s.RecordMemberPosition(0, 2900) // below all of them
	t.s.FenceFailed(0, t.lastFenceID)
	t.printDecisions().s.RecordMemberPosition(0, 5000)
	t.printDecisions()
	// Output:
	// 2500 request 1 to the primary of group 0
	// 2500 wake after 50
	// 2501 wake after 5
	// 2501 serve 4 from 4000
	// 2501 serve 1 from 3000
	// 2501 serve 2 from 4000
}

// A floor that the primary has not reached long after is lowered to the primary's position: the commit was lost in a
// failover. Until then reads need the primary.
func Example_lostCommit() {
	t := newTrace(func(c *Config) { c.FleetSize = 1 }).read(1, 7, 0).printDecisions()
	t.completeFence(5e9)
	t.printDecisions().s.RecordCommit(0, 7, 9e9) // the primary fails with it, and its successor is at 6 s
	t.at(1500).read(2, 7, 0).printDecisions()
	t.at(2600).read(3, 8, 0).printDecisions()
	t.at(2700).s.RecordCommit(0, 8, 6e9)
	t.read(4, 7, 0).printDecisions().at(2701).completeFence(61e8)
	t.printDecisions().at(12600).read(5, 9, 0).printDecisions()
	// Output:
	// 1000 request 1 to the primary of group 0
	// 1000 wake after 50
	// 1000 serve 1 from 5000000000
	// 1500 serve 2 from 9000000000
	// 2600 serve 3 from 5000000000
	// 2700 request 2 to the primary of group 0
	// 2700 wake after 50
	// 2701 serve 4 from 6100000000
	// 12600 serve 5 from 5000000000
}

// A commit without a position is a loss, here and at each gateway that receives it: each group is fenced once.
func Example_commitWithoutPosition() {
	t := connected()
	t.s.RecordCommit(0, 7, 0)
	t.read(1, 7, 0).printDecisions().respond(1, false, 201, 1, 1, 0).at(1001)
	t.completeFence(6000)
	t.printDecisions().read(2, 7, 0).printDecisions()
	// Output:
	// 1000 request 4 to the primary of group 0
	// 1000 wake after 2
	// 1001 serve 1 from 6000
	// 1001 request 5 to the primary of group 0
}

// A keyed write is not sent again after its window, which begins when any gateway first sent it, nor to another group.
func Example_keyedWriteRetries() {
	t := connected().at(1100)
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
	t.at(99000).printDecisions()
	fmt.Println(t.s.RetryDeadline(2, 77, 2e9))
	// Output:
	// 76 0 true
	// 77 2750 true
	// 78 3050 true
	// 3050000000 false
	// 2750000000 false
	// 99000 send to gateway 1 for request 0: 1 entries from 1, last 1
	// 99000 send to gateway 2 for request 0: 1 entries from 1, last 1
	// 99000 request 4 to gateway 1 after 1 of epoch 201
	// 99000 request 5 to gateway 2 after 0 of epoch 301
	// 99000 wake after 250
	// 0 true
}
