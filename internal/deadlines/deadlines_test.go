package deadlines

import "fmt"

// Entries with equal deadlines are due in the order in which they were added; removing one twice, or after it was due,
// has no effect.
func Example() {
	var q Queue[string]
	for i, s := range []string{"d", "a", "b", "removed", "e", "c"} {
		e := q.Add([]int64{40, 10, 20, 15, 50, 20}[i], s)
		if s == "removed" {
			q.Remove(e)
			q.Remove(e)
		}
	}
	q.Remove(nil)
	fmt.Println(q.Next())
	for at := int64(0); at <= 40; at += 20 {
		for v, ok := q.PopDue(at); ok; v, ok = q.PopDue(at) {
			fmt.Println(at, v)
		}
	}
	fmt.Println(q.Next())
	// Output:
	// 10 true
	// 20 a
	// 20 b
	// 20 c
	// 40 d
	// 50 true
}
