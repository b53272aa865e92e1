package benchwire

import (
	"hash/fnv"
	"math"

	"magpieglade/decide"
)

// News go between instances in messages of at most 256 bytes that are paid for by the byte. An entry is 24 bits that
// stand for the server, 23 of its position in milliseconds, rounded down, and one that is set if it was primary then.
const (
	entrySize      = 6
	maxMessageSize = 256
	idBits         = 24
	positionWrap   = 1 << 23 // milliseconds after which positions look alike: over two hours
	allInstances   = math.MaxUint32
)

// names are the servers that an instance was told of, by what stands for them in messages. Two with one such name
// are both left out: nothing is believed of the wrong one.
type serverIDs map[uint32][]decide.Server

func serverID(s decide.Server) uint32 {
	h := fnv.New32a()
	_, _ = h.Write(s[:])
	return h.Sum32() >> (32 - idBits)
}

func (n serverIDs) add(s decide.Server) {
	id := serverID(s)
	for _, known := range n[id] {
		if known == s {
			return
		}
	}
	n[id] = append(n[id], s)
}

// read hands out the entries of a message; what is spoilt or names nobody is left aside.
func (n serverIDs) decode(text []byte, now decide.Nanos, apply func(decide.MemberUpdate)) {
	for ; len(text) >= entrySize; text = text[entrySize:] {
		servers := n[le.Uint32(text)&(1<<idBits-1)]
		if len(servers) != 1 {
			continue
		}
		packed := le.Uint32(text[2:]) >> 8
		clock := int64(now / decide.Millisecond)
		ago := (clock - int64(packed>>1)) & (positionWrap - 1)
		apply(decide.MemberUpdate{Server: servers[0], Position: decide.Nanos(clock-ago) * decide.Millisecond, Primary: packed&1 == 1})
	}
}

// tell writes news as messages to all other instances.
func (h *host) writeUpdates(updates []decide.MemberUpdate) {
	for len(updates) > 0 {
		n := min(len(updates), maxMessageSize/entrySize)
		h.startRecord(87)
		h.out = le.AppendUint32(h.out, allInstances)
		h.out = le.AppendUint16(h.out, uint16(n*entrySize))
		for _, e := range updates[:n] {
			packed := uint32(e.Position/decide.Millisecond) & (positionWrap - 1) << 1
			if e.Primary {
				packed |= 1
			}
			id := serverID(e.Server)
			h.out = append(h.out, byte(id), byte(id>>8), byte(id>>16), byte(packed), byte(packed>>8), byte(packed>>16))
		}
		updates = updates[n:]
	}
}
