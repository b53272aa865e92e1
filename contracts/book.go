package contracts

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// State is the lifecycle state of a contract. For a booked one, Terms.PhaseAt returns the phase.
type State string

// Contract states.
const (
	Draft     State = "draft"
	Quoted    State = "quoted" // at the stated price until Version.Until
	Booked    State = "booked"
	Cancelled State = "cancelled"
)

// Version is one state of a contract. Versions are append-only and never rewritten.
type Version struct {
	State  State  `json:"state"`
	Terms  Terms  `json:"terms"`
	Author string `json:"who"`
	Reason string `json:"why,omitempty"`
	At     int64  `json:"at"`
	Until  int64  `json:"until,omitempty"` // expiry of a quote
}

// Contract holds all of its versions, the latest last.
type Contract struct {
	No       uint64    `json:"no"`
	Versions []Version `json:"versions"`
}

// Latest returns the latest version.
func (c *Contract) Latest() *Version { return &c.Versions[len(c.Versions)-1] }

// Book holds all contracts and the configured capacity of members.
type Book struct {
	Contracts []Contract   `json:"contracts"`
	Sizes     []MemberSize `json:"sizes,omitempty"` // sorted by group
	Floor     float64      `json:"floor"`           // fraction of capacity reserved for traffic without a contract
}

// MemberSize is the configured capacity of one member of a group.
type MemberSize struct {
	Group  int     `json:"group"`
	Reads  float64 `json:"reads"` // per second
	Writes float64 `json:"writes"`
}

// DefaultFloor is the Floor of a book that sets none.
const DefaultFloor = 0.2

// maxBookBytes limits the decompressed size of an encoded book.
const maxBookBytes = 64 << 20

// Encode serializes a book deterministically. The text is compressed because contracts have most content in
// common.
func (b *Book) Encode() []byte {
	plain, err := json.Marshal(b)
	if err != nil {
		panic(err) // every field can be encoded as JSON
	}
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestCompression) // the level is valid, and a buffer accepts all writes
	_, _ = w.Write(plain)
	_ = w.Close()
	return out.Bytes()
}

// DecodeBook parses an encoded book; an empty text is an empty book.
func DecodeBook(text []byte) (*Book, error) {
	b := &Book{Floor: DefaultFloor}
	if len(text) == 0 {
		return b, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(text)), maxBookBytes))
	if err == nil {
		err = json.Unmarshal(plain, b)
	}
	if err != nil {
		return nil, fmt.Errorf("contracts: decode book: %w", err)
	}
	return b, nil
}

// Proposal is a requested change of the book; exactly one of its actions is set.
type Proposal struct {
	Author string       `json:"who"`
	Reason string       `json:"why,omitempty"`
	At     int64        `json:"at"`
	Draft  *Terms       `json:"draft,omitempty"` // create a contract
	Amend  *Terms       `json:"amend,omitempty"` // replace the terms of the contract with this name
	Quote  string       `json:"quote,omitempty"` // quote this contract, valid until Until
	Until  int64        `json:"until,omitempty"`
	Book   string       `json:"book,omitempty"`
	Cancel string       `json:"cancel,omitempty"`
	Sizes  []MemberSize `json:"sizes,omitempty"`
	Floor  *float64     `json:"floor,omitempty"`
}

// Find returns the contract with a name that is not cancelled, or else the latest cancelled one, or nil.
func (b *Book) Find(name string) (found *Contract) {
	for i := range b.Contracts {
		if c := &b.Contracts[i]; c.Latest().Terms.Name == name && (found == nil || c.Latest().State != Cancelled) {
			found = c
		}
	}
	return found
}

// ChangesReservations returns whether a proposal changes reserved capacity. In that case no two gateways may
// act on the old and the new book at the same time.
func (p *Proposal) ChangesReservations(b *Book) bool {
	if p.Amend != nil {
		c := b.Find(p.Amend.Name)
		return c != nil && c.Latest().State == Booked
	}
	if p.Cancel != "" {
		c := b.Find(p.Cancel)
		return c != nil && c.Latest().State == Booked
	}
	return p.Book != ""
}

// Apply returns the book after a proposal, or the reason for refusing it; missing capacity is a
// *ShortfallError.
func (b *Book) Apply(p *Proposal, fleet Fleet) (*Book, error) {
	next := &Book{Contracts: slices.Clone(b.Contracts), Sizes: b.Sizes, Floor: b.Floor}
	add := func(c *Contract, v Version) {
		v.Author, v.Reason, v.At = p.Author, p.Reason, p.At
		c.Versions = append(slices.Clone(c.Versions), v)
	}
	find := func(name string, states ...State) (*Contract, error) {
		c := next.Find(name)
		if c == nil {
			return nil, fmt.Errorf("there is no contract %q", name)
		}
		if !slices.Contains(states, c.Latest().State) {
			return nil, fmt.Errorf("contract %q is %s", name, c.Latest().State)
		}
		return c, nil
	}
	fits := func(c *Contract, t *Terms) error {
		return NewCalendar(next, fleet, p.At, c.No).CheckFit(t)
	}
	switch {
	case p.Draft != nil:
		if err := p.Draft.Check(); err != nil {
			return nil, err
		}
		if c := next.Find(p.Draft.Name); c != nil && c.Latest().State != Cancelled {
			return nil, fmt.Errorf("contract %q is %s already; amend it, or give another name", p.Draft.Name, c.Latest().State)
		}
		no := uint64(len(next.Contracts) + 1)
		next.Contracts = append(next.Contracts, Contract{No: no})
		add(&next.Contracts[no-1], Version{State: Draft, Terms: *p.Draft})
	case p.Amend != nil:
		if err := p.Amend.Check(); err != nil {
			return nil, err
		}
		c, err := find(p.Amend.Name, Draft, Quoted, Booked)
		if err != nil {
			return nil, err
		}
		state := Draft // changed terms need a new price
		if c.Latest().State == Booked {
			if state = Booked; p.Amend.Tenant != c.Latest().Terms.Tenant {
				return nil, errors.New("a booked contract stays its tenant's: cancel it, and book another")
			}
			if err := fits(c, p.Amend); err != nil {
				return nil, err
			}
		}
		add(c, Version{State: state, Terms: *p.Amend})
	case p.Quote != "":
		c, err := find(p.Quote, Draft, Quoted)
		if err != nil {
			return nil, err
		}
		if p.Until <= p.At {
			return nil, errors.New("a quote holds until some time to come")
		}
		if err := fits(c, &c.Latest().Terms); err != nil {
			return nil, err
		}
		add(c, Version{State: Quoted, Terms: c.Latest().Terms, Until: p.Until})
	case p.Book != "":
		c, err := find(p.Book, Quoted)
		if err != nil {
			return nil, err
		}
		if p.At > c.Latest().Until {
			return nil, fmt.Errorf("the quote of %q held until %s", p.Book, formatTime(c.Latest().Until))
		}
		if err := fits(c, &c.Latest().Terms); err != nil {
			return nil, err
		}
		add(c, Version{State: Booked, Terms: c.Latest().Terms})
	case p.Cancel != "":
		c, err := find(p.Cancel, Draft, Quoted, Booked)
		if err != nil {
			return nil, err
		}
		add(c, Version{State: Cancelled, Terms: c.Latest().Terms})
	case p.Sizes != nil || p.Floor != nil:
		if p.Floor != nil {
			if *p.Floor < 0 || *p.Floor >= 1 {
				return nil, errors.New("floor is a share below 1")
			}
			next.Floor = *p.Floor
		}
		for _, s := range p.Sizes {
			if s.Reads < 0 || s.Writes < 0 {
				return nil, fmt.Errorf("group %d: a member does no fewer than 0 a second", s.Group)
			}
			next.Sizes = append(slices.DeleteFunc(slices.Clone(next.Sizes), func(x MemberSize) bool { return x.Group == s.Group }), s)
		}
		slices.SortFunc(next.Sizes, func(x, y MemberSize) int { return x.Group - y.Group })
	default:
		return nil, errors.New("nothing is asked for")
	}
	return next, nil
}

// BookedContracts returns the booked contracts by descending priority, then by number.
func (b *Book) BookedContracts() (all []*Contract) {
	for i := range b.Contracts {
		if c := &b.Contracts[i]; c.Latest().State == Booked {
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, func(x, y *Contract) int { return y.Latest().Terms.Priority - x.Latest().Terms.Priority })
	return all
}

// joinReasons joins reasons for one message.
func joinReasons(all []string) string { return strings.Join(all, "; ") }
