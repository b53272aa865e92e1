package gateway

// reserve is what the process holds beside connections: standard files, the listener, the pollers of gnet and
// of the runtime, an accepted connection that is turned away, duplicates of a moment.
const reservedDescriptors = 32

// descriptorBudget counts the descriptors that connections may still take. Who takes some owns them, and gives them
// back where its slot is given back.
type descriptorBudget struct{ total, free, used, peak int }

// take takes some if so many are left to others then.
func (b *descriptorBudget) acquire(n, others int) bool {
	if b.free < n+others {
		return false
	}
	b.free -= n
	b.used += n
	b.peak = max(b.peak, b.used)
	return true
}

func (b *descriptorBudget) release(n int) {
	b.free += n
	b.used -= n
}
