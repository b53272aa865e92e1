package decide

import "fmt"

// openSharing opens an instance whose members check nothing and that exchanges what it learns with other gateways.
func openSharing(changes ...string) *trace {
	return openUnchecked(append(changes, `"mayDuplicate"`, `"peers":true,"mayDuplicate"`)...)
}

// reportsOnProbe gives load reports a position and a role.
var reportsOnProbe = []string{`"how":"none","fields":[]`, `"how":"probe","fields":["x0","x1"]`}

// printOwnReport prints what the instance may tell other gateways of a member as the primary.
func (t *trace) printOwnReport(m byte) {
	s := t.g.StateOf(Server{m})
	fmt.Println(s.Primary, s.Position/ms, s.PrimaryPosition/ms)
}

// printUpdates prints the updates that the next round sends to other gateways.
func (t *trace) printUpdates() {
	t.g.BeginRound(Millis(t.clock))
	for d, ok := t.g.Next(); ok; d, ok = t.g.Next() {
		for _, update := range d.Updates {
			fmt.Printf("%c at %d, primary: %v\n", update.Server[0], update.Position/ms, update.Primary)
		}
	}
}

// A primary that the list alone names, at a position that others told of it as a replica, is not reported as the primary at that
// position: the pair would outweigh what the member itself told another gateway before.
func Example_reportOfPrimaryNamedByTheListAlone() {
	newcomer := openSharing().list("a* b")
	newcomer.g.ReceiveUpdate(MemberUpdate{Server{'a'}, Millis(9990), false})
	newcomer.printOwnReport('a')
	other := openSharing().list("a* b").txn(1, 3, 0).printRound().at(9000).end(1, 0, "a", NotEligible, 2, 8000).at(10000)
	if at := newcomer.g.StateOf(Server{'a'}).PrimaryPosition; at > 0 {
		other.g.ReceiveUpdate(MemberUpdate{Server{'a'}, at, true})
	}
	other.printOwnReport('a')
	// Output:
	// true 9990 0
	//  10000 submit 1 to a
	// false 8000 0
}

// What a primary told itself is reported at the position that it told with it, whatever others prove of its position later.
func Example_reportOfPrimaryAtItsOwnPosition() {
	t := openSharing().list("a b").txn(1, 2, 0).printRound().end(1, 0, "a", Committed, 1, 9500)
	t.g.ReceiveUpdate(MemberUpdate{Server{'a'}, Millis(9990), false})
	t.printOwnReport('a')
	// Output:
	// 10000 submit 1 to a
	// true 9990 9500
}

// Another gateway's word is not passed on as this gateway's own, so it does not go round the fleet for ever.
func Example_reportOfPrimaryToldByAnotherGateway() {
	t := openSharing().list("a b")
	t.g.ReceiveUpdate(MemberUpdate{Server{'b'}, Millis(9990), true})
	t.printOwnReport('b')
	// Output:
	// true 9990 0
}

// A role from an answer and a position from a report that says otherwise make no update of a primary at that position.
func Example_updateOfRoleAndPositionFromTwoSources() {
	t := openSharing(reportsOnProbe...).list("a").txn(1, 2, 0).printRound().end(1, 0, "a", Committed, 1, 0)
	t.g.ProbeEnded(Server{'a'}, Committed, Millis(5), []float64{9.9, 2})
	t.printUpdates()
	t.at(10_500).txn(2, 2, 0).printRound().at(10_510).end(2, 0, "a", Committed, 1, 10_505)
	t.printUpdates()
	// Output:
	// 10000 submit 1 to a
	// a at 9900, primary: false
	//  10500 submit 2 to a
	// a at 10505, primary: true
}

// After a step of the group's clock back a primary is not reported at a position from before the step, which would count as
// later than what it tells for as long as the step.
func Example_reportOfPrimaryAfterStepBack() {
	t := openUnchecked().list("a").txn(1, 2, 0).printRound().end(1, 0, "a", Committed, 1, 9_990)
	t.at(10_010).g.ClockStepped(Millis(5_000))
	t.txn(2, 2, 0).printRound().end(2, 0, "a", Committed, 1, 15_000).printOwnReport('a')
	t.at(10_020).txn(3, 2, 0).printRound().at(10_030).end(3, 0, "a", Committed, 1, 10_025).printOwnReport('a')
	// Output:
	// 10000 submit 1 to a
	//  10010 submit 2 to a
	// true 15000 15000
	//  10020 submit 3 to a
	// true 10025 10025
}

// openWithReportedDenial opens an instance at 11.5 s that a primary's load report has just told that it is a replica; txn 2, sent
// at 10.4 s, is still in flight to it.
func openWithReportedDenial() *trace {
	t := openSharing(reportsOnProbe...).list("a").txn(1, 2, 0).printRound().at(10_010).end(1, 0, "a", Committed, 1, 9_990)
	t.at(10_400).txn(2, 2, 0).printRound()
	t.at(11_500).g.ProbeEnded(Server{'a'}, Committed, Millis(5), []float64{10.5, 2})
	return t
}

// Another gateway's older word does not make a member the primary again after its load report said otherwise.
func Example_relayedPrimaryAfterReportedDenial() {
	t := openWithReportedDenial()
	t.g.ReceiveUpdate(MemberUpdate{Server{'a'}, Millis(11_400), true})
	fmt.Println(t.g.StateOf(Server{'a'}).Primary)
	t.at(11_700).g.ReceiveUpdate(MemberUpdate{Server{'a'}, Millis(11_600), true})
	fmt.Println(t.g.StateOf(Server{'a'}).Primary)
	// Output:
	// 10000 submit 1 to a
	//  10400 submit 2 to a
	//  10400 update a at 9990
	// false
	// true
}

// Neither does an answer that was under way meanwhile.
func Example_lateAnswerAfterReportedDenial() {
	t := openWithReportedDenial().at(11_600).end(2, 0, "a", Committed, 1, 10_405)
	fmt.Println(t.g.StateOf(Server{'a'}).Primary)
	// Output:
	// 10000 submit 1 to a
	//  10400 submit 2 to a
	//  10400 update a at 9990
	// false
}

// Neither does a load report that overtook the one that said so, until none of those can still be under way.
func Example_lateReportAfterReportedDenial() {
	t := openWithReportedDenial()
	for _, at := range []float64{11_550, 11_850} {
		t.at(at).g.ProbeEnded(Server{'a'}, Committed, Millis(5), []float64{11.4, 1})
		fmt.Println(t.g.StateOf(Server{'a'}).Primary)
	}
	// Output:
	// 10000 submit 1 to a
	//  10400 submit 2 to a
	//  10400 update a at 9990
	// false
	// true
}

// Another gateway's word on one member does not outweigh the later load report of another that it is the primary.
func Example_relayedPrimaryOlderThanAReport() {
	t := openSharing(reportsOnProbe...).list("a b")
	t.g.ProbeEnded(Server{'b'}, Committed, Millis(5), []float64{9.99, 1})
	t.g.ReceiveUpdate(MemberUpdate{Server{'a'}, Millis(9900), true})
	fmt.Println(t.g.StateOf(Server{'a'}).Primary, t.g.StateOf(Server{'b'}).Primary)
	t.g.ReceiveUpdate(MemberUpdate{Server{'a'}, Millis(9995), true})
	fmt.Println(t.g.StateOf(Server{'a'}).Primary, t.g.StateOf(Server{'b'}).Primary)
	// Output:
	// false true
	// true false
}

// Positions of a group may lie a little ahead of this gateway's clock, so another gateway's word counts as later than a member's
// denial only beyond as much as was seen.
func Example_relayedPrimaryWithinTheLeadOfPositions() {
	for _, lead := range []float64{0, 4} {
		t := openSharing().list("a* b").txn(2, 2, 0).printRound().end(2, 0, "b", Committed, 2, 10_000+lead)
		t.txn(1, 3, 0).printRound().end(1, 0, "a", NotEligible, 2, 9000)
		for _, position := range []float64{10_000, 10_004, 10_005} {
			t.at(10_020).g.ReceiveUpdate(MemberUpdate{Server{'a'}, Millis(position), true})
			fmt.Println(t.g.StateOf(Server{'a'}).Primary)
		}
	}
	// Output:
	// 10000 submit 2 to b
	//  10000 submit 1 to a
	//  10000 update b at 10000
	// false
	// true
	// true
	//  10000 submit 2 to b
	//  10000 submit 1 to a
	//  10000 update b at 10004
	// false
	// false
	// true
}

// A member that has told that it is a replica is not the primary by the list's word alone because it was gone for a while.
func Example_denialOfMemberThatComesBack() {
	t := openUnchecked().list("a* b").txn(1, 3, 0).printRound().end(1, 0, "a", NotEligible, 2, 9000)
	t.at(10_010).list("b").at(12_000).list("a* b")
	fmt.Println(t.g.StateOf(Server{'a'}).Primary)
	t.at(12_010).list("b")
	t.g.ForgetMember(Server{'a'}) // another server has its address
	t.list("a* b")
	fmt.Println(t.g.StateOf(Server{'a'}).Primary)
	// Output:
	// 10000 submit 1 to a
	// false
	// true
}

// How long ago it told so does not matter, only for how long it was gone.
func Example_oldDenialOfMemberThatComesBack() {
	t := openUnchecked().list("a* b").txn(1, 3, 0).printRound().end(1, 0, "a", NotEligible, 2, 9000)
	for _, gone := range []Nanos{denialRetention - Millis(1000), denialRetention + Millis(1000)} {
		t.at(t.clock + 2*float64(denialRetention/ms)).list("b")
		t.at(t.clock + float64(gone/ms)).printRound().list("a* b")
		fmt.Println(t.g.StateOf(Server{'a'}).Primary)
	}
	// Output:
	// 10000 submit 1 to a
	// 1809000 reject 1
	// false
	// true
}

// A position that another gateway learned before the group's clock was stepped back proves nothing of what was committed since,
// however far that clock has come again.
func Example_relayedPositionFromBeforeAStepBack() {
	t := openSharing(reportsOnProbe...).list("a* b")
	t.g.ClockStepped(Millis(5_000))
	t.txn(1, 3, 0).printRound().at(10_010).end(1, 0, "a", Committed, 1, 15_010) // ahead by 5 s
	t.txn(2, 3, 0).printRound().at(10_020).end(2, 0, "a", Committed, 1, 14_720) // stepped back by 0.3 s
	for _, at := range []float64{10_330, 20_030} {
		t.at(at).g.ReceiveUpdate(MemberUpdate{Server{'b'}, Millis(15_010), false})
		fmt.Println(t.g.StateOf(Server{'b'}).Position / ms)
	}
	// Output:
	// 10000 submit 1 to a
	//  10010 submit 2 to a
	//  10010 update a at 15009
	// 0
	// 15010
}
