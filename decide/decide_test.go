package decide

import (
	"fmt"
	"strings"
)

// Step 3: a read with a token goes to the replica that is known to have reached the token.
func Example_provenReplica() {
	t := open().list("a b c")
	t.txn(1, 3, 0).printRound().end(1, 0, "a", Committed, 1, 10000).printRound()
	t.at(10100).txn(2, 2, 0).txn(3, 2, 0).printRound()
	t.end(2, 0, "b", Committed, 2, 10090).end(3, 0, "c", Committed, 2, 9000)
	t.at(10200).txn(4, 0, 150).txn(5, 0, 150).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10100 submit 2 to b
	//  10100 submit 3 to c
	//  10200 submit 4 to b
	//  10200 submit 5 to b
}

// Steps 4 and 5 on servers that do not check: wait until the position of some replica is known, then use the
// primary; never an unproven replica.
func Example_waitThenPrimary() {
	t := open("await", "none").list("a* b c")
	t.txn(1, 0, 50).run(10150) // only the list names a as primary, which is enough for a read
	t.txn(2, 3, 0).printRound().end(2, 0, "a", Committed, 1, 10150).printRound()
	t.end(1, 0, "a", Committed, 1, 10200).at(10400).txn(3, 0, 50).printRound()
	t.at(10450).txn(4, 2, 0).printRound().end(4, 0, "c", Committed, 2, 10440).printRound()
	t.at(10500).txn(5, 0, 40).run(10650)
	// Output:
	// 10150 submit 2 to a
	//  10150 submit 1 to a
	//  10450 submit 4 to c
	//  10450 submit 3 to c
	//  10650 submit 5 to a
}

// Step 4 on servers that check: the server waits for the position, its refusal ends the wait, and the
// primary is step 5.
func Example_refusalThenPrimary() {
	t := open().list("a* b c")
	t.txn(1, 0, 50).printRound().at(10025).end(1, 0, "b", NotEligible, 2, 9000).printRound()
	// Output:
	// 10000 submit 1 to b
	//  10025 submit 1 to a
}

// Step 6: a read with a staleness bound needs a replica that is proven to be within the bound.
func Example_bounded() {
	t := open("await", "none").list("a* b c").txn(1, 3, 0).printRound()
	t.end(1, 0, "a", Committed, 1, 10000).txn(2, 2, 0).txn(3, 2, 0).printRound()
	t.end(2, 0, "b", Committed, 2, 9990).end(3, 0, "c", Committed, 2, 9000)
	t.txn(4, 1, 0).txn(5, 1, 0).printRound().at(10400).txn(6, 1, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to b
	//  10000 submit 3 to c
	//  10000 submit 4 to b
	//  10000 submit 5 to b
	//  10400 cancel 4/0
	//  10400 cancel 5/0
	//  10400 submit 6 to a
}

// Step 1 without a primary: members in turn, one write at a time, then a short pause.
func Example_primarySearch() {
	t := open().list("a b").txn(1, 3, 0).txn(2, 3, 0).printRound()
	t.at(10010).end(1, 0, "a", NotEligible, 2, 10000).printRound()
	t.at(10020).end(2, 0, "b", NotEligible, 2, 10000).printRound().run(10100)
	t.end(1, 1, "a", Committed, 1, 10100).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10010 submit 2 to b
	//  10060 submit 1 to a
	//  10100 submit 2 to a
}

// Once-only txns: a second submission or a rejection only if the first submission cannot have run.
func Example_onceOnly() {
	t := open().list("a* b").txn(1, 3, 0).txn(2, 3, 0).txn(3, 3, 0).printRound()
	t.at(10100).end(1, 0, "a", TimedOut, 0, 0).end(2, 0, "a", AtCapacity, 1, 10090).printRound().run(10110)
	t.run(11000)
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to a
	//  10000 submit 3 to a
	//  10100 roll back 1
	//  10190 submit 2 to a
	//  10990 roll back 2
	//  10990 roll back 3
}

// Keyed txns: sent again within the deduplication window, rolled back after it, since only their own group
// drops a duplicate.
func Example_dedupWindow() {
	t := open().list("a* b").txn(1, 4, 0).txn(2, 4, 0).printRound()
	t.at(10100).end(1, 0, "a", Failed, 2, 0).printRound().end(1, 1, "b", NotEligible, 1, 10100).printRound()
	t.at(10850).end(2, 0, "a", Broken, 0, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to a
	//  10100 submit 1 to b
	//  10850 roll back 1
	//  10850 roll back 2
}

// Drains: nothing is sent to a member once the list excludes it, nor to one that is missing from a full
// list.
func Example_drain() {
	t := open().list("a b c").list("a- b").txn(1, 2, 0).txn(2, 2, 0).txn(3, 3, 0).printRound()
	soft := open(`"tickMs"`, `"x":0,"tickMs"`, `"coldFrom"`, `"softRemoval":true,"coldFrom"`)
	soft.list("a b").list("a-").txn(4, 2, 0).txn(5, 2, 0).printRound()
	t.at(10100).list("a b").txn(6, 3, 0).printRound()
	// Output:
	// 10000 submit 3 to b
	//  10000 submit 1 to b
	//  10000 submit 2 to b
	//  10000 submit 4 to b
	//  10000 submit 5 to b
	//  10100 submit 6 to a
}

// A cold member gets a fraction of what its busiest warm peer gets; a fresh one starts with one submission.
func Example_cold() {
	t := open().list("a b!")
	for id := uint64(1); id <= 12; id++ {
		t.txn(id, 2, 0)
	}
	t.printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to a
	//  10000 submit 3 to a
	//  10000 submit 4 to a
	//  10000 submit 5 to a
	//  10000 submit 6 to a
	//  10000 submit 7 to a
	//  10000 submit 8 to a
}

// Silence with work in flight makes a member suspect: its reads move elsewhere, it gets occasional trials,
// and an answer clears it.
func Example_silence() {
	t := open().list("a b")
	for id := uint64(1); id <= 8; id++ {
		t.txn(id, 2, 0)
	}
	t.printRound().at(10020).end(2, 0, "b", Committed, 2, 10000)
	t.hideLog = false
	t.run(10700)
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to b
	//  10000 submit 3 to a
	//  10000 submit 4 to b
	//  10000 submit 5 to a
	//  10000 submit 6 to b
	//  10000 submit 7 to a
	//  10000 submit 8 to b
	//  10220 cancel 1/0
	//  10220 cancel 3/0
	//  10220 cancel 4/0
	//  10220 cancel 5/0
	//  10220 cancel 6/0
	//  10220 cancel 7/0
	//  10220 cancel 8/0
	//  10220 log: member 98.0.0.0:0 suspect: silent, 3 in flight, quiet for 200 ms
	//  10220 log: member 97.0.0.0:0 suspect: silent with its group, 4 in flight, quiet for 220 ms
}

// A suspect primary gets reads as trials: without them nothing would show that it answers again.
func Example_suspectPrimary() {
	t := open().list("a* b").txn(1, 3, 0).printRound().at(10010).end(1, 0, "a", Committed, 1, 10000)
	t.txn(2, 3, 0).printRound().at(10020).end(2, 0, "a", Unreachable, 0, 0).printRound()
	t.txn(3, 2, 0).at(10300).txn(4, 2, 0).txn(5, 3, 0).printRound()
	t.at(10320).end(4, 0, "a", Committed, 1, 10310).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10010 submit 2 to a
	//  10020 submit 2 to b
	//  10300 reject 3
	//  10300 submit 4 to a
	//  10320 submit 5 to a
}

// When every member is silent, the fault is more likely in the gateway or its network, and none is avoided.
// Where every connection fails, single trials go on, at a rate that a newly started server can handle.
func Example_allSuspect() {
	t := open().list("a b").txn(1, 2, 0).txn(2, 2, 0).printRound()
	t.at(10500).end(1, 0, "a", TimedOut, 0, 0).end(2, 0, "b", TimedOut, 0, 0).txn(3, 2, 0).printRound()
	lost := open().list("a b").txn(4, 2, 0).txn(5, 2, 0).printRound()
	lost.end(4, 0, "a", Unreachable, 0, 0).end(5, 0, "b", Unreachable, 0, 0).printRound()
	lost.at(10240).txn(6, 2, 0).run(10300)
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to b
	//  10500 reject 1
	//  10500 reject 2
	//  10500 submit 3 to b
	//  10000 submit 4 to a
	//  10000 submit 5 to b
	//  10250 reject 4
	//  10250 reject 5
	//  10250 submit 6 to a
}

// A member that returns after lost connections may be cold, whatever the list says about it.
func Example_coldAfterLostConnections() {
	t := open().list("a b").txn(1, 2, 0).txn(2, 2, 0).printRound()
	t.end(1, 0, "a", Committed, 2, 9990).end(2, 0, "b", Broken, 0, 0).printRound()
	t.at(10020).end(2, 1, "a", Committed, 2, 10010).printRound()
	t.at(11500).txn(3, 2, 0).txn(4, 2, 0).printRound().at(11520)
	t.end(3, 0, "a", Committed, 2, 11510).end(4, 0, "b", Committed, 2, 11510)
	for id := uint64(5); id < 10; id++ {
		t.txn(id, 2, 0)
	}
	t.printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to b
	//  10000 submit 2 to a
	//  11500 submit 3 to a
	//  11500 submit 4 to b
	//  11520 submit 5 to a
	//  11520 submit 6 to a
	//  11520 submit 7 to a
	//  11520 submit 8 to a
	//  11520 submit 9 to a
}

// Removed members are deleted with all their state once the list drops them; submissions in flight to them
// still end normally. A server that reuses the address is a different one: none of its positions are proven.
func Example_removedMembers() {
	t := open().list("a")
	for i := range 1000 {
		id := uint64(i + 1)
		t.at(t.clock+100).txn(id, 2, 0).txn(5000+id, 0, 50).each(func(Decision) {})
		next := Server{byte(i), byte(i >> 8), 1}
		old := t.g.txns[id].submissions[0].member.id
		t.g.UpdateMember(next, 0, false, Ready, 0, 1, 0, 0)
		t.g.UpdateMember(old, 0, false, Draining, 0, 1, 0, 0)
		t.g.EndMemberList(Delta)
		t.g.UpdateMember(old, 0, false, Removed, 0, 1, 0, 0)
		t.g.EndMemberList(Delta)
		t.g.SubmissionEnded(id, 0, old, Committed, Millis(20), RoleReplica, Millis(t.clock), true, nil)
		read := t.g.txns[5000+id]
		t.g.ClientGone(read.id)
		for no, s := range read.submissions {
			t.g.SubmissionEnded(read.id, no, s.member.id, Cancelled, Millis(20), 0, 0, true, nil)
		}
	}
	t.at(t.clock + 10000).each(func(Decision) {})
	fmt.Println(len(t.g.members), len(t.g.groups[0].members), len(t.g.needingPosition), len(t.g.txns), len(t.g.unserved))
	t.list("a").list("").list("a")
	fmt.Println(t.g.members[Server{'a'}].position)
	// Output:
	// 1 1 0 0 0
	// 0
}

// Connections that break one at a time, with answers or a probe in between, do not make a member suspect,
// nor do they make connections scarce: the connection or the answer may be at fault. Five in a row do, and
// so does a probe that finds no server; a probe that is reset shows nothing.
func Example_brokenConnections() {
	t := open(`"probes":false`, `"probes":true`).list("a b").txn(1, 2, 0).txn(2, 2, 0).printRound()
	t.hideLog = false
	t.end(1, 0, "a", Broken, 0, 0).end(2, 0, "b", ResetBeforeSend, 0, 0).printRound().at(10001)
	t.g.ProbeEnded(Server{'a'}, ResetBeforeSend, Millis(1), nil)
	t.g.ProbeEnded(Server{'b'}, TimedOut, Millis(1), nil)
	t.printRound().end(1, 1, "a", Committed, 2, 10000).end(2, 1, "b", Committed, 2, 10000).printRound()
	for id := uint64(3); id < 12; id++ {
		t.at(t.clock+10).txn(id, 2, 0).each(func(d Decision) {
			if d.Kind == Submit && d.Server == (Server{'a'}) && id < 8 {
				t.g.SubmissionEnded(id, len(t.g.txns[id].submissions)-1, d.Server, ResetBeforeSend, Millis(1), 0, 0, false, nil)
			} else if d.Kind == Log {
				fmt.Println(d.Text)
			}
		})
	}
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to b
	//  10000 submit 1 to a
	//  10000 submit 2 to b
	//  10000 probe a
	//  10000 probe b
	//  10001 probe a
	//  10001 log: member 98.0.0.0:0 suspect: refuses connections and probes, 1 in flight, quiet for 1 ms
	// member 97.0.0.0:0 suspect: connections broken, 0 in flight, quiet for 0 ms
}

// Two members claim to be primary: the newest answer wins, and a refusal ends a claim at once.
func Example_twoPrimaries() {
	t := open().list("a b").txn(1, 2, 0).txn(2, 2, 0).printRound()
	t.end(1, 0, "a", Committed, 1, 9990).end(2, 0, "b", Committed, 1, 9990).txn(3, 3, 0).printRound()
	t.at(10010).end(3, 0, "b", NotEligible, 2, 10000).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to b
	//  10000 submit 3 to b
	//  10010 submit 3 to a
}

// Stored tokens apply until every replica is known to have reached them, then any replica will do again.
func Example_keptToken() {
	t := open("brought", "kept").list("a* b c").txn(1, 3, 0).printRound().at(10010).end(1, 0, "a", Committed, 1, 10005)
	t.txn(2, 0, 0).printRound().at(10050).end(2, 0, "b", Committed, 2, 10020).printRound()
	t.txn(3, 0, 0).txn(4, 2, 0).printRound().at(10060).end(4, 0, "c", Committed, 2, 10030).txn(5, 0, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10010 submit 2 to b
	//  10050 submit 3 to b
	//  10050 submit 4 to c
	//  10060 submit 5 to c
}

// A client's retry with too little of its limit left to meet the SLA time waits behind the others.
func Example_lateRetry() {
	t := open().list("a")
	for id := uint64(1); id <= 6; id++ {
		t.txn(id, 2, 0)
	}
	t.g.AddTxn(7, 2, 0, 7, Millis(300), 0, 0, 0)
	t.txn(8, 2, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to a
	//  10000 submit 3 to a
	//  10000 submit 4 to a
	//  10000 submit 5 to a
	//  10000 submit 6 to a
	//  10000 submit 8 to a
}

// A replica that reads skip for lack of proof is probed for its position, where reports carry positions.
func Example_positionProbe() {
	reports := `"how":"probe","fields":["x0","x1"]`
	probes := open("await", "none", `"how":"none","fields":[]`, reports, `"probes":false`, `"probes":true`)
	probes.list("a* b").txn(4, 1, 0).printRound().at(10100).txn(5, 1, 0).printRound()
	probes.at(10210).g.ProbeEnded(Server{'b'}, Committed, Millis(3), []float64{10.2, 0})
	probes.txn(6, 1, 0).printRound()
	// Output:
	// 10000 probe b
	//  10210 reject 4
	//  10210 submit 6 to b
	//  10210 submit 5 to b
}

// While no primary is known the members of each group are asked for their position in turn, however many groups ask by turns and
// whichever members come and go: a member that hangs is never the only one that is asked.
func Example_positionSource() {
	t := open()
	for _, m := range []string{"0a", "0b", "1c", "1d"} {
		t.g.UpdateMember(Server{m[1]}, int(m[0]-'0'), false, Ready, 0, 1, 0, 0)
	}
	t.g.EndMemberList(FullList)
	ask := func(groups ...int) {
		var asked []string
		for _, group := range groups {
			server, _, _ := t.g.PositionSource(group)
			asked = append(asked, string(server[0]))
		}
		fmt.Println(asked)
	}
	ask(0, 1, 0, 1, 0, 1)
	t.g.UpdateMember(Server{'e'}, 0, false, Ready, 0, 1, 0, 0)
	ask(0, 0, 0, 0)
	_, _, ok := t.g.PositionSource(2)
	fmt.Println(ok)
	// Output:
	// [a c b d a c]
	// [e b a e]
	// false
}

// Where nothing but reads that any member may answer arrives, no primary becomes known by them. A host that needs one has all
// members probed, at growing intervals, until one of them tells that it is the primary.
func Example_seekPrimary() {
	reports := `"how":"probe","fields":["x0","x1"]`
	t := open(`"how":"none","fields":[]`, reports, `"probes":false`, `"probes":true`).list("a b c")
	probed := map[byte]int{}
	seek := func(until float64) {
		for ; t.clock < until; t.at(t.clock + 100) {
			t.g.SeekPrimary(0)
			for d, ok := t.g.Next(); ok; d, ok = t.g.Next() {
				if d.Kind == Probe {
					probed[d.Server[0]]++
				}
			}
		}
	}
	seek(10_300)
	fmt.Println(probed['a'], probed['b'], probed['c'])
	seek(40_000)
	fmt.Println(probed['a'] > 4, probed['a'] < 12)
	t.g.ProbeEnded(Server{'b'}, Committed, Millis(2), []float64{40, 1})
	clear(probed)
	seek(60_000)
	fmt.Println(len(probed))
	// Output:
	// 1 1 1
	// true true
	// 0
}

// Reads give way on a primary whose writes are queued or whose latency rises.
func Example_writesFirst() {
	t := open("await", "none").list("a*").txn(1, 3, 0).printRound().at(10250).end(1, 0, "a", Committed, 1, 10240)
	for id := uint64(2); id <= 7; id++ {
		t.txn(id, 1, 0)
	}
	t.printRound().txn(8, 3, 0).txn(9, 3, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10250 submit 2 to a
	//  10250 submit 3 to a
	//  10250 submit 4 to a
	//  10250 submit 5 to a
	//  10250 submit 6 to a
	//  10250 submit 7 to a
	//  10250 submit 8 to a
	//  10250 submit 9 to a
}

// The list must be requested: failed requests are retried with backoff, well within the time that the rules
// allow.
func Example_subscribeBackoff() {
	t := open(`"push"`, `"ask"`)
	t.hideLog = false
	t.g.UpdateMember(Server{'a'}, 0, false, Ready, 0, 1, 0, 0)
	t.g.EndMemberList(CachedList)
	t.run(10300).g.MemberListFailed()
	t.run(11000).g.MemberListFailed()
	t.run(12000).g.EndMemberList(Delta)
	t.run(12050)
	// Output:
	// 10090 subscribe to the list
	//  10530 subscribe to the list
	//  11270 subscribe to the list
	//  12010 log: list followed, 1 members
}

// A pushed list comes to a host that asks for it: the first request is made at once, and a failed one is repeated well within
// the grace for drains however often it has failed. A host to which lists come by themselves requests none.
func Example_subscribeToPushedList() {
	for _, byRequest := range []string{"true", "false"} {
		t := open(`"push"`, `"push","listByRequest":`+byRequest, `"askWithinMs":10000,`, ``)
		t.hideLog = false
		t.g.UpdateMember(Server{'a'}, 0, false, Ready, 0, 1, 0, 0)
		t.g.EndMemberList(CachedList)
		for at := 10100.0; at < 10700; at += 200 {
			t.run(at).g.MemberListFailed()
		}
		t.run(10900).g.EndMemberList(Delta)
		t.run(10950)
	}
	// Output:
	// 10010 subscribe to the list
	//  10200 subscribe to the list
	//  10360 subscribe to the list
	//  10600 subscribe to the list
	//  10910 log: list followed, 1 members
}

// Every txn gets one final answer before it expires, and later events change nothing.
func Example_finalAnswer() {
	t := open().list("a").txn(1, 2, 0).txn(2, 3, 0).txn(3, 0, 5).printRound()
	t.run(11000).end(1, 0, "a", TimedOut, 0, 0).end(2, 0, "a", Committed, 1, 10900).printRound()
	t.txn(4, 9, 0)
	// Output:
	// 10000 submit 2 to a
	//  10000 submit 3 to a
	//  10000 submit 1 to a
	//  10350 cancel 1/0
	//  10350 cancel 3/0
	//  10990 reject 1
	//  10990 roll back 2
	//  10990 reject 3
	// txn type 9 is not in the settings
}

// The list keeps naming a former primary: that member's own refusal outweighs the list, and an answer's role
// identifies the new primary.
func Example_formerPrimaryInList() {
	t := open().list("a* b c").txn(1, 3, 0).printRound().at(10010).end(1, 0, "a", NotEligible, 2, 10000).printRound()
	t.at(10020).end(1, 1, "b", NotEligible, 2, 10010).printRound().at(10030).end(1, 2, "c", Committed, 1, 10025)
	t.at(10040).list("a* b c").txn(2, 3, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10010 submit 1 to b
	//  10020 submit 1 to c
	//  10040 submit 2 to c
}

// A probe's answer shows that a process runs, not that it serves: the member stays suspect until it answers
// a txn.
func Example_answersProbesOnly() {
	reports := `"how":"probe","fields":["x0","x1"]`
	t := open(`"how":"none","fields":[]`, reports, `"probes":false`, `"probes":true`).list("a b")
	t.txn(1, 2, 0).txn(2, 2, 0).printRound().end(1, 0, "a", Unreachable, 0, 0).printRound()
	t.g.ProbeEnded(Server{'a'}, Committed, Millis(2), []float64{9.9, 0})
	t.at(10050).end(2, 0, "b", Committed, 2, 10040).txn(3, 2, 0).txn(4, 2, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to b
	//  10000 submit 1 to b
	//  10050 submit 3 to b
	//  10050 submit 4 to b
}

// A stale report neither lowers a proven position nor outweighs the role in an answer.
func Example_frozenReport() {
	reports := `"how":"probe","fields":["x0","x1"]`
	t := open("await", "none", `"how":"none","fields":[]`, reports, `"probes":false`, `"probes":true`)
	t.list("a b")
	t.txn(1, 3, 0).printRound().end(1, 0, "a", Committed, 1, 10000).txn(2, 2, 0).printRound()
	t.at(10010).end(2, 0, "b", Committed, 2, 10005)
	t.g.ProbeEnded(Server{'b'}, Committed, Millis(2), []float64{3, 1})
	t.txn(3, 0, 50).txn(4, 3, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 probe b
	//  10000 submit 2 to b
	//  10010 submit 4 to a
	//  10010 submit 3 to b
}

// After a restart: one request for the list, no probe, and writes find their primary one at a time.
func Example_restart() {
	t := open(`"push"`, `"ask"`, `"probes":false`, `"probes":true`)
	for _, m := range "abcd" {
		t.g.UpdateMember(Server{byte(m)}, 0, false, Ready, 0, 1, 0, 0)
	}
	t.g.EndMemberList(CachedList)
	t.txn(1, 3, 0).txn(2, 3, 0).txn(3, 3, 0).txn(4, 2, 0).printRound().run(10120)
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 4 to b
	//  10060 submit 2 to b
	//  10090 subscribe to the list
	//  10120 submit 3 to c
}

// A primary that serves reads but blocks writes keeps its reads; its writes are answered in time, as no
// other member can take them.
func Example_readsButNoWrites() {
	t := open().list("a*").txn(1, 3, 0).printRound()
	for id := uint64(2); id < 8; id++ {
		t.at(t.clock+150).txn(id, 2, 0).printRound().end(id, 0, "a", Committed, 1, t.clock)
	}
	t.txn(20, 3, 0).printRound().txn(21, 3, 0).run(10990)
	// Output:
	// 10000 submit 1 to a
	//  10450 reject 2
	//  10450 submit 4 to a
	//  10600 reject 3
	//  10600 submit 5 to a
	//  10750 submit 6 to a
	//  10900 submit 7 to a
	//  10900 submit 20 to a
	//  10910 submit 21 to a
	//  10990 roll back 1
}

// Positions that do not advance, as during an election: reads that need more wait or are rejected, others go
// on.
func Example_positionsStandStill() {
	t := open("await", "none").list("a* b").txn(1, 2, 0).printRound().at(10010).end(1, 0, "b", Committed, 2, 10000)
	t.txn(2, 3, 0).printRound().at(10020).end(2, 0, "a", Unreachable, 0, 0).printRound()
	t.at(10400).txn(3, 0, 100).txn(4, 1, 0).txn(5, 2, 0).run(10700)
	// Output:
	// 10000 submit 1 to b
	//  10010 submit 2 to a
	//  10410 submit 2 to b
	//  10410 submit 5 to b
	//  10610 reject 3
	//  10610 reject 4
}

// Members that answer other gateways refuse connections: none becomes suspect, they get a short pause, and
// idle connections are closed so that other gateways can connect.
func Example_connectionsScarce() {
	t := open(`"cancelling"`, `"connectTimeoutMs":250,"cancelling"`).list("a b c").txn(1, 2, 0).txn(2, 2, 0).printRound()
	t.hideLog = false
	t.at(10010).end(1, 0, "c", Unreachable, 0, 0).end(2, 0, "b", Unreachable, 0, 0).run(10020)
	t.end(1, 1, "a", Unreachable, 0, 0).end(2, 1, "a", Unreachable, 0, 0).run(10170)
	t.end(1, 2, "b", Committed, 2, 10140).end(1, 2, "c", Committed, 2, 10140).printRound()
	// Output:
	// 10000 submit 1 to c
	//  10000 submit 2 to b
	//  10020 submit 1 to a
	//  10020 submit 2 to a
	//  10090 submit 2 to b
	//  10110 submit 1 to c
	//  10170 close idle connections to c
	//  10170 log: connections scarce: true, 4 refused of late
}

// A member that refuses connections and does not answer a probe is down: when it returns it gets a cold
// member's budget, not everything that was queued. One that answers the probe is overloaded with
// connections.
func Example_refusedAndDown() {
	t := open(`"cancelling"`, `"connectTimeoutMs":250,"cancelling"`, `"probes":false`, `"probes":true`)
	t.list("a* b").txn(1, 3, 0).printRound()
	t.hideLog = false
	t.at(10010).end(1, 0, "a", Unreachable, 0, 0).printRound().g.ProbeEnded(Server{'a'}, Unreachable, Millis(2), nil)
	t.txn(2, 3, 0).txn(3, 3, 0).run(10200)
	overloaded := open(`"cancelling"`, `"connectTimeoutMs":250,"cancelling"`, `"probes":false`, `"probes":true`)
	overloaded.list("a* b").txn(1, 3, 0).printRound()
	overloaded.at(10010).end(1, 0, "a", Unreachable, 0, 0).printRound().g.ProbeEnded(Server{'a'}, Committed, Millis(2), nil)
	overloaded.txn(2, 3, 0).txn(3, 3, 0).run(10200).end(1, 1, "a", Committed, 1, 10190).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10010 probe a
	//  10020 submit 1 to b
	//  10020 log: member 97.0.0.0:0 suspect: refuses connections and probes, 0 in flight, quiet for 10 ms
	//  10000 submit 1 to a
	//  10010 probe a
	//  10100 submit 1 to a
	//  10200 submit 3 to a
	//  10200 submit 2 to a
}

// A queued txn gets an early round although a later one is already scheduled: without it a txn with little
// time left was lost.
func Example_soonerWake() {
	t := open().list("a").txn(1, 2, 0)
	t.showWakes = true
	t.printRound().at(10002).txn(2, 0, 5).list("a-").printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 wake in 20 ms
	//  10002 wake in 5 ms
}

// A slow network path to another zone is not the fault of the members there: reads stay in the local zone,
// and the remote limit is not cut.
func Example_slowZone() {
	t := open(`"whenBehind":"await"`, `"whenBehind":"none"`)
	for i, m := range "abc" {
		t.g.UpdateMember(Server{byte(m)}, 0, false, Ready, i/2, 1, 0, 0)
	}
	t.g.EndMemberList(FullList)
	for id := uint64(1); id <= 3; id++ {
		t.txn(id, 2, 0)
	}
	t.printRound().end(1, 0, "a", Committed, 2, 9990).end(2, 0, "b", Committed, 2, 9990)
	t.at(10260).g.SubmissionEnded(3, 0, Server{'c'}, Committed, Millis(260), RoleReplica, Millis(9990), true, nil)
	for id := uint64(4); id <= 7; id++ {
		t.txn(id, 2, 0)
	}
	t.printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to b
	//  10000 submit 3 to c
	//  10260 submit 4 to a
	//  10260 submit 5 to b
	//  10260 submit 6 to a
	//  10260 submit 7 to b
}

// Few answers of a member, all late: its limit falls below one, and the most valuable txns go first.
func Example_limitBelowOne() {
	t := open().list("a")
	for id := uint64(1); id <= 12; id += 2 {
		t.at(t.clock+900).txn(id, 2, 0).txn(id+1, 0, 0).printRound().at(t.clock + 280)
		t.g.SubmissionEnded(id, 0, Server{'a'}, Committed, Millis(280), RoleReplica, 0, true, nil)
		t.g.SubmissionEnded(id+1, 0, Server{'a'}, Committed, Millis(280), RoleReplica, 0, true, nil)
	}
	// Output:
	// 10900 submit 2 to a
	//  10900 submit 1 to a
	//  12080 submit 4 to a
	//  12080 submit 3 to a
	//  13260 submit 6 to a
	//  13260 submit 5 to a
	//  14440 submit 8 to a
	//  14440 submit 7 to a
	//  15620 submit 10 to a
	//  16800 reject 9
	//  16800 submit 12 to a
}

// Worthless txns, which fail quickly on any member, show nothing about a member that answers nothing else.
func Example_errorsClearNothing() {
	t := open().list("a b").txn(1, 2, 0).txn(2, 2, 0).printRound().at(10020).end(2, 0, "b", Committed, 2, 10000)
	t.end(1, 0, "a", Broken, 0, 0).printRound().end(1, 1, "b", Committed, 2, 10010).at(10300)
	t.txn(3, 2, 0).txn(9, 2, 0).printRound().end(3, 0, "a", Failed, 2, 10290).end(9, 0, "a", Failed, 2, 10290)
	for id := uint64(4); id < 7; id++ {
		t.txn(id, 2, 0)
	}
	t.printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to b
	//  10020 submit 1 to b
	//  10300 submit 3 to b
	//  10300 submit 9 to a
	//  10300 submit 9 to b
	//  10300 submit 4 to b
	//  10300 submit 5 to b
	//  10300 submit 6 to b
}

// A txn that arrives with no time left is answered in the same round, although open txns were reviewed just
// before.
func Example_noTimeLeft() {
	t := open("await", "none").list("a b").txn(1, 1, 0).printRound().at(10002)
	t.g.AddTxn(2, 0, 0, 7, 0, 0, 0, Millis(50))
	t.printRound()
	// Output:
	// 10002 reject 2
}

// A second error, on another member if there is one, ends a txn: it is worthless, and no member can do
// better.
func Example_twoErrors() {
	t := open().list("a b").txn(1, 2, 0).printRound().at(10010).end(1, 0, "a", Failed, 2, 10000).printRound()
	t.at(10020).end(1, 1, "b", Failed, 2, 10010).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10010 submit 1 to b
	//  10020 reject 1
}

// A member that answers most txns with quick errors, unlike its peers, is idle and yet chosen last; if all
// members do so, none is.
func Example_failingMember() {
	for _, bad := range []string{"a", "ab"} {
		t := open().list("a b")
		n := map[string]int{}
		for id := uint64(1); id <= 200; id++ {
			t.at(t.clock+10).txn(id, 2, 0).each(func(d Decision) {
				if d.Kind == Submit {
					r, m := Committed, string(d.Server[0])
					if strings.Contains(bad, m) {
						r = Failed
					}
					n[m]++
					t.g.SubmissionEnded(d.Txn, len(t.g.txns[d.Txn].submissions)-1, d.Server, r, Millis(5), 2, 0, r == Committed, nil)
				}
			})
		}
		fmt.Println(n["a"] < 20, n["b"] > 180)
	}
	// Output:
	// true true
	// false true
}

// No primary is known and the list names none: members are probed for their role, and the write goes to the
// primary found.
func Example_probedRole() {
	reports := `"how":"answers","fields":["x0","x1"]`
	t := open(`"how":"none","fields":[]`, reports, `"probes":false`, `"probes":true`).list("a b c").txn(1, 3, 0).printRound()
	t.at(10005).g.ProbeEnded(Server{'b'}, Committed, Millis(2), []float64{10, 1})
	t.end(1, 0, "a", NotEligible, 2, 10000).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 probe b
	//  10000 probe c
	//  10005 submit 1 to b
}

// With sub-millisecond answers, a gateway that pauses for some milliseconds must not consider its members
// silent.
func ExampleGateway_quickAnswers() {
	t := open().list("a")
	t.hideLog = false
	for i := range uint64(200) {
		at := 10000 + float64(i)
		t.at(at).txn(i, 2, 0).g.Next()
		t.at(at+0.1).g.SubmissionEnded(i, 0, Server{'a'}, Committed, Millis(0.1), RoleReplica, 0, true, nil)
	}
	t.at(10300).txn(1000, 2, 0).printRound()
	t.at(10310).printRound()
	// Output:
	// 10300 submit 1000 to a
}

// After a read that was not served, the session's next read looks like a retry whose SLA time is over. It
// must not be held unsent until its client leaves: an idle member takes it.
func Example_lateRetryOnIdleMember() {
	t := open().list("a")
	t.txn(1, 0, 0).printRound().at(10100).g.ClientGone(1)
	t.printRound().at(10150).end(1, 0, "a", Cancelled, RoleUnknown, 0)
	t.at(10600).txn(2, 0, 0).printRound().at(10610).txn(3, 0, 0).printRound()
	t.at(10620).end(2, 0, "a", Committed, RoleReplica, 10620).printRound()
	// Output:
	//  10000 submit 1 to a
	//  10100 cancel 1/0
	//  10600 submit 2 to a
	//  10620 submit 3 to a
}

// A txn that no member can take is answered by half of its time, when its client can still try elsewhere,
// unless a late answer earns more than holding it costs.
func Example_unsentTxn() {
	t := open(`"worth":1,"name":"any"`, `"worth":1,"lateValue":0.2,"name":"any"`).list("a-")
	t.txn(1, 2, 0).txn(2, 3, 0).run(11000)
	// Output:
	//  10490 reject 1
	//  10850 reject 2
}

// each calls f for every decision of a round.
func (t *trace) each(f func(Decision)) {
	t.g.BeginRound(Millis(t.clock))
	for d, ok := t.g.Next(); ok; d, ok = t.g.Next() {
		f(d)
	}
}

// Submissions that never reached a suspect do not use up its budget: once it answers again it gets a cold
// member's share at once, not only after the time spent on failed trials.
func Example_failedTrials() {
	t := open().list("a b")
	for id := uint64(1); id <= 300; id++ {
		t.at(t.clock+10).txn(id, 2, 0).each(func(d Decision) {
			if d.Kind == Submit {
				t.g.SubmissionEnded(d.Txn, len(t.g.txns[d.Txn].submissions)-1, d.Server, NotSent, Millis(40), 0, 0, false, nil)
				t.g.markSuspect(t.g.members[d.Server], "silent", false)
			}
		})
	}
	n := 0
	for id := uint64(301); id <= 400; id++ {
		t.at(t.clock+10).txn(id, 2, 0).each(func(d Decision) {
			if d.Kind == Submit {
				n++
				t.g.SubmissionEnded(d.Txn, len(t.g.txns[d.Txn].submissions)-1, d.Server, Committed, Millis(20), 2, 0, true, nil)
			}
		})
	}
	fmt.Println(n > 20)
	// Output:
	// true
}

// Clients that always leave at once do not shorten the target latency for those that stay, which shows in
// answers after as long a wait; clients that all leave after a while do.
func Example_earlyDepartures() {
	for _, stay := range []float64{30, 90} {
		t := open().list("a b c")
		for id := uint64(1); id <= 200; id += 2 {
			t.at(t.clock+100).txn(id, 2, 0).txn(id+1, 2, 0).each(func(Decision) {})
			for i, after := range []float64{stay, 60} {
				x := t.g.txns[id+uint64(i)]
				t.at(t.clock + after)
				if i == 0 {
					t.g.ClientGone(x.id)
				}
				if len(x.submissions) > 0 { // the second txn has waited longer than the first, if the first client left early
					r := []Result{Cancelled, Committed}[i]
					t.g.SubmissionEnded(x.id, 0, x.submissions[0].member.id, r, Millis(60), 2, 0, true, nil)
				}
			}
		}
		fmt.Println(t.g.targetLatency(2) / Millisecond)
	}
	// Output:
	// 300
	// 90
}

// Part of an answer shows that the member is alive: a, which sends long answers, is not silent while they
// arrive.
func Example_longAnswers() {
	t := open().list("a b").txn(1, 2, 0).txn(2, 2, 0).printRound()
	t.hideLog = false
	t.end(1, 0, "a", Committed, 2, 9990).end(2, 0, "b", Committed, 2, 9990)
	for id := uint64(3); id < 11; id++ {
		t.txn(id, 2, 0)
	}
	t.each(func(Decision) {})
	for t.clock < 10400 {
		t.g.ResponseProgress(Server{'a'})
		t.run(t.clock + 10)
	}
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to b
	//  10200 cancel 4/0
	//  10200 cancel 6/0
	//  10200 cancel 8/0
	//  10200 cancel 10/0
	//  10200 log: member 98.0.0.0:0 suspect: silent, 4 in flight, quiet for 200 ms
}

// long gives eventual reads a long service time and a client that waits for them.
var long = []string{`"promiseMs":300,"hardLimitMs":1000,"worth":1,"name":"any"`,
	`"promiseMs":8000,"hardLimitMs":15000,"worth":1,"name":"any"`}

// A long read in flight to a member measured by short ones alone is no sign of a fault until it has waited
// for many times its own service time. Otherwise it was cancelled and restarted elsewhere again and again.
func Example_longReadIsNotSilent() {
	t := open(long...).list("a b")
	t.txn(1, 0, 0).printRound().at(10020).end(1, 0, "a", Committed, 2, 10000).printRound()
	_ = t.g.AddTxn(2, 2, 0, 7, Millis(15000), 0, 0, 0)
	t.printRound().run(13000)
	// Output:
	// 10000 submit 1 to a
	//  10020 submit 2 to a
}

// A replica that runs a long read may apply nothing. Spread by load, such reads left no replica current;
// they go to a third of a group, rounded down: one of four here, however idle the others are.
func Example_longReadReplicas() {
	t := open(long...).list("p* a b c")
	for id := range uint64(3) {
		_ = t.g.AddTxn(id, 2, 0, 7, Millis(15000), 0, 0, 0)
	}
	t.printRound()
	t.at(14000).end(0, 0, "a", Committed, 2, 10000) // it lags, and so continues to serve long reads
	t.g.ReceiveUpdate(MemberUpdate{Server{'b'}, Millis(13990), false})
	_ = t.g.AddTxn(3, 2, 0, 7, Millis(15000), 0, 0, 0)
	t.txn(4, 0, 100).printRound() // reads of current data avoid it
	// Output:
	// 10000 submit 0 to a
	//  10000 submit 1 to a
	//  10000 submit 2 to a
	//  14000 submit 4 to b
	//  14000 submit 3 to a
}

// An immediate refusal is not a wait: the read is tried on another replica instead of being sent to the
// primary with all others. It also shows a lag, which later reads respect where answers carry no position.
func Example_immediateRefusal() {
	t := open(`"await"`, `"bounce"`, `"waitMs":20`, `"waitMs":0`, `"answersStamped":true`, `"answersStamped":false`)
	t.list("p* a b").txn(1, 1, 0).printRound().at(10001).end(1, 0, "a", NotEligible, 2, 0).printRound()
	t.txn(2, 1, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10001 submit 1 to b
	//  10001 submit 2 to b
}

// A position observed by another gateway is a proof and is sent to all once; without it a new gateway had no
// proof of any replica.
func Example_positionUpdates() {
	t := open("await", "none", `"mayDuplicate"`, `"peers":true,"mayDuplicate"`).list("a* b c")
	t.txn(1, 0, 50).printRound()
	t.g.ReceiveUpdate(MemberUpdate{Server{'c'}, Millis(9990), false})
	t.printRound()
	t.txn(2, 2, 0).printRound().end(2, 0, "b", Committed, 2, 9995).printRound()
	t.txn(3, 2, 0).printRound().end(3, 0, "b", Committed, 2, 9998).printRound() // nearly the same position was already sent
	// Output:
	// 10000 submit 1 to c
	//  10000 submit 2 to b
	//  10000 update b at 9995
	//  10000 submit 3 to b
}

// A late update does not make a former primary the primary again.
func Example_latePrimaryUpdate() {
	t := open().list("a b").at(10100)
	t.txn(1, 3, 0).printRound().end(1, 0, "a", NotEligible, 2, 10090)
	t.g.ReceiveUpdate(MemberUpdate{Server{'a'}, Millis(10050), true})
	t.txn(2, 3, 0).printRound()
	// Output:
	// 10100 submit 1 to a
	//  10100 submit 1 to b
}

// Where clients are not told when to retry, a rejection carries no delay.
func ExampleGateway_noRetryAfter() {
	for _, allowed := range []string{"true", "false"} {
		t := open(`"retryAfter":true`, `"maxRetryAfterMs":1000,"retryAfter":`+allowed).list("a-").txn(1, 0, 0)
		for t.clock < 11000 {
			t.at(t.clock + 10)
			for d, ok := t.g.Next(); ok; d, ok = t.g.Next() {
				if d.Kind == Reject {
					fmt.Println(t.clock, d.Delay/Millisecond)
				}
			}
		}
	}
	// Output:
	// 10210 300
	// 10210 0
}

// When every member is suspect none is avoided, but one that the list reports as newly started gets no more
// than it can handle: a successor that had just become primary was overloaded by everything that its group
// had queued.
func Example_allSuspectOneCold() {
	t := open().list("a b!")
	t.txn(1, 2, 0)
	a, b := t.g.members[Server{'a'}], t.g.members[Server{'b'}]
	t.at(10100)
	t.g.markSuspect(a, "silent", false)
	t.g.markSuspect(b, "silent", false)
	a.coldCredit, b.coldCredit = -float64(100*ms), -float64(100*ms)
	fmt.Println(t.g.hasCapacity(a, t.g.txns[1]), t.g.hasCapacity(b, t.g.txns[1]))
	// Output:
	// true false
}

// A connection that goes silent at a healthy member does not count against the member: later submissions on
// another connection are answered, so no limit is cut or used up, the member is not suspect, and a keyed txn
// is submitted to it again. Before, each such write kept a primary with a limit of one write busy until the
// client was gone.
func Example_silentConnection() {
	t := open().list("a* b")
	a := t.g.members[Server{'a'}]
	for i := range uint64(40) {
		t.at(10000+20*float64(i)).txn(1+i, 4, 0).g.Next()
		if a.limit = 2; i != 20 { // the connection of txn 21 went silent
			t.at(10015+20*float64(i)).end(1+i, 0, "a", Committed, 1, 10000)
		}
		if d, ok := t.g.Next(); ok && d.Kind == Cancel {
			fmt.Println("txn", d.Txn, "cancelled at", t.clock, "in flight", a.inFlight, "suspect", a.suspect)
			t.end(21, 0, "a", Cancelled, 0, 0).printRound().end(21, 1, "a", Committed, 1, 10000)
			break
		}
	}
	t.at(11000).txn(50, 3, 0).printRound().at(11050).txn(51, 3, 0).printRound() // once-only: must not be sent again
	t.at(11100).end(51, 0, "a", Committed, 1, 10000)
	before := a.limit
	t.at(11900).end(50, 0, "a", TimedOut, 0, 0)
	fmt.Println("cut:", a.limit < before)
	// Output:
	// txn 21 cancelled at 10515 in flight 0 suspect false
	//  10515 submit 21 to a
	//  11000 submit 50 to a
	//  11050 submit 51 to a
	// cut: false
}

// The opposite case: a crowded member answers in the order of submission. Its answers to earlier submissions
// do not protect it from a cut, as they would if any answer since the submission counted.
func Example_crowdedMemberIsCut() {
	t := open().list("a*").txn(1, 4, 0).printRound().at(10100).txn(2, 4, 0).printRound()
	a := t.g.members[Server{'a'}]
	t.at(10450).end(1, 0, "a", Committed, 1, 10000)
	before := a.limit
	t.at(10900).end(2, 0, "a", TimedOut, 0, 0)
	fmt.Println("cut:", a.limit < before)
	// Output:
	// 10000 submit 1 to a
	//  10100 submit 2 to a
	// cut: true
}

// A lost handshake with a member that answers other submissions meanwhile does not mean that the member is
// unreachable. Treating it so cancelled everything in flight to the member, which cost it as many new
// handshakes.
func Example_handshakeLost() {
	t := open().list("a*").txn(1, 4, 0).txn(2, 4, 0).printRound()
	a := t.g.members[Server{'a'}]
	t.at(10200).end(2, 0, "a", Committed, 1, 10000).at(10250).end(1, 0, "a", Unreachable, 0, 0)
	fmt.Println(a.suspect)
	t.printRound().at(10600).end(1, 1, "a", Unreachable, 0, 0)
	fmt.Println(a.suspect)
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to a
	// false
	//  10250 submit 1 to a
	// true
}

// A submission that times out past its SLA time has taken at least that long. When only answers counted, a
// replica that served nothing in time kept the initial limit at every gateway, and all went on sending to
// it.
func Example_unansweredCutsLimits() {
	t := open().list("a").txn(1, 2, 0).printRound()
	fmt.Println(t.g.members[Server{'a'}].limit)
	t.at(10250).end(1, 0, "a", TimedOut, 0, 0).txn(2, 2, 0).printRound() // within its SLA time
	fmt.Println(t.g.members[Server{'a'}].limit)
	t.at(10700).end(2, 0, "a", TimedOut, 0, 0)
	fmt.Println(t.g.members[Server{'a'}].limit < 2)
	// Output:
	// 10000 submit 1 to a
	// 8
	//  10250 reject 1
	//  10250 submit 2 to a
	// 8
	// true
}

// A primary that answers late is cut to one write at a time. A minimum of three at each of 28 gateways kept
// 84 in flight on four cores, which reduced its throughput.
func Example_crowdedPrimary() {
	t := open().list("a*")
	t.txn(1, 3, 0).printRound().end(1, 0, "a", Committed, 1, 10000).printRound()
	m := t.g.members[Server{'a'}]
	for range 20 {
		t.g.reduceLimit(m)
	}
	fmt.Println(m.limit)
	// Output:
	// 10000 submit 1 to a
	// 1
}

// A txn restricted to a zone is read there, however crowded the zone is compared with others, until no
// member there is healthy: then anywhere. Its own, shorter SLA time applies.
func Example_zoneRestriction() {
	t := open().list("a b c")
	for _, m := range t.g.members {
		m.zone = int(m.id[0] - 'a')
	}
	for id := range uint64(3) {
		t.txn(1+id, 2, 0)
		t.g.RestrictReads(1+id, 1<<1, Millis(300))
	}
	t.printRound().end(1, 0, "b", Committed, 2, 9000)
	t.g.UpdateMember(Server{'b'}, 0, false, Draining, 1, 1, 0, 0)
	t.g.EndMemberList(Delta)
	t.txn(4, 2, 0)
	t.g.RestrictReads(4, 1<<1, Millis(300))
	t.printRound().txn(5, 2, 0)
	t.g.RestrictReads(5, 0, Millis(40))
	fmt.Println((t.g.txns[4].slaDeadline-t.g.now)/ms, (t.g.txns[5].slaDeadline-t.g.now)/ms)
	// Output:
	// 10000 submit 1 to b
	//  10000 submit 2 to b
	//  10000 submit 3 to b
	//  10000 submit 4 to a
	// 300 40
}

// A suspect gets a trial under light load too, where the same other member is always the least loaded: without one it would
// stay suspect for good. Until then the reads go to that member.
func Example_trialUnderLightLoad() {
	t := open().list("p* a b")
	const suspectAt = 11_000
	triedAt, b := 0.0, t.g.members[Server{'b'}]
	for id := uint64(0); t.clock < 25_000; id++ {
		if t.clock >= suspectAt && triedAt == 0 && !b.suspect {
			t.g.markSuspect(b, "it was silent", false)
		}
		t.txn(id, 2, 0)
		t.g.BeginRound(Millis(t.clock))
		for d, ok := t.g.Next(); ok; d, ok = t.g.Next() {
			if d.Kind != Submit {
				continue
			}
			elapsed := 15.0
			if d.Server[0] == 'a' {
				elapsed = 5
			}
			if d.Server[0] == 'b' && b.suspect {
				triedAt = t.clock
			}
			t.at(t.clock+elapsed).g.SubmissionEnded(d.Txn, 0, d.Server, Committed, Millis(elapsed), RoleReplica, 0, true, nil)
		}
		t.at(t.clock + 10)
	}
	fmt.Println(b.suspect, triedAt > suspectAt+500, triedAt < suspectAt+10_000)
	// Output:
	// false true true
}
