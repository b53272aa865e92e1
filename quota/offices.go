package quota

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"slices"
)

// Assignment maps shards to allocators: the version that the fleet agreed on, and the one that
// replaces it, if any. Two versions conflict, so package agreement ensures that no gateway acts as an
// allocator by the next one while any may still act by the previous one.
type Assignment struct {
	Version    uint64 // of the version in force, 0 for none
	Allocators []ID   // by shard
	Next       []ID   // nil if no replacement is in progress
}

// assignmentRecord is the stored form of a version.
type assignmentRecord struct {
	Allocators []ID `json:"keepers"`
}

// DecodeAssignment returns the allocators in the stored form of a version.
func DecodeAssignment(encoded []byte) ([]ID, error) {
	var t assignmentRecord
	err := json.Unmarshal(encoded, &t)
	return t.Allocators, err
}

// EncodeAssignment returns the stored form of a version.
func EncodeAssignment(allocators []ID) []byte {
	encoded, err := json.Marshal(assignmentRecord{allocators})
	if err != nil {
		panic(err) // unreachable: the record always has a JSON form
	}
	return encoded
}

// AssignAllocators picks an allocator among the eligible gateways for each shard. An allocator that is
// still eligible keeps its shards; the others are assigned by rendezvous hashing, with at most an even
// number of shards each, so that a change moves as few shards as possible.
func AssignAllocators(previous []ID, eligible []ID) []ID {
	if len(eligible) == 0 {
		return previous
	}
	maxShards := (Shards + len(eligible) - 1) / len(eligible)
	allocators := make([]ID, Shards)
	shardCount := map[ID]int{}
	for b := range allocators {
		if b < len(previous) && slices.Contains(eligible, previous[b]) && shardCount[previous[b]] < maxShards {
			allocators[b] = previous[b]
			shardCount[previous[b]]++
		}
	}
	for b := range allocators {
		if allocators[b] != 0 {
			continue
		}
		order := slices.Clone(eligible)
		slices.SortFunc(order, func(x, y ID) int {
			return cmp.Or(cmp.Compare(rendezvousWeight(b, y), rendezvousWeight(b, x)), cmp.Compare(x, y))
		})
		for _, id := range order {
			if shardCount[id] < maxShards {
				allocators[b] = id
				shardCount[id]++
				break
			}
		}
	}
	return allocators
}

// Candidate is a gateway of the fleet: Admitted if every gateway that may act knows of it, Reachable
// if voters have contact with it.
type Candidate struct {
	ID                  ID
	Admitted, Reachable bool
}

// ReplaceAllocator returns the allocators after one did not respond to this gateway; unresponsive is 0
// if shards have no allocator yet. ok is false if the assignment stays as it is. majorityResponded
// says whether a majority of voters has reported which gateways it reaches: a gateway that reaches few
// may be cut off itself, and an allocator that only one gateway cannot reach stays. Other current
// allocators stay whether reachable or not; a new one must be reachable.
func ReplaceAllocator(previous []ID, unresponsive ID, candidates []Candidate, majorityResponded bool) (next []ID, ok bool) {
	var eligible []ID
	for _, c := range candidates {
		if c.ID == unresponsive && c.Reachable {
			return nil, false
		}
		if c.Admitted && (c.Reachable || c.ID != unresponsive && slices.Contains(previous, c.ID)) {
			eligible = append(eligible, c.ID)
		}
	}
	if !majorityResponded || len(eligible) == 0 {
		return nil, false
	}
	next = AssignAllocators(previous, eligible)
	return next, !slices.Equal(next, previous)
}

// ReassignTimeout is how long a proposal for another assignment may take before it is reconsidered.
func (t *Config) ReassignTimeout() int64 { return 2 * t.LeaseDuration }

// rendezvousWeight returns the hash weight of a gateway for a shard.
func rendezvousWeight(book int, id ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{byte(book)}, uint64(id)))
	x := h.Sum64() // its low bits are well mixed, its high ones are not
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// allocator returns the allocator of a shard, 0 for none.
func (o *Assignment) allocator(book int) ID {
	if book >= len(o.Allocators) {
		return 0
	}
	return o.Allocators[book]
}

// SetAssignment takes the assignment of shards. A shard that this gateway begins to allocate stays
// quiet until all grants of a previous allocator, or of a previous incarnation of this one, have
// expired: meanwhile it renews what holders report and grants nothing else.
func (q *Quota) SetAssignment(o Assignment) {
	for b := range q.shards {
		k := &q.shards[b]
		wasActive := k.active
		// It stops as soon as a replacement is announced, and starts only once the previous allocator can no
		// longer act.
		k.active = o.allocator(b) == q.config.Self && (o.Next == nil || b < len(o.Next) && o.Next[b] == q.config.Self)
		if k.active && !wasActive {
			k.entries, k.lastSequence = map[uint64]*limitState{}, max(k.lastSequence, q.config.Incarnation)
			k.quietUntil = q.now + q.config.LeaseDuration + q.config.ClockError + q.config.MaxEffectDelay + q.config.MaxTxnDuration
			q.log("keeps book %d", b)
		}
		if !k.active && wasActive {
			k.entries = nil
			q.log("no longer keeps book %d", b)
		}
		if o.allocator(b) != q.assignment.allocator(b) { // another allocator numbers its grants anew
			q.requests[b] = requestState{urgent: q.requests[b].urgent || q.requests[b].sentAt != 0}
			for key, p := range q.allocations {
				if shardOf(key) == b {
					p.sequence = 0
				}
			}
		}
	}
	q.assignment = o
}
