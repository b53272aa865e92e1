package quota

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The file under testdata is read and approved by a person: a bound of a hundred txns in flight, what each gateway holds of
// it and what its keeper says, while parts are lent, spent, lost with their holder and given anew, and while the book moves.
// `go test ./quota -run Transcript -update` writes it anew.
func TestTranscript(t *testing.T) {
	w := newWorld(t, 5, 5, Limit{Name: "portal, in flight", Kind: Concurrency, Amount: 100})
	var out strings.Builder
	key := w.bounds[0].Key
	began := w.Now
	say := func(format string, x ...any) {
		fmt.Fprintf(&out, "%6.2f  "+format+"\n", append([]any{float64(w.Now-began) / 1e9}, x...)...)
	}
	w.trace = say
	holds := func() {
		for _, p := range w.nodes {
			if p.down {
				say("g%d is dead", p.no)
				continue
			}
			p.q.Clock(p.clock(), p.leased)
			part, used, want, until := p.q.Allocation(key)
			say("g%d holds %d for %d ms, uses %d, wants %d", p.no, part, max(0, until-p.clock())/1e6, used, want)
		}
		for _, p := range w.nodes {
			all, keeps := p.q.Grants(key)
			if !keeps || p.down {
				continue
			}
			lent := int64(0)
			for _, l := range all {
				say("  book of g%d: gateway %d has %d, given out again in %d ms", p.no, l.Holder, l.Amount, l.Remaining/1e6)
				lent += l.Amount
			}
			say("  book of g%d: %d are not lent", p.no, 100-lent)
		}
	}
	step := func(what string, span int64, demand ...float64) {
		say("--- %s", what)
		for i, d := range demand {
			w.nodes[i].demand[key] = d
		}
		w.step(span)
		holds()
	}
	keeper := func() *node {
		for _, p := range w.nodes {
			if p.q.shards[shardOf(key)].active && !p.down {
				return p
			}
		}
		t.Fatal("nobody keeps the book")
		return nil
	}
	w.step(5 * second)
	step("clients come to g0, 40 txns a second of a quarter of a second each", second, 40)
	step("and to g1, more than there is room for", second, 40, 2000)
	holder := w.nodes[1]
	if holder == keeper() {
		holder = w.nodes[0]
	}
	say("--- g%d is killed", holder.no)
	holder.down = true
	holder.run++
	step("its part is still its own, as what it began goes on and nobody knows that it is dead", second, 0, 0, 2000, 2000)
	step("its lease has run out", 2*second)
	say("--- g%d, who keeps the book, stands still", keeper().no)
	was := keeper()
	was.paused = true
	w.step(8 * second)
	holds()
	say("--- g%d goes on", was.no)
	was.pause(false)
	w.step(second)
	holds()
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "book", []byte(out.String()))
}
