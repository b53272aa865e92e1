package benchwire

import (
	"hash/fnv"
	"math"

	"magpieglade/decide"
)

// Member updates are exchanged between instances in messages of at most 256 bytes, which are paid for by the
// byte. An entry has 24 bits that identify the server, 23 bits of its position in milliseconds, rounded
// down, and one bit that is set if it was primary then.
const (
	entrySize      = 6
	maxMessageSize = 256
	idBits         = 24
	positionWrap   = 1 << 23 // in milliseconds; positions are ambiguous beyond this: over two hours
	allInstances   = math.MaxUint32
)

// serverIDs maps the short ids used in messages to the servers that an instance knows. If two servers share
// an id, both are ignored, so that no update is applied to the wrong one.
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

// decode calls apply for each entry of a message. It skips a truncated entry, and entries whose id matches no
// known server or several.
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

// writeUpdates writes updates as messages to all other instances.
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
