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

// A commit's position ahead of the clock proves nothing of its member, but binds its session.
func Example_readAfterCommitAheadOfTheClock() {
	t := openRemembering().list("a* b").txn(1, 2, 0).printRound().end(1, 0, "b", Committed, 2, 9999)
	t.g.RaiseSessionPosition(0, 7, Millis(60_000))
	t.txn(2, 0, 0).printRound()
	fmt.Println(t.g.Next())
	// Output:
	// 10000 submit 1 to b
	// {0 0 0 0.0.0.0:0 0 0 none 0  []} false
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
