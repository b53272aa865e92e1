package decide

import "fmt"

// openUnchecked opens an instance whose members answer reads from whatever data they have.
func openUnchecked(changes ...string) *trace { return open(append(changes, `"await"`, `"none"`)...) }

// openRemembering opens one that also has to remember what sessions wrote.
func openRemembering(changes ...string) *trace {
	return openUnchecked(append(changes, "brought", "kept")...)
}

// A write whose client has left before the answer is seen by the session's next read.
func Example_readAfterWriteWhoseClientLeft() {
	t := openRemembering().list("a* b").txn(1, 3, 0).printRound().at(10010)
	t.g.ClientGone(1)
	t.end(1, 0, "a", Committed, 1, 10005).txn(2, 0, 0).printRound().run(10170)
	// Output:
	// 10000 submit 1 to a
	//  10160 submit 2 to a
}

// A write that broke off may have been answered: the session's next read sees what was committed by then.
func Example_readAfterWriteThatBrokeOff() {
	t := openRemembering().list("a* b").txn(1, 3, 0).txn(3, 2, 0).printRound().end(3, 0, "b", Committed, 2, 9999)
	t.at(10010).end(1, 0, "a", Broken, 0, 0).txn(2, 0, 0).printRound().at(10030).txn(4, 2, 0).printRound()
	t.end(4, 0, "b", Committed, 2, 10015).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 3 to b
	//  10010 roll back 1
	//  10030 submit 4 to b
	//  10030 submit 2 to b
}

// The answer of a write in flight may have been written already: a read of its session needs nearly current data.
func Example_readBesideWriteInFlight() {
	t := openRemembering().list("a* b").txn(1, 3, 0).txn(3, 2, 0).printRound().end(3, 0, "b", Committed, 2, 9999)
	t.at(10100).txn(2, 0, 0).txn(4, 2, 0).printRound().end(4, 0, "b", Committed, 2, 10090).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 3 to b
	//  10100 submit 4 to b
	//  10100 submit 2 to b
}

// A commit whose answer holds no position may be as late as its answer.
func Example_readAfterCommitWithoutPosition() {
	t := openRemembering().list("a* b").txn(1, 3, 0).printRound().at(10010).end(1, 0, "a", Committed, 1, 0)
	t.txn(2, 0, 0).printRound().run(10170)
	// Output:
	// 10000 submit 1 to a
	//  10160 submit 2 to a
}

// A commit's position ahead of the clock proves nothing of its member, but binds its session: a replica that stands where the
// gateway's clock does gets no read of it.
func Example_readAfterCommitAheadOfTheClock() {
	t := openRemembering().list("a* b").txn(1, 3, 0).txn(3, 2, 0).printRound().end(3, 0, "b", Committed, 2, 10_000)
	t.end(1, 0, "a", Committed, 1, 15_000).txn(2, 0, 0).printRound().run(10170)
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 3 to b
	//  10150 submit 2 to a
}

// The clock of a group may be stepped, either way. What its primary tells moves what bounded reads must see: a replica that
// lags by the step, so that its position looks like the present here, gets none, and neither does one whose position is from
// before a step back.
func Example_boundedReadAfterStepOfTheClock() {
	t := openUnchecked(`"how":"none","fields":[]`, `"how":"probe","fields":["x0","x1"]`).list("a* b")
	t.hideLog = false
	primaryTells := func(id uint64, at, position float64) {
		t.at(at).txn(id, 3, 0).printRound().at(at+10).end(id, 0, "a", Committed, 1, position)
	}
	replicaTells := func(at, position float64) {
		t.at(at).g.ProbeEnded(Server{'b'}, Committed, Millis(5), []float64{position / 1000, 2})
	}
	read := func(id uint64, at float64) { t.at(at).txn(id, 1, 0).printRound() }
	primaryTells(1, 10_000, 10_005)
	replicaTells(10_020, 10_010)
	read(2, 10_030)
	primaryTells(3, 10_040, 15_045) // stepped by 5 s
	replicaTells(10_060, 10_055)    // it lags by 5 s
	read(4, 10_070)
	replicaTells(10_080, 15_070) // it has made up the lag
	read(5, 10_090)
	primaryTells(6, 10_100, 10_105) // stepped back
	read(7, 10_120)
	replicaTells(10_130, 10_120)
	read(8, 10_140)
	// Output:
	// 10000 submit 1 to a
	//  10000 log: group 0: primary 97.0.0.0:0, named by the list alone
	//  10030 submit 2 to b
	//  10040 submit 3 to a
	//  10070 submit 4 to a
	//  10070 log: group 0: its clock is 4995 ms ahead
	//  10090 submit 5 to b
	//  10100 submit 6 to a
	//  10120 submit 7 to a
	//  10120 log: group 0: its clock is 5 ms ahead
	//  10140 submit 8 to b
}

// After a step of the group's clock a write that broke off counts as committed by what that clock shows, not by this gateway's.
func Example_sessionReadAfterStepOfTheClock() {
	t := openRemembering(`"how":"none","fields":[]`, `"how":"probe","fields":["x0","x1"]`).list("a* b").at(10_010)
	t.g.ProbeEnded(Server{'a'}, Committed, Millis(5), []float64{15.005, 1})
	t.txn(2, 3, 0).printRound().at(10_020).end(2, 0, "a", Broken, 0, 0)
	t.at(10_030).txn(3, 2, 0).printRound().at(10_040).end(3, 0, "b", Committed, 2, 10_035) // it lags by 5 s
	t.txn(4, 0, 0).printRound().at(10_060).txn(5, 2, 0).printRound().at(10_070).end(5, 0, "b", Committed, 2, 15_060)
	t.printRound()
	// Output:
	// 10010 submit 2 to a
	//  10030 roll back 2
	//  10030 submit 3 to b
	//  10060 submit 5 to b
	//  10070 submit 4 to b
}

// A floor by the writes at other gateways does not hide a write that broke off here.
func Example_floorBesideWriteThatBrokeOff() {
	t := openRemembering().list("a* b").txn(1, 3, 0).txn(3, 2, 0).printRound().end(3, 0, "b", Committed, 2, 9999)
	t.at(10010).end(1, 0, "a", Broken, 0, 0).txn(2, 0, 50).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 3 to b
	//  10010 roll back 1
}

// A read that has waited sees a write of its session that was answered meanwhile.
func Example_writeAnsweredWhileReadWaits() {
	t := openRemembering().list("a* b").txn(1, 3, 0).txn(3, 2, 0).printRound().end(3, 0, "b", Committed, 2, 9999)
	t.txn(2, 0, 0).at(10010).end(1, 0, "a", Committed, 1, 10005).printRound().run(10160)
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 3 to b
	//  10150 submit 2 to a
}

// A write that every replica had reached is not forgotten for a replica that joins later.
func Example_joiningReplicaAfterForgottenWrite() {
	t := openRemembering().list("a* b").txn(1, 3, 0).printRound().at(10010).end(1, 0, "a", Committed, 1, 10005)
	t.txn(2, 2, 0).printRound().at(10020).end(2, 0, "b", Committed, 2, 10015).at(16000).printRound()
	t.list("a* b c").txn(3, 2, 0).txn(4, 2, 0).txn(5, 0, 0).txn(6, 0, 0).txn(7, 0, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10010 submit 2 to b
	//  16000 submit 5 to b
	//  16000 submit 6 to b
	//  16000 submit 7 to b
	//  16000 submit 3 to c
	//  16000 submit 4 to c
}

// A primary whose answer was not read may have said that it is none: until it answers, it counts by its position.
func Example_primaryWithUnreadAnswer() {
	t := openUnchecked().list("a b").txn(1, 2, 0).printRound().end(1, 0, "a", Committed, 1, 9990)
	t.at(10400).txn(2, 1, 0).printRound().at(10500).end(2, 0, "a", TimedOut, 0, 0).printRound()
	t.txn(3, 2, 0).txn(4, 2, 0).printRound().at(10510).end(4, 0, "b", Committed, 2, 10300).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10400 submit 2 to a
	//  10500 submit 3 to a
	//  10500 submit 4 to b
	//  10510 submit 2 to b
}

// Other gateways are not told that a member is the primary by one whose last answer from it was not read.
func Example_updateAfterUnreadAnswer() {
	t := openUnchecked(`"mayDuplicate"`, `"peers":true,"mayDuplicate"`).list("a").txn(1, 2, 0).txn(2, 2, 0).printRound()
	t.at(10010).end(1, 0, "a", Committed, 1, 9000).end(2, 0, "a", TimedOut, 0, 0)
	for d, ok := t.g.Next(); ok; d, ok = t.g.Next() {
		for _, update := range d.Updates {
			fmt.Println(update.Position/Millisecond, update.Primary)
		}
	}
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to a
	// 9000 false
}

// An answer that was under way while its member said that it is no primary does not make it one again.
func Example_lateAnswerOfFormerPrimary() {
	t := openUnchecked().list("a").txn(1, 2, 0).txn(2, 2, 0).printRound()
	t.at(10020).end(2, 0, "a", Committed, 2, 9500).at(10400).end(1, 0, "a", Committed, 1, 9990)
	t.txn(3, 1, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10000 submit 2 to a
}

// A commit's position is rounded up: it does not prove that its member has what the next primary commits before it.
func Example_commitOfNextPrimaryInTheSameMillisecond() {
	t := openUnchecked().list("a").txn(1, 3, 0).printRound().at(10006).end(1, 0, "a", Committed, 1, 10005)
	t.txn(2, 3, 0).printRound().g.ClientGone(2)
	t.at(10010).end(2, 0, "a", NotEligible, 2, 10004).txn(3, 0, 5).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10006 submit 2 to a
}

// A member that refuses a write is no primary, whether or not it says so.
func Example_refusalWithoutRole() {
	t := openUnchecked().list("a").txn(1, 3, 0).printRound().end(1, 0, "a", Committed, 1, 9990)
	t.at(10400).txn(2, 3, 0).printRound().g.ClientGone(2)
	t.end(2, 0, "a", NotEligible, 0, 0).txn(3, 1, 0).printRound()
	// Output:
	// 10000 submit 1 to a
	//  10400 submit 2 to a
}

// A report that may be older than a member's own word does not make it the primary again.
func Example_lateReportOfFormerPrimary() {
	reports := `"how":"probe","fields":["x0","x1"]`
	t := openUnchecked(`"how":"none","fields":[]`, reports).list("a").txn(1, 2, 0).printRound().at(10010).end(1, 0, "a", Committed, 2, 9000)
	t.at(11500)
	for _, reportedAt := range []float64{10, 11.45} {
		t.g.ProbeEnded(Server{'a'}, Committed, Millis(2), []float64{reportedAt, 1})
		fmt.Println(t.g.StateOf(Server{'a'}).Primary)
	}
	// Output:
	// 10000 submit 1 to a
	// false
	// true
}

// While a connection comes up, a bound passes and a session's write is answered: the submission is not written then.
func Example_proofLostWhileDialling() {
	t := openRemembering().list("a* b").txn(1, 2, 0).printRound().end(1, 0, "b", Committed, 2, 9990)
	t.txn(2, 1, 0).txn(3, 0, 0).txn(4, 3, 0).printRound()
	fmt.Println(t.g.StillFresh(2, 0, Millis(10_200)), t.g.StillFresh(3, 0, Millis(10_030)))
	t.at(10_100).end(4, 0, "a", Committed, 1, 10_080)
	fmt.Println(t.g.StillFresh(2, 0, Millis(10_300)), t.g.StillFresh(3, 0, Millis(10_110)))
	// Output:
	// 10000 submit 1 to b
	//  10000 submit 4 to a
	//  10000 submit 3 to b
	//  10000 submit 2 to b
	// true true
	// false false
}

// What a server told holds for no other server that has its address now.
func Example_addressUsedAgain() {
	reports := `"how":"probe","fields":["x0","x1"]`
	soft := []string{`"how":"none","fields":[]`, reports, `"askWithinMs"`, `"softRemoval":true,"askWithinMs"`}
	t := openUnchecked(soft...).list("a").txn(1, 2, 0).printRound().end(1, 0, "a", Committed, 2, 9990)
	t.at(10010).g.ForgetMember(Server{'a'})
	t.list("a").at(10020).g.ProbeEnded(Server{'a'}, Committed, Millis(15), []float64{10, 1})
	t.txn(2, 0, 50).printRound().run(10100)
	// Output:
	// 10000 submit 1 to a
}

// A session's write from before the clock's zero is a write all the same.
func Example_writeBeforeTheClocksZero() {
	t := openUnchecked().list("a").txn(1, 0, 20_000).printRound().txn(2, 2, 0).printRound()
	t.at(10010).end(2, 0, "a", Committed, 2, 5).printRound()
	// Output:
	// 10000 submit 2 to a
	//  10010 submit 1 to a
}
