package quota

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The golden file is reviewed by hand. It shows a limit of 100 txns in flight, what each gateway holds
// of it and what the allocator records, while units are granted, used, lost with a killed holder and
// granted again, and while the shard moves to another allocator.
// `go test ./quota -run Transcript -update` regenerates it.
func TestTranscript(t *testing.T) {
	sim := newSimulation(t, 5, 5, Limit{Name: "portal, in flight", Kind: Concurrency, Amount: 100})
	var out strings.Builder
	key := sim.limits[0].Key
	start := sim.Now
	printLine := func(format string, x ...any) {
		fmt.Fprintf(&out, "%6.2f  "+format+"\n", append([]any{float64(sim.Now-start) / 1e9}, x...)...)
	}
	sim.trace = printLine
	printState := func() {
		for _, n := range sim.nodes {
			if n.down {
				printLine("g%d is down", n.no)
				continue
			}
			n.q.Clock(n.clock(), n.leaseUntil)
			amount, used, demand, expiry := n.q.Allocation(key)
			printLine("g%d holds %d for %d ms, uses %d, demand %d", n.no, amount, max(0, expiry-n.clock())/1e6, used, demand)
		}
		for _, n := range sim.nodes {
			grants, active := n.q.Grants(key)
			if !active || n.down {
				continue
			}
			granted := int64(0)
			for _, grant := range grants {
				printLine("  allocator g%d: gateway %d has %d, available again in %d ms", n.no, grant.Holder, grant.Amount, grant.Remaining/1e6)
				granted += grant.Amount
			}
			printLine("  allocator g%d: %d are unallocated", n.no, 100-granted)
		}
	}
	step := func(what string, duration int64, demand ...float64) {
		printLine("--- %s", what)
		for i, d := range demand {
			sim.nodes[i].demand[key] = d
		}
		sim.advance(duration)
		printState()
	}
	allocator := func() *node {
		for _, n := range sim.nodes {
			if n.q.shards[shardOf(key)].active && !n.down {
				return n
			}
		}
		t.Fatal("the shard has no allocator")
		return nil
	}
	sim.advance(5 * second)
	step("load on g0: 40 txns per second of a quarter of a second each", second, 40)
	step("load on g1 too, more than the limit admits", second, 40, 2000)
	holder := sim.nodes[1]
	if holder == allocator() {
		holder = sim.nodes[0]
	}
	printLine("--- g%d is killed", holder.no)
	holder.down = true
	holder.incarnation++
	step("its allocation stays reserved, as its work goes on and nobody knows that it is down", second, 0, 0, 2000, 2000)
	step("its lease has expired", 2*second)
	printLine("--- g%d, the allocator, is paused", allocator().no)
	paused := allocator()
	paused.paused = true
	sim.advance(8 * second)
	printState()
	printLine("--- g%d resumes", paused.no)
	paused.pause(false)
	sim.advance(second)
	printState()
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "book", []byte(out.String()))
}
