package routes

import (
	"encoding/binary"
	"net/netip"
	"slices"
)

// Txn holds the properties that a route is selected by.
type Txn struct {
	Type     int // index of the platform's txn types; below 0 is none
	User     string
	Database string
	Table    string
	Client   netip.Addr
}

// Match is the result of a lookup. Route is below 0 where none matches: then the platform's settings apply.
type Match struct {
	Route  int32
	Type   int32  // the txn type that the txn runs as
	Tenant int32  // below 0 is none
	Zones  uint64 // zones that its reads are kept to while they have members, a bit each in the order of the settings; 0 is none
}

// Table is a checked document. It is immutable, so that any number of txns may use it at the same time.
//
// Routes are grouped by which conditions they have: each such condition set has one hash table from the values to the
// first route that names them. A lookup queries one table for each condition set, of which there are few, however many
// routes there are.
type Table struct {
	Routes      []Route
	Tenants     []Tenant
	MaxInFlight int

	wordIDs       map[string]uint32 // users, databases and tables that any route names; 0 is none of them
	typeIndexes   map[string]int32
	conditionSets []conditionSet
	matches       []Match // by route
}

// Conditions of a condition set.
const (
	byType = 1 << iota
	byUser
	byDatabase
	byTable
	byNetwork
)

// conditionKey holds the values of a condition set's conditions; conditions that it lacks are 0.
type conditionKey struct {
	txnType               int32
	user, database, table uint32
	network               uint32
}

// conditionSet is the set of routes with the same conditions; each network prefix length is a set of its own.
type conditionSet struct {
	mask         uint8
	prefixLength int // of its networks
	firstRoute   int32
	routes       map[conditionKey]int32
}

func (c *checker) buildTable() *Table {
	t := &Table{Routes: slices.Clone(c.document.Routes), Tenants: slices.Clone(c.document.Tenants),
		MaxInFlight: c.document.MaxInFlight, wordIDs: map[string]uint32{}, typeIndexes: map[string]int32{}}
	for i := range c.environment.Types {
		t.typeIndexes[c.environment.Types[i].Name] = int32(i)
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, list := range [...][]string{r.Users, r.Databases, r.Tables} {
			for _, w := range list {
				if t.wordIDs[w] == 0 {
					t.wordIDs[w] = uint32(len(t.wordIDs) + 1)
				}
			}
		}
		m := Match{Route: int32(i), Type: -1, Tenant: -1}
		for _, z := range r.Zones {
			m.Zones |= 1 << slices.Index(c.environment.Zones, z)
		}
		if r.RunAs != "" {
			m.Type = t.typeIndexes[r.RunAs]
		}
		for n := range t.Tenants {
			if t.Tenants[n].Name == r.Tenant {
				m.Tenant = int32(n)
			}
		}
		t.matches = append(t.matches, m)
	}
	for i := range t.Routes {
		t.forEachCombination(&t.Routes[i], func(mask uint8, prefixLength int, k conditionKey) {
			s := t.conditionSetFor(mask, prefixLength, int32(i))
			if _, taken := s.routes[k]; !taken {
				s.routes[k] = int32(i)
			}
		})
	}
	slices.SortStableFunc(t.conditionSets, func(a, b conditionSet) int { return int(a.firstRoute - b.firstRoute) })
	return t
}

func (t *Table) conditionSetFor(mask uint8, prefixLength int, route int32) *conditionSet {
	for i := range t.conditionSets {
		if s := &t.conditionSets[i]; s.mask == mask && s.prefixLength == prefixLength {
			return s
		}
	}
	t.conditionSets = append(t.conditionSets,
		conditionSet{mask: mask, prefixLength: prefixLength, firstRoute: route, routes: map[conditionKey]int32{}})
	return &t.conditionSets[len(t.conditionSets)-1]
}

// forEachCombination calls f with every combination of the values of a route's conditions.
func (t *Table) forEachCombination(r *Route, f func(mask uint8, prefixLength int, k conditionKey)) {
	var mask uint8
	values := func(words []string, bit uint8) []uint32 {
		if len(words) == 0 {
			return []uint32{0}
		}
		mask |= bit
		var all []uint32
		for _, w := range words {
			all = append(all, t.wordIDs[w])
		}
		return all
	}
	users, databases, tables := values(r.Users, byUser), values(r.Databases, byDatabase), values(r.Tables, byTable)
	txnTypes := []int32{0}
	if len(r.Types) > 0 {
		mask |= byType
		txnTypes = nil
		for _, name := range r.Types {
			txnTypes = append(txnTypes, t.typeIndexes[name])
		}
	}
	networks := []netip.Prefix{{}}
	if len(r.Networks) > 0 {
		mask |= byNetwork
		networks = r.Networks
	}
	for _, n := range networks {
		prefixLength, addr := 0, uint32(0)
		if mask&byNetwork != 0 {
			prefixLength, addr = n.Bits(), ipv4ToUint32(n.Addr())
		}
		for _, txnType := range txnTypes {
			for _, u := range users {
				for _, d := range databases {
					for _, table := range tables {
						f(mask, prefixLength, conditionKey{txnType, u, d, table, addr})
					}
				}
			}
		}
	}
}

func ipv4ToUint32(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func maskAddress(addr uint32, prefixLength int) uint32 {
	if prefixLength == 0 {
		return 0
	}
	return addr &^ (1<<(32-prefixLength) - 1)
}

// project clears the values of a key that the condition set has no condition on.
func (s *conditionSet) project(k conditionKey) conditionKey {
	if s.mask&byType == 0 {
		k.txnType = 0
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
		k.network = 0
	} else {
		k.network = maskAddress(k.network, s.prefixLength)
	}
	return k
}

// firstCoveringRoute returns the first route before one that matches all txns of a combination, below 0 if there is
// none.
func (t *Table) firstCoveringRoute(mask uint8, prefixLength int, k conditionKey, before int32) int32 {
	found := int32(-1)
	for i := range t.conditionSets {
		s := &t.conditionSets[i]
		if s.mask&^mask != 0 || s.mask&byNetwork != 0 && s.prefixLength > prefixLength {
			continue
		}
		if r, ok := s.routes[s.project(k)]; ok && r < before && (found < 0 || r < found) {
			found = r
		}
	}
	return found
}

// AllowsGroup reports whether txns of a route may go to a group.
func (t *Table) AllowsGroup(route int32, group int) bool {
	return route < 0 || len(t.Routes[route].Groups) == 0 || slices.Contains(t.Routes[route].Groups, group)
}

// ConnectionTenant returns the tenant that a connection counts against: by what is known when it opens, without the
// type and table of its later txns.
func (t *Table) ConnectionTenant(x Txn) int32 {
	x.Type, x.Table = -1, ""
	return t.Lookup(&x).Tenant
}

// Lookup returns the settings of the first route that matches a txn.
func (t *Table) Lookup(x *Txn) Match {
	k := conditionKey{txnType: int32(x.Type), user: t.wordIDs[x.User], database: t.wordIDs[x.Database], table: t.wordIDs[x.Table]}
	v4 := x.Client.Unmap()
	if v4.Is4() {
		k.network = ipv4ToUint32(v4)
	}
	best := int32(len(t.Routes))
	for i := range t.conditionSets {
		s := &t.conditionSets[i]
		if s.firstRoute >= best {
			break // condition sets are sorted by their first route
		}
		if s.mask&byNetwork != 0 && !v4.Is4() || s.mask&byType != 0 && x.Type < 0 ||
			s.mask&byUser != 0 && k.user == 0 || s.mask&byDatabase != 0 && k.database == 0 || s.mask&byTable != 0 && k.table == 0 {
			continue
		}
		if r, ok := s.routes[s.project(k)]; ok && r < best {
			best = r
		}
	}
	if best == int32(len(t.Routes)) {
		return Match{Route: -1, Type: int32(x.Type), Tenant: -1}
	}
	m := t.matches[best]
	if m.Type < 0 {
		m.Type = int32(x.Type)
	}
	return m
}
