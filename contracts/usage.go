package contracts

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/shopspring/decimal"
)

// Interval is over how long txns are counted together, nanoseconds. Ours: short against a window, and a fleet of thousands
// tells few of them.
const CountInterval = int64(300e9)

// Spans of reports. Ours: what a gateway that dies has not told is at most of the last second or two.
const (
	ReportInterval     = int64(1e9)             // between reports of what has changed
	resendWindow       = int64(10e9)            // what changed of late is told again so long, as reports may be lost
	fullReportInterval = int64(60e9)            // and all that is kept so often
	CountRetention     = int64(7 * 24 * 3600e9) // counts are kept after their interval; a statement is made before
	maxCounts          = 1 << 20
)

// Counts are of one contract's txns in one interval at one gateway. They only grow.
type Counts struct {
	Requested   uint64 `json:"Asked"`
	InTime      uint64
	Late        uint64
	Overloaded  uint64 `json:"NoRoom"` // declined: more than the gateway has room for, or than a bound of its tenant's
	NoMember    uint64 // declined: no member could do them in time
	NoAgreement uint64 `json:"Unagreed"` // declined: the gateway was careful
	RolledBack  uint64
	Abandoned   uint64 `json:"Left"` // given up by the client
}

func (c *Counts) combine(o *Counts, f func(x, y uint64) uint64) {
	for _, p := range [][2]*uint64{{&c.Requested, &o.Requested}, {&c.InTime, &o.InTime}, {&c.Late, &o.Late}, {&c.Overloaded, &o.Overloaded}, {&c.NoMember, &o.NoMember},
		{&c.NoAgreement, &o.NoAgreement}, {&c.RolledBack, &o.RolledBack}, {&c.Abandoned, &o.Abandoned}} {
		*p[0] = f(*p[0], *p[1])
	}
}

// Count is of one gateway in one of its runs.
type Count struct {
	Origin, Run uint64 // the gateway, and its start
	No          uint64 // the contract
	At          int64  // the interval's beginning, Unix nanoseconds
	Counts
}

type countKey struct {
	origin, run, no uint64
	at              int64
}

func (c *Count) key() countKey { return countKey{c.Origin, c.Run, c.No, c.At} }

// Account is what a gateway knows of counts, its own among them. Each count has one origin, which alone adds to it; of what
// others tell the larger holds, so that reports may be lost, late and come twice: each txn is counted once.
type Account struct {
	origin, run      uint64
	counts           map[countKey]Counts
	changed          map[countKey]int64  // when
	lastReportAt     map[[2]uint64]int64 // of each origin and run, the latest that it reported
	lastFullReportAt int64
}

// NewAccount is that of a gateway in one of its runs, with what was kept of former ones.
func NewAccount(origin, run uint64, kept []Count) *Account {
	a := &Account{origin: origin, run: run, counts: map[countKey]Counts{}, changed: map[countKey]int64{}, lastReportAt: map[[2]uint64]int64{}}
	a.Merge(kept, 0)
	return a
}

// Add counts a txn of this gateway.
func (a *Account) Add(no uint64, now int64, add Counts) {
	k := countKey{a.origin, a.run, no, now - now%CountInterval}
	c := a.counts[k]
	c.combine(&add, func(x, y uint64) uint64 { return x + y })
	a.counts[k], a.changed[k] = c, now
}

// Heard takes what another gateway told, at a time.
func (a *Account) Merge(all []Count, now int64) {
	for _, c := range all {
		k := c.key()
		if k.origin == a.origin && k.run == a.run || len(a.counts) >= maxCounts {
			continue
		}
		before, known := a.counts[k]
		x := before
		if x.combine(&c.Counts, func(x, y uint64) uint64 { return max(x, y) }); x != before || !known {
			a.counts[k] = x
			if now > 0 {
				a.changed[k] = now
			}
		}
		o := [2]uint64{k.origin, k.run}
		a.lastReportAt[o] = max(a.lastReportAt[o], now)
	}
}

// Report is what is to be told now: what has changed of late, and now and then all. own leaves out what came from others.
func (a *Account) Report(now int64, own bool) (all []Count) {
	whole := now-a.lastFullReportAt >= fullReportInterval
	if whole && !own {
		a.lastFullReportAt = now
	}
	maps.DeleteFunc(a.counts, func(k countKey, _ Counts) bool {
		if now-k.at < CountRetention {
			return false
		}
		delete(a.changed, k)
		return true
	})
	for k, c := range a.counts {
		if own && (k.origin != a.origin || k.run != a.run) {
			continue
		}
		if at := a.changed[k]; whole && !own || at > 0 && now-at < resendWindow {
			all = append(all, Count{k.origin, k.run, k.no, k.at, c})
		}
	}
	sortCounts(all)
	return all
}

// All is every count, for who keeps them.
func (a *Account) All() (all []Count) {
	for k, c := range a.counts {
		all = append(all, Count{k.origin, k.run, k.no, k.at, c})
	}
	sortCounts(all)
	return all
}

func sortCounts(all []Count) {
	slices.SortFunc(all, func(x, y Count) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.No, y.No), cmp.Compare(x.Origin, y.Origin), cmp.Compare(x.Run, y.Run))
	})
}

// Line is one interval of a statement.
type IntervalReport struct {
	At       int64
	Gateways int // that counted something
	Counts
	Size           float64 // txns that the contract is for in it
	ServedFraction float64 `json:"Kept"` // in time, of those asked that it is for; 1 if none was
	Cause          string  // why it was not kept, empty if it was
}

// Statement is what was kept in one window.
type Statement struct {
	No     uint64
	Name   string
	Window ReservedWindow
	Lines  []IntervalReport
	Total  Counts `json:"Sum"`
	Price  decimal.Decimal
	Credit decimal.Decimal // 0 where the promise was kept
	Final  bool            `json:"Over"` // nothing is added any more
}

// State makes the statements of a contract for its windows that touch a span, by what is known. A window is kept if each
// interval in it is: of the txns that were asked for, up to the contract's size, the promised share was served in time. What
// the clients gave up themselves and what is over the size counts for nobody.
func (a *Account) Statements(c *Contract, from, to, now int64) (all []Statement) {
	t := &c.Latest().Terms
	for _, h := range t.ReservedWindows(from, to) {
		s := Statement{No: c.No, Name: t.Name, Window: h, Price: t.Price, Credit: decimal.Zero, Final: now > h.To+CountInterval}
		by := map[int64]*IntervalReport{}
		for k, x := range a.counts {
			if k.no != c.No || k.at+CountInterval <= h.Start || k.at >= h.End {
				continue
			}
			l := by[k.at]
			if l == nil {
				l = &IntervalReport{At: k.at}
				by[k.at] = l
			}
			l.Gateways++
			l.combine(&x, func(x, y uint64) uint64 { return x + y })
			s.Total.combine(&x, func(x, y uint64) uint64 { return x + y })
		}
		for _, at := range slices.Sorted(maps.Keys(by)) {
			l := by[at]
			span := min(at+CountInterval, h.End) - max(at, h.Start)
			groups := max(1, len(t.Groups))
			l.Size = math.Floor((t.Reads + t.Writes) * float64(groups) * float64(span) / 1e9)
			due := min(float64(l.Requested-min(l.Requested, l.Abandoned)), l.Size)
			if l.ServedFraction = 1; due > 0 {
				l.ServedFraction = min(1, float64(l.InTime)/due)
			}
			if l.ServedFraction < t.PromisedFraction {
				l.Cause = l.cause()
				s.Credit = t.Credit
			}
			s.Lines = append(s.Lines, *l)
		}
		all = append(all, s)
	}
	return all
}

// cause is what most of those were lost to that were not served in time.
func (l *IntervalReport) cause() string {
	most, why := l.Late, "served late"
	for _, x := range []struct {
		n   uint64
		why string
	}{{l.Overloaded, "no room at the gateway"}, {l.NoMember, "no member could in time"}, {l.NoAgreement, "gateways without the agreement"}, {l.RolledBack, "rolled back"}} {
		if x.n > most {
			most, why = x.n, x.why
		}
	}
	return why
}
