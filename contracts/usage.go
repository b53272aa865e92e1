package contracts

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/shopspring/decimal"
)

// CountInterval is the interval over which txns are counted, nanoseconds. It is short against a window, and
// long enough that a fleet of thousands reports few intervals.
const CountInterval = int64(300e9)

// Report timing and retention, in nanoseconds, and the size limit. A gateway that crashes loses at most the
// unreported counts of the last second or two.
const (
	ReportInterval     = int64(1e9)             // between reports of changed counts
	resendWindow       = int64(10e9)            // changed counts are resent for this long, as reports may be lost
	fullReportInterval = int64(60e9)            // between reports of all counts
	CountRetention     = int64(7 * 24 * 3600e9) // counts are kept this long after their interval; statements are made earlier
	maxCounts          = 1 << 20
)

// Counts are the txns of one contract in one interval at one gateway. They only grow.
type Counts struct {
	Requested   uint64 `json:"Asked"`
	InTime      uint64
	Late        uint64
	Overloaded  uint64 `json:"NoRoom"` // declined: beyond the gateway's capacity or a limit of the tenant
	NoMember    uint64 // declined: no member could serve them in time
	NoAgreement uint64 `json:"Unagreed"` // declined: the gateway was in careful mode, without a lease on the agreed settings
	RolledBack  uint64
	Abandoned   uint64 `json:"Left"` // given up by the client
}

func (c *Counts) combine(o *Counts, f func(x, y uint64) uint64) {
	for _, p := range [][2]*uint64{{&c.Requested, &o.Requested}, {&c.InTime, &o.InTime}, {&c.Late, &o.Late}, {&c.Overloaded, &o.Overloaded}, {&c.NoMember, &o.NoMember},
		{&c.NoAgreement, &o.NoAgreement}, {&c.RolledBack, &o.RolledBack}, {&c.Abandoned, &o.Abandoned}} {
		*p[0] = f(*p[0], *p[1])
	}
}

// Count is the Counts of one gateway in one of its runs.
type Count struct {
	Origin, Run uint64 // the gateway and its start
	No          uint64 // the contract
	At          int64  // start of the interval, Unix nanoseconds
	Counts
}

type countKey struct {
	origin, run, no uint64
	at              int64
}

func (c *Count) key() countKey { return countKey{c.Origin, c.Run, c.No, c.At} }

// Account holds the counts known to a gateway, including its own. Only the origin adds to a count, and of
// reported values the larger one wins, so reports may be lost, late or duplicated and each txn is still
// counted once.
type Account struct {
	origin, run      uint64
	counts           map[countKey]Counts
	changed          map[countKey]int64  // time of the last change
	lastReportAt     map[[2]uint64]int64 // by origin and run
	lastFullReportAt int64
}

// NewAccount creates the account of a gateway in one of its runs, from the counts saved by earlier runs.
func NewAccount(origin, run uint64, kept []Count) *Account {
	a := &Account{origin: origin, run: run, counts: map[countKey]Counts{}, changed: map[countKey]int64{}, lastReportAt: map[[2]uint64]int64{}}
	a.Merge(kept, 0)
	return a
}

// Add adds counts of this gateway.
func (a *Account) Add(no uint64, now int64, add Counts) {
	k := countKey{a.origin, a.run, no, now - now%CountInterval}
	c := a.counts[k]
	c.combine(&add, func(x, y uint64) uint64 { return x + y })
	a.counts[k], a.changed[k] = c, now
}

// Merge merges counts received from another gateway at a time.
func (a *Account) Merge(all []Count, now int64) {
	for _, c := range all {
		k := c.key()
		if k.origin == a.origin && k.run == a.run || len(a.counts) >= maxCounts {
			continue
		}
		previous, known := a.counts[k]
		x := previous
		if x.combine(&c.Counts, func(x, y uint64) uint64 { return max(x, y) }); x != previous || !known {
			a.counts[k] = x
			if now > 0 {
				a.changed[k] = now
			}
		}
		o := [2]uint64{k.origin, k.run}
		a.lastReportAt[o] = max(a.lastReportAt[o], now)
	}
}

// Report returns the counts to send now: those changed recently, and periodically all. ownOnly limits it to this
// gateway's counts of this run.
func (a *Account) Report(now int64, ownOnly bool) (all []Count) {
	full := now-a.lastFullReportAt >= fullReportInterval
	if full && !ownOnly {
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
		if ownOnly && (k.origin != a.origin || k.run != a.run) {
			continue
		}
		if at := a.changed[k]; full && !ownOnly || at > 0 && now-at < resendWindow {
			all = append(all, Count{k.origin, k.run, k.no, k.at, c})
		}
	}
	sortCounts(all)
	return all
}

// All returns every count, for storage.
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

// IntervalReport is one interval of a statement.
type IntervalReport struct {
	At       int64
	Gateways int // that counted something
	Counts
	Size           float64 // txns that the contract covers in the interval
	ServedFraction float64 `json:"Kept"` // served in time, as a fraction of the covered requests; 1 if there were none
	Cause          string  // main reason if the promise was not kept, else empty
}

// Statement reports how a contract was kept in one window.
type Statement struct {
	No     uint64
	Name   string
	Window ReservedWindow
	Lines  []IntervalReport
	Total  Counts `json:"Sum"`
	Price  decimal.Decimal
	Credit decimal.Decimal // 0 if the promise was kept
	Final  bool            `json:"Over"` // no further counts are added
}

// Statements reports on a contract's windows that overlap a time range, from the counts known so far. A window
// is kept if each of its intervals is: of the requested txns, up to the contract's size, the promised fraction
// was served in time. Txns abandoned by their clients and those beyond the size are not counted.
func (a *Account) Statements(c *Contract, from, to, now int64) (all []Statement) {
	t := &c.Latest().Terms
	for _, h := range t.ReservedWindows(from, to) {
		s := Statement{No: c.No, Name: t.Name, Window: h, Price: t.Price, Credit: decimal.Zero, Final: now > h.To+CountInterval}
		intervals := map[int64]*IntervalReport{}
		for k, x := range a.counts {
			if k.no != c.No || k.at+CountInterval <= h.Start || k.at >= h.End {
				continue
			}
			l := intervals[k.at]
			if l == nil {
				l = &IntervalReport{At: k.at}
				intervals[k.at] = l
			}
			l.Gateways++
			l.combine(&x, func(x, y uint64) uint64 { return x + y })
			s.Total.combine(&x, func(x, y uint64) uint64 { return x + y })
		}
		for _, at := range slices.Sorted(maps.Keys(intervals)) {
			l := intervals[at]
			duration := min(at+CountInterval, h.End) - max(at, h.Start)
			groups := max(1, len(t.Groups))
			l.Size = math.Floor((t.Reads + t.Writes) * float64(groups) * float64(duration) / 1e9)
			covered := min(float64(l.Requested-min(l.Requested, l.Abandoned)), l.Size)
			if l.ServedFraction = 1; covered > 0 {
				l.ServedFraction = min(1, float64(l.InTime)/covered)
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

// cause returns the most frequent reason why txns were not served in time.
func (l *IntervalReport) cause() string {
	highest, cause := l.Late, "served late"
	for _, x := range []struct {
		n   uint64
		why string
	}{{l.Overloaded, "no room at the gateway"}, {l.NoMember, "no member could in time"}, {l.NoAgreement, "gateways without the agreement"}, {l.RolledBack, "rolled back"}} {
		if x.n > highest {
			highest, cause = x.n, x.why
		}
	}
	return cause
}
