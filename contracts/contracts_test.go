package contracts

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shopspring/decimal"
	"pgregory.net/rapid"
)

// noon is the start of the tests' time.
var noon = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC).UnixNano()

const hour = int64(time.Hour)

func terms(name string, at string, hours int64, reads, writes float64) Terms {
	return Terms{Name: name, Tenant: "t-" + name, Reads: reads, Writes: writes, InFlight: 10, Windows: []Window{{Zone: "UTC", Start: at, Length: hours * hour}},
		RampDuration: hour / 2, CooldownDuration: hour / 2, PromisedFraction: 0.99, ExcessPolicy: BestEffort, ToleratedLoss: MemberLoss, Price: decimal.RequireFromString("120.50"), Credit: decimal.RequireFromString("60.25")}
}

// fleet has two groups of four members in two zones; each member has a capacity of 100 reads and 40 writes per second.
var fleet = Fleet{0: {"a": 2, "b": 2}, 1: {"a": 2, "b": 2}}

func sizedBook() *Book {
	b, _ := DecodeBook(nil)
	b, err := b.Apply(&Proposal{Sizes: []MemberSize{{0, 100, 40}, {1, 100, 40}}, At: noon}, fleet)
	if err != nil {
		panic(err)
	}
	return b
}

// bookContract drafts, quotes and books a contract.
func bookContract(b *Book, t Terms, now int64) (*Book, error) {
	for _, w := range []Proposal{{Draft: &t}, {Quote: t.Name, Until: now + hour}, {Book: t.Name}} {
		w.At, w.Author = now, "test"
		next, err := b.Apply(&w, fleet)
		if err != nil {
			return b, err
		}
		b = next
	}
	return b, nil
}

// A daily series at 20:00 in Paris must stay at 20:00 after the clocks go back, on a day of 25 hours, and skip
// its exceptions. A time that does not exist because the clocks go forward is refused as a start, and within a
// series moves later by the skipped time.
func TestWindowsAcrossClockChanges(t *testing.T) {
	w := Window{Zone: "Europe/Paris", Start: "2026-10-23 20:00", Length: 3 * hour, Every: "day", Until: "2026-10-27", Except: []string{"2026-10-24"}}
	if err := w.Check(); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, s := range w.Occurrences(0, 1<<62) {
		got = append(got, formatTime(s.Start))
	}
	if want := "2026-10-23 18:00 UTC 2026-10-25 19:00 UTC 2026-10-26 19:00 UTC 2026-10-27 19:00 UTC"; strings.Join(got, " ") != want {
		t.Fatal(got)
	}
	w = Window{Zone: "Europe/Paris", Start: "2026-03-28 02:30", Length: hour, Every: "day", Until: "2026-03-30"}
	if s := w.Occurrences(0, 1<<62); w.Check() != nil || len(s) != 3 || formatTime(s[1].Start) != "2026-03-29 01:30 UTC" || formatTime(s[2].Start) != "2026-03-30 00:30 UTC" {
		t.Fatal(w.Check(), s)
	}
	for want, w := range map[string]Window{
		"clocks are put forward":     {Zone: "Europe/Paris", Start: "2026-03-29 02:30", Length: hour},
		"is no time zone":            {Zone: "Paris", Start: "2026-03-29 02:30", Length: hour},
		"is no time;":                {Zone: "UTC", Start: "tomorrow", Length: hour},
		"its length":                 {Zone: "UTC", Start: "2026-03-29 02:30"},
		"before the one before ends": {Zone: "UTC", Start: "2026-03-29 02:30", Length: 25 * hour, Every: "day", Until: "2026-04-29"},
		"it ends before it begins":   {Zone: "UTC", Start: "2026-03-29 02:30", Length: hour, Every: "day", Until: "2026-02-01"},
		"are of a series":            {Zone: "UTC", Start: "2026-03-29 02:30", Length: hour, Until: "2026-04-29"},
	} {
		if err := w.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Error(want, err)
		}
	}
}

// The calendar must agree with a simple model that checks each half hour of each group separately.
func TestCalendarMatchesReferenceModel(t *testing.T) {
	start := func(r *rapid.T, name string) string {
		return time.Unix(0, noon+hour/2*int64(rapid.IntRange(2, 96).Draw(r, name))).UTC().Format(startLayout)
	}
	rapid.Check(t, func(r *rapid.T) {
		b := sizedBook()
		draw := func(i int) Terms {
			x := terms(fmt.Sprint("c", i), start(r, "start"), int64(rapid.IntRange(1, 6).Draw(r, "hours")), float64(rapid.IntRange(0, 120).Draw(r, "reads")), float64(rapid.IntRange(1, 25).Draw(r, "writes")))
			x.ToleratedLoss = rapid.SampledFrom(lossLevels).Draw(r, "loss")
			x.Groups = rapid.SampledFrom([][]int{nil, {0}, {1}}).Draw(r, "groups")
			return x
		}
		for i := range rapid.IntRange(0, 8).Draw(r, "contracts") {
			b, _ = bookContract(b, draw(i), noon)
		}
		x := draw(99)
		fits := true
		for _, g := range []int{0, 1} {
			for at := noon; x.covers(g) && at < noon+60*hour; at += hour / 2 {
				for _, loss := range lossLevels {
					sum := [2]float64{}
					on := func(c *Terms) bool {
						h := c.ReservedWindows(0, 1<<62)[0]
						return c.covers(g) && h.From <= at && at < h.To && slices.Index(lossLevels, c.ToleratedLoss) >= slices.Index(lossLevels, loss)
					}
					if !on(&x) {
						continue
					}
					for _, c := range append(b.BookedContracts(), &Contract{Versions: []Version{{Terms: x}}}) {
						if c := &c.Latest().Terms; on(c) {
							sum[0], sum[1] = sum[0]+c.Reads, sum[1]+c.Writes
						}
					}
					replicas := map[string]float64{NoLoss: 3, MemberLoss: 2, ZoneLoss: 1}[loss]
					fits = fits && sum[0] <= replicas*100*(1-DefaultFloor) && sum[1] <= 40*(1-DefaultFloor)
				}
			}
		}
		err := NewCalendar(b, fleet, noon, 0).CheckFit(&x)
		if (err == nil) != fits {
			r.Fatalf("fits %v, but %v", fits, err)
		}
		// The suggested alternatives must fit.
		var l *ShortfallError
		if !errors.As(err, &l) {
			return
		}
		less := x
		less.Reads, less.Writes = l.FittingReads, l.FittingWrites
		if l.FittingReads+l.FittingWrites > 0 && NewCalendar(b, fleet, noon, 0).CheckFit(&less) != nil {
			r.Fatalf("reduced contract does not fit: %v", l)
		}
		for _, at := range []int64{l.EarlierStart, l.LaterStart} {
			moved := x
			moved.Windows = []Window{{Zone: "UTC", Start: time.Unix(0, at).UTC().Format(startLayout), Length: x.Windows[0].Length}}
			if err := NewCalendar(b, fleet, noon, 0).CheckFit(&moved); at > 0 && err != nil {
				r.Fatalf("shifted window does not fit: %v, %v", l, err)
			}
		}
	})
}

// Contracts are randomly drafted, quoted, booked, amended and cancelled while the fleet shrinks and grows.
// Capacity must never be oversold, no version may be rewritten, and contracts that a smaller fleet cannot keep
// must be reported, not dropped.
func TestNeverOversold(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, now := sizedBook(), noon
		currentFleet := Fleet{0: {"a": 2, "b": 2}, 1: {"a": 2, "b": 2}}
		applied, refused := 0, 0
		for range 60 {
			now += int64(rng.Float64() * float64(2*hour))
			name := fmt.Sprint("c", rng.IntN(8))
			x := terms(name, time.Unix(0, now+int64(rng.IntN(40))*hour/2+hour).UTC().Format(startLayout), int64(1+rng.IntN(8)), float64(rng.IntN(150)), float64(1+rng.IntN(20)))
			x.ToleratedLoss, x.Priority = lossLevels[rng.IntN(3)], rng.IntN(3)
			w := Proposal{Author: "random", At: now}
			switch rng.IntN(6) {
			case 0:
				w.Draft = &x
			case 1:
				w.Amend = &x
			case 2:
				w.Quote, w.Until = name, now+4*hour
			case 3:
				w.Book = name
			case 4:
				w.Cancel = name
			case 5:
				currentFleet[rng.IntN(2)]["a"] = rng.IntN(4)
			}
			before, _ := json.Marshal(b)
			next, err := b.Apply(&w, currentFleet)
			if after, _ := json.Marshal(b); string(after) != string(before) {
				t.Fatal("seed ", seed, ": the book was modified in place")
			}
			if err != nil {
				refused++
				continue
			}
			applied++
			for i := range b.Contracts {
				for k, v := range b.Contracts[i].Versions {
					if fmt.Sprint(next.Contracts[i].Versions[k]) != fmt.Sprint(v) {
						t.Fatal("seed ", seed, ": a version was rewritten")
					}
				}
			}
			if sold := w.Book != "" || w.Amend != nil; sold { // a contract just booked or amended must fit beside all other booked ones
				c := next.Find(firstNonEmpty(w.Book, name))
				if c.Latest().State == Booked {
					if err := NewCalendar(next, currentFleet, now, c.No).CheckFit(&c.Latest().Terms); err != nil {
						t.Fatal("seed ", seed, ": oversold: ", err)
					}
				}
			}
			b = next
		}
		if again, err := DecodeBook(b.Encode()); err != nil || string(again.Encode()) != string(b.Encode()) {
			t.Fatal("seed ", seed, ": encoding: ", err)
		}
		if applied == 0 || refused == 0 {
			t.Fatal("seed ", seed, ": ", applied, refused)
		}
		live := 0
		for _, c := range b.BookedContracts() {
			if p, _ := c.Latest().Terms.PhaseAt(now); p != Ended {
				live++
			}
		}
		if risks := b.UnmetContracts(Fleet{0: {"a": 1}, 1: {"a": 1}}, now); len(risks) != live {
			t.Fatalf("seed %d: one member per group keeps %d of %d", seed, live-len(risks), live)
		}
	}
}

func firstNonEmpty(x, y string) string {
	if x != "" {
		return x
	}
	return y
}

// Golden transcript of a contract's lifecycle, a refusal with alternatives, and a shrinking fleet; -update
// rewrites it.
func TestLifecycleTranscript(t *testing.T) {
	b, currentFleet := sizedBook(), fleet
	var out []string
	logf := func(format string, x ...any) { out = append(out, fmt.Sprintf(format, x...)) }
	apply := func(now int64, what string, w Proposal) {
		w.At, w.Author = now, "anna@desk"
		next, err := b.Apply(&w, currentFleet)
		if err != nil {
			logf("%s  %s: refused: %v", formatTime(now), what, err)
			return
		}
		b = next
		logf("%s  %s: done", formatTime(now), what)
	}
	final := terms("final", "2026-06-14 20:00", 3, 150, 20)
	other := terms("gala", "2026-06-14 21:00", 2, 50, 5)
	apply(noon, "draft final", Proposal{Draft: &final})
	apply(noon+hour, "book final", Proposal{Book: "final"})
	apply(noon+hour, "quote final until the evening", Proposal{Quote: "final", Until: noon + 8*hour})
	apply(noon+2*hour, "book final", Proposal{Book: "final"})
	apply(noon+3*hour, "draft gala", Proposal{Draft: &other})
	apply(noon+3*hour, "quote gala", Proposal{Quote: "gala", Until: noon + 8*hour})
	other.Windows[0].Start = "2026-06-15 00:00"
	apply(noon+4*hour, "amend gala to midnight", Proposal{Amend: &other})
	apply(noon+4*hour, "quote gala", Proposal{Quote: "gala", Until: noon + 5*hour})
	apply(noon+6*hour, "book gala, late", Proposal{Book: "gala"})
	apply(noon+6*hour, "quote gala", Proposal{Quote: "gala", Until: noon + 8*hour})
	apply(noon+6*hour, "book gala", Proposal{Book: "gala"})
	final.Reads = 190
	apply(noon+24*hour, "amend final to 190 reads a second", Proposal{Amend: &final})
	currentFleet = Fleet{0: {"a": 2, "b": 1}, 1: {"a": 2, "b": 2}}
	logf("a member of group 0 is removed")
	for _, r := range b.UnmetContracts(currentFleet, noon+48*hour) {
		logf("  at risk from %s: %s", formatTime(r.Start), r.Reason)
	}
	for _, at := range []string{"2026-06-14 19:29", "2026-06-14 19:30", "2026-06-14 20:00", "2026-06-14 23:00", "2026-06-14 23:30", "2026-06-15 02:30"} {
		x, _ := time.Parse(startLayout, at)
		p, _ := final.PhaseAt(x.UnixNano())
		holdings, next := b.Reservations(x.UnixNano())
		then := "never"
		if next > 0 {
			then = formatTime(next)
		}
		logf("%s  final is %s; reserved: %v; next change at %s", formatTime(x.UnixNano()), p, holdings, then)
	}
	apply(noon+400*hour, "cancel gala, afterwards", Proposal{Cancel: "gala"})
	for _, v := range b.Find("gala").Versions {
		logf("gala, %s: %s by %s", formatTime(v.At), v.State, v.Author)
	}
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "life", []byte(strings.Join(out, "\n")+"\n"))
}

// Measures the cost of a booking beside 10,000 contracts over a year, and the size of their encoded book.
func BenchmarkBooking(b *testing.B) {
	book := sizedBook()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 10_000 {
		x := terms(fmt.Sprint("c", i), time.Unix(0, noon+rng.Int64N(365*24)*hour).UTC().Format(startLayout), 1+rng.Int64N(4), 1, 0.1)
		book.Contracts = append(book.Contracts, Contract{uint64(i + 1), []Version{{State: Booked, Terms: x, Author: "test", At: noon}}})
	}
	x := terms("new", "2026-09-14 20:00", 3, 100, 10)
	for b.Loop() {
		if err := NewCalendar(book, fleet, noon, 0).CheckFit(&x); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(book.Encode())), "B/text")
}
