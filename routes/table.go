package routes

import (
	"encoding/binary"
	"net/netip"
	"slices"
)

// Txn is what a route is chosen by.
type Txn struct {
	Type     int // of the platform's txn types; below 0 is none
	User     string
	Database string
	Table    string
	Client   netip.Addr
}

// Answer is what holds for a txn. Route is below 0 where none matches: then all is as the platform says.
type Answer struct {
	Route  int32
	Type   int32  // the txn type that it runs as
	Tenant int32  // below 0 is none
	Zones  uint64 // that its reads are kept to, a bit each in the order of the settings; 0 is none
}

// Table is a checked document. It never changes, so that any number of txns may be under way by it.
//
// Routes are kept by which conditions they have: for each such shape one hash table from the values to the first route
// that names them. A lookup asks one table a shape, of which there are few, however many routes there are.
type Table struct {
	Routes   []Route
	Tenants  []Tenant
	InFlight int

	words  map[string]uint32 // users, databases and tables that any route names; 0 is none of them
	types  map[string]int32
	shapes []shape
	as     []Answer // by route
}

// Conditions of a shape.
const (
	byType = 1 << iota
	byUser
	byDatabase
	byTable
	byNetwork
)

// key is the values of a shape's conditions; those that it does not have are 0.
type key struct {
	kind                  int32
	user, database, table uint32
	net                   uint32
}

// shape is the routes that have the same conditions; networks of each length are a shape of their own.
type shape struct {
	mask  uint8
	bits  int // of its networks
	first int32
	by    map[key]int32
}

func (c *checker) build() *Table {
	t := &Table{Routes: slices.Clone(c.d.Routes), Tenants: slices.Clone(c.d.Tenants), InFlight: c.d.InFlight,
		words: map[string]uint32{}, types: map[string]int32{}}
	for i := range c.w.Types {
		t.types[c.w.Types[i].Name] = int32(i)
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, list := range [...][]string{r.Users, r.Databases, r.Tables} {
			for _, w := range list {
				if t.words[w] == 0 {
					t.words[w] = uint32(len(t.words) + 1)
				}
			}
		}
		a := Answer{Route: int32(i), Type: -1, Tenant: -1}
		for _, z := range r.Zones {
			a.Zones |= 1 << slices.Index(c.w.Zones, z)
		}
		if r.Type != "" {
			a.Type = t.types[r.Type]
		}
		for n := range t.Tenants {
			if t.Tenants[n].Name == r.Tenant {
				a.Tenant = int32(n)
			}
		}
		t.as = append(t.as, a)
	}
	for i := range t.Routes {
		t.expand(&t.Routes[i], func(mask uint8, bits int, k key) {
			s := t.shapeOf(mask, bits, int32(i))
			if _, taken := s.by[k]; !taken {
				s.by[k] = int32(i)
			}
		})
	}
	slices.SortStableFunc(t.shapes, func(a, b shape) int { return int(a.first - b.first) })
	return t
}

func (t *Table) shapeOf(mask uint8, bits int, route int32) *shape {
	for i := range t.shapes {
		if s := &t.shapes[i]; s.mask == mask && s.bits == bits {
			return s
		}
	}
	t.shapes = append(t.shapes, shape{mask: mask, bits: bits, first: route, by: map[key]int32{}})
	return &t.shapes[len(t.shapes)-1]
}

// expand gives every combination of a route's conditions.
func (t *Table) expand(r *Route, f func(mask uint8, bits int, k key)) {
	var mask uint8
	values := func(words []string, bit uint8) []uint32 {
		if len(words) == 0 {
			return []uint32{0}
		}
		mask |= bit
		var all []uint32
		for _, w := range words {
			all = append(all, t.words[w])
		}
		return all
	}
	users, databases, tables := values(r.Users, byUser), values(r.Databases, byDatabase), values(r.Tables, byTable)
	kinds := []int32{0}
	if len(r.Types) > 0 {
		mask |= byType
		kinds = nil
		for _, name := range r.Types {
			kinds = append(kinds, t.types[name])
		}
	}
	nets := []netip.Prefix{{}}
	if len(r.Networks) > 0 {
		mask |= byNetwork
		nets = r.Networks
	}
	for _, n := range nets {
		bits, addr := 0, uint32(0)
		if mask&byNetwork != 0 {
			bits, addr = n.Bits(), address(n.Addr())
		}
		for _, kind := range kinds {
			for _, u := range users {
				for _, d := range databases {
					for _, table := range tables {
						f(mask, bits, key{kind, u, d, table, addr})
					}
				}
			}
		}
	}
}

func address(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func cut(addr uint32, bits int) uint32 {
	if bits == 0 {
		return 0
	}
	return addr &^ (1<<(32-bits) - 1)
}

// project leaves of a key what a shape asks for.
func (s *shape) project(k key) key {
	if s.mask&byType == 0 {
		k.kind = 0
	}
	if s.mask&byUser == 0 {
		k.user = 0
	}
	if s.mask&byDatabase == 0 {
		k.database = 0
	}
	if s.mask&byTable == 0 {
		k.table = 0
	}
	if s.mask&byNetwork == 0 {
		k.net = 0
	} else {
		k.net = cut(k.net, s.bits)
	}
	return k
}

// firstCovering is the first route before one that takes all txns of a combination, below 0 if there is none.
func (t *Table) firstCovering(mask uint8, bits int, k key, before int32) int32 {
	found := int32(-1)
	for i := range t.shapes {
		s := &t.shapes[i]
		if s.mask&^mask != 0 || s.mask&byNetwork != 0 && s.bits > bits {
			continue
		}
		if r, ok := s.by[s.project(k)]; ok && r < before && (found < 0 || r < found) {
			found = r
		}
	}
	return found
}

// Admits tells whether txns of a route may go to a group.
func (t *Table) Admits(route int32, group int) bool {
	return route < 0 || len(t.Routes[route].Groups) == 0 || slices.Contains(t.Routes[route].Groups, group)
}

// TenantOf is whose connections one counts against: by what it says of itself, whatever it will ask.
func (t *Table) TenantOf(x Txn) int32 {
	x.Type, x.Table = -1, ""
	return t.Lookup(&x).Tenant
}

// Lookup gives what holds for a txn, by the first route that matches it.
func (t *Table) Lookup(x *Txn) Answer {
	k := key{kind: int32(x.Type), user: t.words[x.User], database: t.words[x.Database], table: t.words[x.Table]}
	v4 := x.Client.Unmap()
	if v4.Is4() {
		k.net = address(v4)
	}
	best := int32(len(t.Routes))
	for i := range t.shapes {
		s := &t.shapes[i]
		if s.first >= best {
			break // shapes stand by their first route
		}
		if s.mask&byNetwork != 0 && !v4.Is4() || s.mask&byType != 0 && x.Type < 0 ||
			s.mask&byUser != 0 && k.user == 0 || s.mask&byDatabase != 0 && k.database == 0 || s.mask&byTable != 0 && k.table == 0 {
			continue
		}
		if r, ok := s.by[s.project(k)]; ok && r < best {
			best = r
		}
	}
	if best == int32(len(t.Routes)) {
		return Answer{Route: -1, Type: int32(x.Type), Tenant: -1}
	}
	a := t.as[best]
	if a.Type < 0 {
		a.Type = int32(x.Type)
	}
	return a
}
