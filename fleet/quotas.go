package fleet

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"magpieglade/agreement"
	"magpieglade/quota"
)

// subjectOffices is the subject of who keeps the books of bounds, as the fleet agrees on it.
const assignmentSubject = "offices"

// kindOfQuota begins a sealed message that is the quota's; the agreement's kinds are lower.
const quotaMessageKind = 64

// Quotas hosts the module in quota. It belongs to the loop.
type Quotas struct {
	fleet        *Fleet
	config       quota.Config
	Module       *quota.Quota
	buffer       []byte
	wakeAt       int64
	needsRound   bool
	hasLimits    bool         // there is a bound of the fleet
	unresponsive agreement.ID // whose books are to move, while voters are asked whether it is away
	surveying    bool
	proposalNo   uint64 // for another version that is under way
	lastVersion  uint64
}

// NewQuotas prepares it. linger is the longest time of any txn type.
func NewQuotas(f *Fleet, maxTxnDuration int64) (*Quotas, error) {
	config := f.config.Agreement
	q := &Quotas{fleet: f, config: quota.Config{Self: f.identity.ID, Incarnation: f.identity.Epoch, LeaseDuration: config.Lease, ClockError: config.ClockError, MaxEffectDelay: config.EffectDelay, MaxTxnDuration: maxTxnDuration}}
	m, err := quota.New(q.config)
	q.Module = m
	f.quotas = q
	return q, err
}

// Clock has the module know the time.
func (q *Quotas) UpdateClock() { q.Module.Clock(q.fleet.host.Now(), q.fleet.LeaseUntil()) }

// Bounds takes the fleet's.
func (q *Quotas) SetLimits(limits []quota.Limit) error {
	q.UpdateClock()
	q.needsRound = true
	q.hasLimits = len(limits) > 0
	return q.Module.SetLimits(limits)
}

// heard takes a message.
func (q *Quotas) receive(from agreement.ID, body []byte) error {
	m, err := decodeQuota(body)
	if err != nil {
		return err
	}
	m.From, m.To = from, q.fleet.identity.ID
	q.UpdateClock()
	q.needsRound = true
	q.Module.Receive(m)
	return nil
}

// Stir has the module asked in this turn, as something was asked of it.
func (q *Quotas) RequestRound() { q.needsRound = true }

// Turn carries out what the module decides until there is nothing left.
func (q *Quotas) ProcessDecisions() {
	now := q.fleet.host.Now()
	if !q.needsRound && now < q.wakeAt && !q.surveying {
		return
	}
	q.needsRound = false
	q.UpdateClock()
	for d, ok := q.Module.Next(); ok; d, ok = q.Module.Next() {
		switch d.Kind {
		case quota.Send:
			q.send(&d.Message)
		case quota.Reassign:
			if q.unresponsive == 0 && !q.surveying {
				q.unresponsive, q.surveying = d.Allocator, true
				q.fleet.Survey()
			}
		case quota.Wake:
			q.wakeAt = now + d.After
			q.fleet.host.WakeAfter(d.After)
		case quota.Log:
			q.fleet.host.Logger().Info("quota: " + d.Text)
		}
	}
	q.reassign(now)
}

// offices takes who keeps the books, of what this gateway is about to hold.
func (q *Quotas) updateAssignment(m *agreement.Manifest, text func(agreement.Digest) []byte) {
	var assignment quota.Assignment
	for _, s := range m.Subjects {
		if s.Name != assignmentSubject {
			continue
		}
		decode := func(v *agreement.Version) []quota.ID {
			if v == nil {
				return nil
			}
			ids, err := quota.DecodeAssignment(text(v.Digest))
			if err != nil {
				q.fleet.host.Logger().Error("who keeps the books of bounds can't be read", "why", err)
			}
			return ids
		}
		assignment.Allocators, assignment.Next = decode(s.InForce), decode(s.Next)
		if s.InForce != nil {
			assignment.Version = s.InForce.No
		}
		q.lastVersion = s.LastVersion
	}
	q.UpdateClock()
	q.needsRound = true
	q.Module.SetAssignment(assignment)
}

// move asks for other keepers once voters have said that one is away: that a single gateway can't reach it is no reason.
func (q *Quotas) reassign(now int64) {
	if !q.surveying {
		return
	}
	leases, complete := q.fleet.SurveyResult()
	if !complete {
		q.fleet.host.WakeAfter(int64(5e6))
		return
	}
	q.surveying = false
	manifest := q.fleet.Manifest()
	allocator := q.unresponsive
	q.unresponsive = 0
	if q.proposalNo != 0 || now >= q.fleet.LeaseUntil() {
		return
	}
	current := []quota.ID{}
	for _, s := range manifest.Subjects {
		if s.Name == assignmentSubject && s.Next == nil && s.InForce != nil {
			current, _ = quota.DecodeAssignment(q.fleet.Text(s.InForce.Digest))
		} else if s.Name == assignmentSubject {
			return // another version is on its way
		}
	}
	var candidates []quota.Candidate
	for _, g := range manifest.Gateways {
		i := slices.IndexFunc(leases, func(s agreement.GatewayLease) bool { return s.ID == g.ID })
		candidates = append(candidates, quota.Candidate{ID: g.ID, Admitted: g.KnownToAll, Reachable: i >= 0 && leases[i].Remaining > 0})
	}
	next, ok := quota.ReplaceAllocator(current, allocator, candidates, q.fleet.module.SurveyHasQuorum())
	if !ok {
		return
	}
	reason := "nobody keeps the books yet"
	if allocator != 0 {
		reason = fmt.Sprintf("gateway %s does not answer, and no voter hears of it", q.fleet.nameOf(allocator))
	}
	v := agreement.Version{Subject: assignmentSubject, Predecessor: q.lastVersion, Author: "gateway " + q.fleet.config.Name, ProposedAt: time.Now().UnixNano(), Reason: reason, FormatVersion: 1,
		Conflicts: []string{"a bound's keeper"}}
	q.proposalNo, _ = q.fleet.Propose(agreement.Proposal{Version: &v}, quota.EncodeAssignment(next), time.Duration(q.config.ReassignTimeout()))
}

// outcome takes what became of a wish of its own.
func (q *Quotas) handleOutcome(no uint64, o agreement.Outcome) bool {
	if no != q.proposalNo || no == 0 {
		return false
	}
	q.proposalNo = 0
	if !o.Done {
		q.fleet.host.Logger().Info("the keepers of bounds are not changed by this gateway", "why", o.Reason)
	}
	return true
}

func (q *Quotas) send(m *quota.Message) {
	to, ok := q.fleet.addresses[m.To]
	if !ok {
		q.fleet.dropped++
		return
	}
	q.fleet.sendSealed(appendQuota(q.buffer[:0], m), to)
}

// quotaHead is a message of the quota but for its items, big-endian. Who sent it is said around it.
type quotaHeader struct {
	Kind, Type, Shard              uint8
	AssignmentVersion, Incarnation uint64
	RequestTime                    int64
}

var errMalformedQuota = errors.New("malformed message of the quota")

func appendQuota(dst []byte, m *quota.Message) []byte {
	dst, _ = binary.Append(dst, binary.BigEndian, &quotaHeader{quotaMessageKind, uint8(m.Kind), uint8(m.Shard), m.AssignmentVersion, m.Incarnation, m.RequestTime})
	dst, _ = binary.Append(dst, binary.BigEndian, m.Items)
	return dst
}

func decodeQuota(data []byte) (*quota.Message, error) {
	var h quotaHeader
	r := bytes.NewReader(data)
	if binary.Read(r, binary.BigEndian, &h) != nil || r.Len()%binary.Size(quota.Item{}) != 0 {
		return nil, errMalformedQuota
	}
	m := &quota.Message{Kind: quota.MessageKind(h.Type), Shard: int(h.Shard), AssignmentVersion: h.AssignmentVersion, Incarnation: h.Incarnation, RequestTime: h.RequestTime}
	m.Items = make([]quota.Item, r.Len()/binary.Size(quota.Item{}))
	if binary.Read(r, binary.BigEndian, m.Items) != nil {
		return nil, errMalformedQuota
	}
	return m, nil
}

// Part is a bound of the fleet as one gateway has it.
type LimitStatus struct {
	Name           string
	Amount         int64
	Rate           bool          // then amounts are in thousandths of a txn, a second
	Allocator      string        `json:"Keeper"`
	Allocation     int64         `json:"Part"` // that this gateway holds
	Used           int64         // of that, or a rate's tokens
	Demand         int64         `json:"Want"`
	LeaseRemaining int64         `json:"Left"`  // nanoseconds of its lease
	Grants         []quota.Grant `json:"Loans"` // where this gateway keeps the book
	HolderNames    []string      `json:"Names"` // of their holders
}

// Parts tells of all bounds.
func (q *Quotas) Limits() (statuses []LimitStatus) {
	q.UpdateClock()
	for _, b := range q.Module.Limits() {
		p := LimitStatus{Name: b.Name, Amount: b.Amount, Rate: b.Kind == quota.Rate, Allocator: "-"}
		if id := q.Module.Allocator(b.Key); id != 0 {
			p.Allocator = q.fleet.nameOf(id)
		}
		var until int64
		p.Allocation, p.Used, p.Demand, until = q.Module.Allocation(b.Key)
		p.LeaseRemaining = until - q.fleet.host.Now()
		p.Grants, _ = q.Module.Grants(b.Key)
		for _, l := range p.Grants {
			p.HolderNames = append(p.HolderNames, q.fleet.nameOf(l.Holder))
		}
		statuses = append(statuses, p)
	}
	return statuses
}

// nameOf is a gateway's name in the list, or its ID.
func (f *Fleet) nameOf(id agreement.ID) string {
	for _, g := range f.Manifest().Gateways {
		if g.ID == id {
			return g.Name
		}
	}
	return fmt.Sprintf("%x", uint64(id))
}
