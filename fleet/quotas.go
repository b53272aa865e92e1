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

// assignmentSubject is the agreement subject of the assignment of allocators.
const assignmentSubject = "offices"

// quotaMessageKind is the first byte of a sealed quota message; the kinds of agreement messages are lower.
const quotaMessageKind = 64

// surveyCheckInterval is the time between checks for a complete survey, in nanoseconds.
const surveyCheckInterval = int64(5e6)

// Quotas hosts the quota module. It must be used from the event loop only.
type Quotas struct {
	fleet        *Fleet
	config       quota.Config
	Module       *quota.Quota
	buffer       []byte
	wakeAt       int64
	needsRound   bool
	hasLimits    bool         // there are fleet-wide limits
	unresponsive agreement.ID // allocator to replace, while the voters are asked whether it is unavailable; 0 if none
	surveying    bool
	proposalNo   uint64 // of the pending proposal for another assignment, 0 if none
	lastVersion  uint64
}

// NewQuotas creates the module and attaches it to f. maxTxnDuration is the maximum over all txn types.
func NewQuotas(f *Fleet, maxTxnDuration int64) (*Quotas, error) {
	config := f.config.Agreement
	q := &Quotas{fleet: f, config: quota.Config{Self: f.identity.ID, Incarnation: f.identity.Epoch, LeaseDuration: config.Lease, ClockError: config.ClockError, MaxEffectDelay: config.EffectDelay, MaxTxnDuration: maxTxnDuration}}
	m, err := quota.New(q.config)
	q.Module = m
	f.quotas = q
	return q, err
}

// UpdateClock passes the current time and the end of the lease to the module.
func (q *Quotas) UpdateClock() { q.Module.Clock(q.fleet.host.Now(), q.fleet.LeaseUntil()) }

// SetLimits sets the fleet-wide limits.
func (q *Quotas) SetLimits(limits []quota.Limit) error {
	q.UpdateClock()
	q.needsRound = true
	q.hasLimits = len(limits) > 0
	return q.Module.SetLimits(limits)
}

// receive handles a quota message of another gateway.
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

// RequestRound has the next ProcessDecisions run the module, which received input.
func (q *Quotas) RequestRound() { q.needsRound = true }

// ProcessDecisions carries out the decisions of the module until none is left.
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

// updateAssignment passes the assignment of allocators in the manifest that this gateway is about to adopt to the module.
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
				q.fleet.host.Logger().Error("cannot decode the assignment of allocators", "why", err)
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

// reassign proposes to replace an allocator once the voters confirm that it is unavailable: that only this gateway cannot
// reach it is no reason.
func (q *Quotas) reassign(now int64) {
	if !q.surveying {
		return
	}
	leases, complete := q.fleet.SurveyResult()
	if !complete {
		q.fleet.host.WakeAfter(surveyCheckInterval)
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
			return // another version is pending
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

// handleOutcome handles the outcome of its own proposal; it reports false for any other proposal.
func (q *Quotas) handleOutcome(no uint64, o agreement.Outcome) bool {
	if no != q.proposalNo || no == 0 {
		return false
	}
	q.proposalNo = 0
	if !o.Done {
		q.fleet.host.Logger().Info("proposed change of allocators not accepted", "why", o.Reason)
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

// quotaHeader is the wire format of a quota message without its items, big-endian. The sealed envelope names the sender.
type quotaHeader struct {
	Kind, Type, Shard              uint8
	AssignmentVersion, Incarnation uint64
	RequestTime                    int64
}

var errMalformedQuota = errors.New("malformed quota message")

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

// LimitStatus is the state of a fleet-wide limit at one gateway.
type LimitStatus struct {
	Name           string
	Amount         int64
	Rate           bool          // amounts are thousandths of a txn per second
	Allocator      string        `json:"Keeper"`
	Allocation     int64         `json:"Part"` // held by this gateway
	Used           int64         // of the allocation, or tokens of a rate
	Demand         int64         `json:"Want"`
	LeaseRemaining int64         `json:"Left"`  // nanoseconds until the allocation expires
	Grants         []quota.Grant `json:"Loans"` // if this gateway is the allocator
	HolderNames    []string      `json:"Names"` // of the holders of Grants
}

// Limits returns the state of all fleet-wide limits.
func (q *Quotas) Limits() (statuses []LimitStatus) {
	q.UpdateClock()
	for _, limit := range q.Module.Limits() {
		status := LimitStatus{Name: limit.Name, Amount: limit.Amount, Rate: limit.Kind == quota.Rate, Allocator: "-"}
		if id := q.Module.Allocator(limit.Key); id != 0 {
			status.Allocator = q.fleet.nameOf(id)
		}
		var until int64
		status.Allocation, status.Used, status.Demand, until = q.Module.Allocation(limit.Key)
		status.LeaseRemaining = until - q.fleet.host.Now()
		status.Grants, _ = q.Module.Grants(limit.Key)
		for _, l := range status.Grants {
			status.HolderNames = append(status.HolderNames, q.fleet.nameOf(l.Holder))
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// nameOf returns a gateway's name in the list, or its ID in hexadecimal if it is not listed.
func (f *Fleet) nameOf(id agreement.ID) string {
	for _, g := range f.Manifest().Gateways {
		if g.ID == id {
			return g.Name
		}
	}
	return fmt.Sprintf("%x", uint64(id))
}
