package gateway

// reservedDescriptors are kept free for everything other than connections: the standard files, the listener, the pollers
// of the event loop and of the runtime, an accepted connection that is rejected, and short-lived duplicates.
const reservedDescriptors = 32

// descriptorBudget counts the file descriptors that connections may still use. The code that acquires descriptors owns
// them and releases them where it releases the connection's slot.
type descriptorBudget struct{ total, free, used, peak int }

// acquire takes n descriptors, if at least reserved ones then remain free for other uses.
func (b *descriptorBudget) acquire(n, reserved int) bool {
	if b.free < n+reserved {
		return false
	}
	b.free -= n
	b.used += n
	b.peak = max(b.peak, b.used)
	return true
}

// release returns n descriptors to the budget.
func (b *descriptorBudget) release(n int) {
	b.free += n
	b.used -= n
}
