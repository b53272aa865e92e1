package eventloop

import "math/bits"

// buffer is a queue of bytes in one piece. Its capacity is a power of two; it has no memory while it is empty.
type buffer struct {
	data  []byte
	start int // of the bytes in the queue
}

func (b *buffer) len() int { return len(b.data) - b.start }

func (b *buffer) bytes() []byte { return b.data[b.start:] }

// append adds bytes at the end.
func (b *buffer) append(pool *bufferPool, added []byte) {
	size := b.len() + len(added)
	switch {
	case len(b.data)+len(added) <= cap(b.data):
	case size <= cap(b.data):
		b.data = b.data[:copy(b.data, b.bytes())]
		b.start = 0
	default:
		larger := append(pool.get(size), b.bytes()...)
		pool.put(b.data)
		b.data, b.start = larger, 0
	}
	b.data = append(b.data, added...)
}

// discard removes n bytes at the beginning, or all if there are fewer.
func (b *buffer) discard(pool *bufferPool, n int) {
	if b.start += n; b.start >= len(b.data) {
		b.release(pool)
	}
}

func (b *buffer) release(pool *bufferPool) {
	pool.put(b.data)
	*b = buffer{}
}

const (
	minBufferBits  = 8  // buffers have at least 256 bytes
	maxPooledBits  = 14 // larger ones than 16 KiB are left to the garbage collector
	maxPooledBytes = 64 << 10
)

// bufferPool keeps small buffers for reuse, up to maxPooledBytes of each size.
type bufferPool struct {
	free [maxPooledBits + 1][][]byte // by the logarithm of their capacity
}

// get returns an empty buffer for at least size bytes.
func (p *bufferPool) get(size int) []byte {
	n := max(minBufferBits, bits.Len(uint(size-1)))
	if n > maxPooledBits || len(p.free[n]) == 0 {
		return make([]byte, 0, 1<<n)
	}
	last := len(p.free[n]) - 1
	data := p.free[n][last]
	p.free[n] = p.free[n][:last]
	return data
}

// put takes back a buffer that get returned.
func (p *bufferPool) put(data []byte) {
	if cap(data) == 0 {
		return
	}
	n := bits.Len(uint(cap(data) - 1))
	if n <= maxPooledBits && (len(p.free[n])+1)<<n <= maxPooledBytes {
		p.free[n] = append(p.free[n], data[:0])
	}
}
