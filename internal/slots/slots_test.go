package slots

import "fmt"

// A stale reference must not find the value that reuses its slot.
func Example() {
	var t Table[string]
	a := t.Add("a")
	b := t.Add("b")
	t.Remove(a)
	t.Remove(a)
	c := t.Add("c")
	fmt.Println(t.Get(a) == nil, *t.Get(b), *t.Get(c), t.Get(Ref{}) == nil, a.index == c.index, t.Len(), len(t.Refs()))
	// Output: true b c true true 2 2
}
