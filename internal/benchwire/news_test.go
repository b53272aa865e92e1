package benchwire

import (
	"fmt"

	"magpieglade/decide"
)

// News come back as they were told, rounded down to a millisecond; 45 of them need two messages.
func Example_news() {
	h, n := &host{}, names{}
	var news []decide.News
	for i := range byte(45) {
		s := decide.Server{10, 0, 0, i, 1, 2}
		n.add(s)
		news = append(news, decide.News{Server: s, Position: 146484879*decide.Millisecond + 702000, Primary: i == 44})
	}
	h.tell(news)
	fmt.Println(h.records, "messages")
	read := 0
	for f := (&frame{rest: h.out}); len(f.rest) > 0; {
		f.u8()
		f.u32()
		n.read(f.take(int(f.u16())), 146485000*decide.Millisecond, func(e decide.News) {
			if e.Server == news[read].Server && e.Position == 146484879*decide.Millisecond && e.Primary == news[read].Primary {
				read++
			}
		})
	}
	fmt.Println(read, "read")
	// Output:
	// 2 messages
	// 45 read
}

// What is cut short, names nobody, or could be one of two is left aside.
func Example_newsLeftAside() {
	h := &host{}
	a, b := decide.Server{10, 0, 0, 1, 1, 2}, decide.Server{10, 0, 0, 2, 1, 2}
	h.tell([]decide.News{{Server: a, Position: decide.Millisecond}, {Server: b, Position: decide.Millisecond}})
	text := h.out[7:]
	known := func(n names) (all []decide.Server) {
		n.read(text[:11], 2*decide.Millisecond, func(e decide.News) { all = append(all, e.Server) })
		return all
	}
	fmt.Println(len(known(names{})), len(known(names{short(a): {a}, short(b): {b}})), len(known(names{short(a): {a, b}})))
	// Output:
	// 0 1 0
}
