package gateway

// reserve is what the process holds beside connections: standard files, the listener, the pollers of gnet and
// of the runtime, an accepted connection that is turned away, duplicates of a moment.
const reserve = 32

// budget counts the descriptors that connections may still take. Who takes some owns them, and gives them
// back where its slot is given back.
type budget struct{ all, free, used, most int }

// take takes some if so many are left to others then.
func (b *budget) take(n, others int) bool {
	if b.free < n+others {
		return false
	}
	b.free -= n
	b.used += n
	b.most = max(b.most, b.used)
	return true
}

func (b *budget) give(n int) {
	b.free += n
	b.used -= n
}
