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
	var record assignmentRecord
	err := json.Unmarshal(encoded, &record)
	return record.Allocators, err
}

// EncodeAssignment returns the stored form of a version.
func EncodeAssignment(allocators []ID) []byte {
	encoded, err := json.Marshal(assignmentRecord{allocators})
	if err != nil {
		panic(err) // unreachable: the record always has a JSON form
	}
	return encoded
}

// AssignAllocators picks an allocator among the eligible gateways for each shard. Each gets at most an
// equal share of the shards, rounded up. Up to that, an allocator that is still eligible keeps its
// shards; the others are assigned by rendezvous hashing, so that a change moves as few as possible.
func AssignAllocators(previous []ID, eligible []ID) []ID {
	if len(eligible) == 0 {
		return previous
	}
	maxShards := (Shards + len(eligible) - 1) / len(eligible)
	allocators := make([]ID, Shards)
	shardCount := map[ID]int{}
	for shardIndex := range allocators {
		if shardIndex < len(previous) && slices.Contains(eligible, previous[shardIndex]) && shardCount[previous[shardIndex]] < maxShards {
			allocators[shardIndex] = previous[shardIndex]
			shardCount[previous[shardIndex]]++
		}
	}
	for shardIndex := range allocators {
		if allocators[shardIndex] != 0 {
			continue
		}
		order := slices.Clone(eligible)
		slices.SortFunc(order, func(x, y ID) int {
			return cmp.Or(cmp.Compare(rendezvousWeight(shardIndex, y), rendezvousWeight(shardIndex, x)), cmp.Compare(x, y))
		})
		for _, id := range order {
			if shardCount[id] < maxShards {
				allocators[shardIndex] = id
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
func (c *Config) ReassignTimeout() int64 { return 2 * c.LeaseDuration }

// rendezvousWeight returns the hash weight of a gateway for a shard.
func rendezvousWeight(shardIndex int, id ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{byte(shardIndex)}, uint64(id)))
	x := h.Sum64() // its low bits are well mixed, its high ones are not
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// allocator returns the allocator of a shard, 0 for none.
func (a *Assignment) allocator(shardIndex int) ID {
	if shardIndex >= len(a.Allocators) {
		return 0
	}
	return a.Allocators[shardIndex]
}

// SetAssignment takes the assignment of shards. A shard that this gateway begins to allocate stays
// quiet until all grants of a previous allocator, or of a previous incarnation of this one, have
// expired: meanwhile it renews what holders report and grants nothing else.
func (q *Quota) SetAssignment(assignment Assignment) {
	for shardIndex := range q.shards {
		sh := &q.shards[shardIndex]
		wasActive := sh.active
		// It stops as soon as a replacement is announced, and starts only once the previous allocator can no
		// longer act.
		sh.active = assignment.allocator(shardIndex) == q.config.Self && (assignment.Next == nil || shardIndex < len(assignment.Next) && assignment.Next[shardIndex] == q.config.Self)
		if sh.active && !wasActive {
			sh.limits, sh.lastSequence = map[uint64]*limitState{}, max(sh.lastSequence, q.config.Incarnation)
			sh.quietUntil = q.now + q.config.LeaseDuration + q.config.ClockError + q.config.MaxEffectDelay + q.config.MaxTxnDuration
			q.log("became the allocator of shard %d", shardIndex)
		}
		if !sh.active && wasActive {
			sh.limits = nil
			q.log("is no longer the allocator of shard %d", shardIndex)
		}
		if assignment.allocator(shardIndex) != q.assignment.allocator(shardIndex) { // another allocator numbers its grants anew
			q.requests[shardIndex] = requestState{urgent: q.requests[shardIndex].urgent || q.requests[shardIndex].sentAt != 0}
			for key, alloc := range q.allocations {
				if shardOf(key) == shardIndex {
					alloc.sequence = 0
				}
			}
		}
	}
	q.assignment = assignment
}
