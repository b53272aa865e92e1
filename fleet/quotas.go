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
const subjectOffices = "offices"

// kindOfQuota begins a sealed message that is the quota's; the agreement's kinds are lower.
const kindOfQuota = 64

// Quotas hosts the module in quota. It belongs to the loop.
type Quotas struct {
	f       *Fleet
	terms   quota.Config
	Module  *quota.Quota
	out     []byte
	wakeAt  int64
	stirred bool
	wants   bool         // there is a bound of the fleet
	moving  agreement.ID // whose books are to move, while voters are asked whether it is away
	asking  bool
	wish    uint64 // for another version that is under way
	version uint64
}

// NewQuotas prepares it. linger is the longest time of any txn type.
func NewQuotas(f *Fleet, linger int64) (*Quotas, error) {
	t := f.plan.Terms
	q := &Quotas{f: f, terms: quota.Config{Self: f.me.ID, Incarnation: f.me.Epoch, LeaseDuration: t.Lease, ClockError: t.ClockError, MaxEffectDelay: t.EffectDelay, MaxTxnDuration: linger}}
	m, err := quota.New(q.terms)
	q.Module = m
	f.quotas = q
	return q, err
}

// Clock has the module know the time.
func (q *Quotas) Clock() { q.Module.Clock(q.f.host.Now(), q.f.Leased()) }

// Bounds takes the fleet's.
func (q *Quotas) Bounds(all []quota.Limit) error {
	q.Clock()
	q.stirred = true
	q.wants = len(all) > 0
	return q.Module.SetLimits(all)
}

// heard takes a message.
func (q *Quotas) heard(from agreement.ID, body []byte) error {
	m, err := readQuota(body)
	if err != nil {
		return err
	}
	m.From, m.To = from, q.f.me.ID
	q.Clock()
	q.stirred = true
	q.Module.Receive(m)
	return nil
}

// Stir has the module asked in this turn, as something was asked of it.
func (q *Quotas) Stir() { q.stirred = true }

// Turn carries out what the module decides until there is nothing left.
func (q *Quotas) Turn() {
	now := q.f.host.Now()
	if !q.stirred && now < q.wakeAt && !q.asking {
		return
	}
	q.stirred = false
	q.Clock()
	for d, ok := q.Module.Next(); ok; d, ok = q.Module.Next() {
		switch d.Kind {
		case quota.Send:
			q.send(&d.Message)
		case quota.Reassign:
			if q.moving == 0 && !q.asking {
				q.moving, q.asking = d.Allocator, true
				q.f.Survey()
			}
		case quota.Wake:
			q.wakeAt = now + d.After
			q.f.host.WakeAfter(d.After)
		case quota.Log:
			q.f.host.Logger().Info("quota: " + d.Text)
		}
	}
	q.move(now)
}

// offices takes who keeps the books, of what this gateway is about to hold.
func (q *Quotas) offices(m *agreement.Manifest, text func(agreement.Digest) []byte) {
	var o quota.Assignment
	for _, s := range m.Subjects {
		if s.Name != subjectOffices {
			continue
		}
		read := func(v *agreement.Version) []quota.ID {
			if v == nil {
				return nil
			}
			ids, err := quota.DecodeAssignment(text(v.Digest))
			if err != nil {
				q.f.host.Logger().Error("who keeps the books of bounds can't be read", "why", err)
			}
			return ids
		}
		o.Allocators, o.Next = read(s.InForce), read(s.Next)
		if s.InForce != nil {
			o.Version = s.InForce.No
		}
		q.version = s.LastVersion
	}
	q.Clock()
	q.stirred = true
	q.Module.SetAssignment(o)
}

// move asks for other keepers once voters have said that one is away: that a single gateway can't reach it is no reason.
func (q *Quotas) move(now int64) {
	if !q.asking {
		return
	}
	seen, over := q.f.Surveyed()
	if !over {
		q.f.host.WakeAfter(int64(5e6))
		return
	}
	q.asking = false
	held := q.f.Held()
	keeper := q.moving
	q.moving = 0
	if q.wish != 0 || now >= q.f.Leased() {
		return
	}
	before := []quota.ID{}
	for _, s := range held.Subjects {
		if s.Name == subjectOffices && s.Next == nil && s.InForce != nil {
			before, _ = quota.DecodeAssignment(q.f.Text(s.InForce.Digest))
		} else if s.Name == subjectOffices {
			return // another version is on its way
		}
	}
	var list []quota.Candidate
	for _, g := range held.Gateways {
		i := slices.IndexFunc(seen, func(s agreement.GatewayLease) bool { return s.ID == g.ID })
		list = append(list, quota.Candidate{ID: g.ID, Admitted: g.KnownToAll, Reachable: i >= 0 && seen[i].Remaining > 0})
	}
	next, ok := quota.ReplaceAllocator(before, keeper, list, q.f.module.SurveyHasQuorum())
	if !ok {
		return
	}
	why := "nobody keeps the books yet"
	if keeper != 0 {
		why = fmt.Sprintf("gateway %s does not answer, and no voter hears of it", q.f.nameOf(keeper))
	}
	v := agreement.Version{Subject: subjectOffices, Predecessor: q.version, Author: "gateway " + q.f.plan.Name, ProposedAt: time.Now().UnixNano(), Reason: why, FormatVersion: 1,
		Conflicts: []string{"a bound's keeper"}}
	q.wish, _ = q.f.Ask(agreement.Proposal{Version: &v}, quota.EncodeAssignment(next), time.Duration(q.terms.ReassignTimeout()))
}

// outcome takes what became of a wish of its own.
func (q *Quotas) outcome(no uint64, o agreement.Outcome) bool {
	if no != q.wish || no == 0 {
		return false
	}
	q.wish = 0
	if !o.Done {
		q.f.host.Logger().Info("the keepers of bounds are not changed by this gateway", "why", o.Reason)
	}
	return true
}

func (q *Quotas) send(m *quota.Message) {
	to, ok := q.f.known[m.To]
	if !ok {
		q.f.lost++
		return
	}
	q.f.sendSealed(appendQuota(q.out[:0], m), to)
}

// quotaHead is a message of the quota but for its items, big-endian. Who sent it is said around it.
type quotaHead struct {
	Kind, Of, Book uint8
	Office, Run    uint64
	No             int64
}

var errQuota = errors.New("malformed message of the quota")

func appendQuota(dst []byte, m *quota.Message) []byte {
	dst, _ = binary.Append(dst, binary.BigEndian, &quotaHead{kindOfQuota, uint8(m.Kind), uint8(m.Shard), m.AssignmentVersion, m.Incarnation, m.RequestTime})
	dst, _ = binary.Append(dst, binary.BigEndian, m.Items)
	return dst
}

func readQuota(text []byte) (*quota.Message, error) {
	var h quotaHead
	r := bytes.NewReader(text)
	if binary.Read(r, binary.BigEndian, &h) != nil || r.Len()%binary.Size(quota.Item{}) != 0 {
		return nil, errQuota
	}
	m := &quota.Message{Kind: quota.MessageKind(h.Of), Shard: int(h.Book), AssignmentVersion: h.Office, Incarnation: h.Run, RequestTime: h.No}
	m.Items = make([]quota.Item, r.Len()/binary.Size(quota.Item{}))
	if binary.Read(r, binary.BigEndian, m.Items) != nil {
		return nil, errQuota
	}
	return m, nil
}

// Part is a bound of the fleet as one gateway has it.
type Part struct {
	Name   string
	Amount int64
	Rate   bool // then amounts are in thousandths of a txn, a second
	Keeper string
	Part   int64 // that this gateway holds
	Used   int64 // of that, or a rate's tokens
	Want   int64
	Left   int64         // nanoseconds of its lease
	Loans  []quota.Grant // where this gateway keeps the book
	Names  []string      // of their holders
}

// Parts tells of all bounds.
func (q *Quotas) Parts() (all []Part) {
	q.Clock()
	for _, b := range q.Module.Limits() {
		p := Part{Name: b.Name, Amount: b.Amount, Rate: b.Kind == quota.Rate, Keeper: "-"}
		if id := q.Module.Allocator(b.Key); id != 0 {
			p.Keeper = q.f.nameOf(id)
		}
		var until int64
		p.Part, p.Used, p.Want, until = q.Module.Allocation(b.Key)
		p.Left = until - q.f.host.Now()
		p.Loans, _ = q.Module.Grants(b.Key)
		for _, l := range p.Loans {
			p.Names = append(p.Names, q.f.nameOf(l.Holder))
		}
		all = append(all, p)
	}
	return all
}

// nameOf is a gateway's name in the list, or its ID.
func (f *Fleet) nameOf(id agreement.ID) string {
	for _, g := range f.Held().Gateways {
		if g.ID == id {
			return g.Name
		}
	}
	return fmt.Sprintf("%x", uint64(id))
}
