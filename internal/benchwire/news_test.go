package benchwire

import (
	"fmt"

	"magpieglade/decide"
)

// Updates are decoded as they were written, rounded down to a millisecond; 45 of them need two messages.
func Example_updates() {
	h, n := &host{}, serverIDs{}
	var updates []decide.MemberUpdate
	for i := range byte(45) {
		s := decide.Server{10, 0, 0, i, 1, 2}
		n.add(s)
		updates = append(updates, decide.MemberUpdate{Server: s, Position: 146484879*decide.Millisecond + 702000, Primary: i == 44})
	}
	h.writeUpdates(updates)
	fmt.Println(h.records, "messages")
	decoded := 0
	for f := (&frame{rest: h.out}); len(f.rest) > 0; {
		f.u8()
		f.u32()
		n.decode(f.take(int(f.u16())), 146485000*decide.Millisecond, func(e decide.MemberUpdate) {
			if e.Server == updates[decoded].Server && e.Position == 146484879*decide.Millisecond && e.Primary == updates[decoded].Primary {
				decoded++
			}
		})
	}
	fmt.Println(decoded, "read")
	// Output:
	// 2 messages
	// 45 read
}

// Entries that are truncated, match no server or could match two are skipped.
func Example_skippedEntries() {
	h := &host{}
	a, b := decide.Server{10, 0, 0, 1, 1, 2}, decide.Server{10, 0, 0, 2, 1, 2}
	h.writeUpdates([]decide.MemberUpdate{{Server: a, Position: decide.Millisecond}, {Server: b, Position: decide.Millisecond}})
	text := h.out[7:]
	known := func(n serverIDs) (all []decide.Server) {
		n.decode(text[:11], 2*decide.Millisecond, func(e decide.MemberUpdate) { all = append(all, e.Server) })
		return all
	}
	fmt.Println(len(known(serverIDs{})), len(known(serverIDs{serverID(a): {a}, serverID(b): {b}})),
		len(known(serverIDs{serverID(a): {a, b}})))
	// Output:
	// 0 1 0
}
