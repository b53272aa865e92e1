package contracts

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shopspring/decimal"
)

// Gateways report counts to three of them that keep accounts, over a network that loses, delays and duplicates
// messages. Gateways are killed and restarted, including those that keep accounts, which also report to each
// other. Each txn must be counted at most once: a statement never exceeds the true count, and falls short by
// no more than what killed gateways had counted since their last report.
func TestTxnsAreCountedOnce(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 9))
		const n = 8 // the first three keep accounts of all gateways
		run := make([]uint64, n)
		accounts := make([]*Account, n)
		saved := make([][]Count, n)
		trueCount, possiblyLost := uint64(0), uint64(0)
		unreported := make([]uint64, n) // counted since the last report
		for i := range accounts {
			run[i], accounts[i] = 1, NewAccount(uint64(i+1), 1, nil)
		}
		type datagram struct {
			to, at int64
			counts []Count
		}
		var inFlight []datagram
		now := noon
		loss := rng.Float64() * 0.3
		send := func(to int, what []Count) {
			for rng.Float64() < 0.2 || len(what) > 0 {
				if rng.Float64() > loss {
					inFlight = append(inFlight, datagram{int64(to), now + rng.Int64N(3e9), what})
				}
				if rng.Float64() > 0.1 {
					break
				}
			}
		}
		for step := range 400 {
			now += ReportInterval / 2
			if step == 380 { // no more faults
				loss = 0
			}
			for i, a := range accounts {
				if step < 380 && rng.IntN(3) > 0 {
					k := uint64(rng.IntN(5))
					a.Add(7, now, Counts{Requested: k, InTime: k})
					trueCount, unreported[i] = trueCount+k, unreported[i]+k
				}
				if step%2 == 0 {
					for v := range 3 {
						if v != i {
							send(v, a.Report(now, i > 2))
						}
					}
					if i < 3 && rng.IntN(3) == 0 {
						saved[i] = a.All()
					}
				}
				if step < 360 && rng.IntN(60) == 0 { // killed: counts neither reported nor saved are lost
					kept := saved[i]
					if i > 2 {
						kept = nil
					}
					run[i]++
					accounts[i] = NewAccount(uint64(i+1), run[i], kept)
					possiblyLost, unreported[i] = possiblyLost+unreported[i], 0
				}
			}
			later := inFlight[:0]
			for _, l := range inFlight {
				if l.at > now {
					later = append(later, l)
					continue
				}
				accounts[l.to].Merge(l.counts, now)
			}
			inFlight = later
			if step%20 == 0 { // by now resent many times, unless lost each time
				clear(unreported)
			}
		}
		c := &Contract{No: 7, Versions: []Version{{State: Booked, Terms: terms("x", "2026-06-01 12:00", 1, 1000, 0)}}}
		for v := range 3 {
			s := accounts[v].Statements(c, noon, noon+hour, now)[0]
			if s.Total.Requested > trueCount || s.Total.Requested+possiblyLost < trueCount {
				t.Fatalf("seed %d: %d stated, %d true, %d possibly lost", seed, s.Total.Requested, trueCount, possiblyLost)
			}
			if s.Total.Requested != s.Total.InTime {
				t.Fatal("seed ", seed, ": counts of one interval are inconsistent")
			}
		}
	}
}

// A window whose intervals were all kept earns no credit; one missed interval earns it and has a cause. Txns
// beyond the contract's size are not counted.
func TestStatementCredit(t *testing.T) {
	x := terms("x", "2026-06-01 12:00", 1, 10, 0)
	c := &Contract{No: 7, Versions: []Version{{State: Booked, Terms: x}}}
	a := NewAccount(1, 1, nil)
	a.Add(7, noon+1e9, Counts{Requested: 9000, InTime: 3000, Overloaded: 6000}) // the contract's size is 3000
	s := a.Statements(c, noon, noon+hour, noon+hour)[0]
	if !s.Credit.IsZero() || s.Lines[0].ServedFraction != 1 || s.Lines[0].Size != 3000 {
		t.Fatalf("%+v", s)
	}
	a.Add(7, noon+CountInterval+1e9, Counts{Requested: 2000, InTime: 1900, NoMember: 60, Late: 40})
	b := NewAccount(2, 1, nil)
	b.Add(7, noon+CountInterval+1e9, Counts{Requested: 500, InTime: 500})
	a.Merge(b.Report(noon+CountInterval+2e9, true), noon+CountInterval+2e9)
	a.Merge(b.Report(noon+CountInterval+2e9, true), noon+CountInterval+3e9)
	s = a.Statements(c, noon, noon+hour, noon+2*hour)[0]
	if !s.Credit.Equal(decimal.RequireFromString("60.25")) || s.Lines[1].Cause != "no member could in time" || s.Lines[1].Requested != 2500 || s.Lines[1].Gateways != 2 || !s.Final {
		t.Fatalf("%+v", s)
	}
}

// Golden transcript of an event during which one of three gateways is partitioned: the statement while its
// counts are missing, and afterwards with the credit for the time it was in careful mode. -update rewrites it.
func TestPartitionTranscript(t *testing.T) {
	x := terms("final", "2026-06-01 12:00", 1, 20, 0)
	c := &Contract{No: 7, Versions: []Version{{State: Booked, Terms: x}}}
	var out []string
	var accounts []*Account
	for i := range 3 {
		accounts = append(accounts, NewAccount(uint64(i+1), 1, nil))
	}
	partitioned, now := false, noon
	logf := func(format string, x ...any) {
		out = append(out, fmt.Sprintf("%s  ", time.Unix(0, now).UTC().Format("15:04:05"))+fmt.Sprintf(format, x...))
	}
	state := func() {
		for _, s := range accounts[0].Statements(c, noon, noon+hour, now) {
			logf("statement at g1: %d requested, %d in time, credit %s, final %v", s.Total.Requested, s.Total.InTime, s.Credit, s.Final)
			for _, l := range s.Lines {
				out = append(out, fmt.Sprintf("            from %s: %d gateways, %d requested of %.0f, served %.4f %s", time.Unix(0, l.At).UTC().Format("15:04"), l.Gateways, l.Requested, l.Size, l.ServedFraction, l.Cause))
			}
		}
	}
	for second := range 900 {
		now = noon + int64(second)*1e9
		switch second {
		case 300:
			partitioned = true
			logf("g3 is partitioned; its clients stay")
		case 600:
			state()
			partitioned = false
			logf("g3 is reachable again")
		}
		for i, a := range accounts {
			n := Counts{Requested: 5, InTime: 5}
			if i == 2 && partitioned && second > 302 { // in careful mode, as its lease has expired
				n = Counts{Requested: 5, NoAgreement: 5}
			}
			a.Add(7, now, n)
			for k, o := range accounts {
				if k != i && !(partitioned && (i == 2 || k == 2)) {
					o.Merge(a.Report(now, i > 0), now)
				}
			}
		}
	}
	now = noon + 2*hour
	state()
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "event-during-a-cut", []byte(strings.Join(out, "\n")+"\n"))
}
