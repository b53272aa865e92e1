// Package slots is a slot map: it stores values in numbered slots that are reused. A reference holds a slot's index and
// generation, so that a stale reference finds nothing, even after the slot was reused.
package slots

// Ref refers to a value in a table; the zero Ref refers to none.
type Ref struct{ index, generation uint32 }

type slot[T any] struct {
	generation uint32 // odd while in use
	value      T
}

// Table is a set of numbered slots.
type Table[T any] struct {
	slots []*slot[T]
	free  []uint32
}

// Add stores a value in a free slot. The pointer that Get returns for it stays valid until Remove.
func (t *Table[T]) Add(value T) Ref {
	if len(t.free) == 0 {
		t.slots = append(t.slots, new(slot[T]))
		t.free = append(t.free, uint32(len(t.slots)-1))
	}
	i := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	s := t.slots[i]
	s.generation++
	s.value = value
	return Ref{i, s.generation}
}

// Get returns the referenced value, nil if it was removed.
func (t *Table[T]) Get(r Ref) *T {
	if r.generation&1 == 0 || int(r.index) >= len(t.slots) || t.slots[r.index].generation != r.generation {
		return nil
	}
	return &t.slots[r.index].value
}

// Remove frees the slot of a value; a stale reference is ignored.
func (t *Table[T]) Remove(r Ref) {
	if t.Get(r) == nil {
		return
	}
	s := t.slots[r.index]
	s.generation++
	var zero T
	s.value = zero
	t.free = append(t.free, r.index)
}

// Len returns the number of values in the table.
func (t *Table[T]) Len() int { return len(t.slots) - len(t.free) }

// Refs returns references to all current values in slot order. Values may be removed while the caller iterates.
func (t *Table[T]) Refs() []Ref {
	refs := make([]Ref, 0, t.Len())
	for i, s := range t.slots {
		if s.generation&1 == 1 {
			refs = append(refs, Ref{uint32(i), s.generation})
		}
	}
	return refs
}
