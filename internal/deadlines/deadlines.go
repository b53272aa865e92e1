// Package deadlines is a priority queue of values ordered by deadline.
package deadlines

import "container/heap"

// Entry is one deadline; it belongs to the queue that created it.
type Entry[T any] struct {
	at       int64
	sequence uint64 // entries with equal deadlines are due in the order in which they were added
	index    int    // position in the heap, -1 once the entry is due or removed
	value    T
}

// Queue is an ordered set of deadlines; times are nanoseconds of the caller's clock.
type Queue[T any] struct {
	entries      entries[T]
	lastSequence uint64
}

// Add inserts a value with its deadline.
func (q *Queue[T]) Add(at int64, value T) *Entry[T] {
	q.lastSequence++
	e := &Entry[T]{at: at, sequence: q.lastSequence, value: value}
	heap.Push(&q.entries, e)
	return e
}

// Remove removes an entry. A nil entry, and one that was already due or removed, is ignored.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e != nil && e.index >= 0 {
		heap.Remove(&q.entries, e.index)
	}
}

// Next returns the earliest deadline; ok is false if the queue is empty.
func (q *Queue[T]) Next() (at int64, ok bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].at, true
}

// PopDue removes and returns the earliest value if its deadline has passed.
func (q *Queue[T]) PopDue(now int64) (value T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at > now {
		return value, false
	}
	return heap.Pop(&q.entries).(*Entry[T]).value, true
}

// entries implements heap.Interface.
type entries[T any] []*Entry[T]

func (s entries[T]) Len() int { return len(s) }
func (s entries[T]) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].sequence < s[j].sequence
}
func (s entries[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}
func (s *entries[T]) Push(x any) {
	e := x.(*Entry[T])
	e.index = len(*s)
	*s = append(*s, e)
}
func (s *entries[T]) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last], *s = nil, (*s)[:last]
	e.index = -1
	return e
}
