// Package gateway is the service on sockets: clients and members speak PostgreSQL's protocol, discovery
// speaks HTTP, and the module in decide makes every decision.
//
// One event loop owns the module and every table here. Dials, the timer and signals run elsewhere and only
// post to it. gateway.go starts and ends a gateway, loop.go has the turns, clients.go and txns.go what clients
// ask, members.go the connections to members, discovery.go the list, budget.go the descriptors.
package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"
	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"

	"magpieglade/agreement"
	"magpieglade/contracts"
	"magpieglade/decide"
	"magpieglade/fleet"
	"magpieglade/internal/deadlines"
	"magpieglade/internal/neterr"
	"magpieglade/internal/peerwire"
	"magpieglade/internal/slots"
	"magpieglade/routes"
)

// Gateway is one gateway. Its fields belong to the event loop once Run has begun.
type Gateway struct {
	gnet.BuiltinEventEngine
	config    Config
	names     platformSettings
	log       *slog.Logger
	least     *slog.LevelVar // that is logged, by the generation in force
	module    *decide.Gateway
	clock     clock
	started   chan struct{} // closed when there is a loop to post to
	loopEnded chan struct{} // closed when the loop has ended
	network   Network
	listener  net.Listener
	loop      gnet.EventLoop

	inputs    []input
	dialsFail bool // for lack of something of this machine
	handling  bool // an event, within which others may come
	turning   bool
	turnAt    decide.Nanos // the module's time
	deadlines deadlines.Queue[due]
	timer     *time.Timer
	timerAt   int64 // what the timer is set to; 0 is nothing

	budget    budget
	clients   clients
	txns      slots.Table[txn]
	byID      map[uint64]slots.Ref
	members   members
	discovery discovery
	scratch   []byte
	lookup    routes.Txn
	raised    []byte // a statement with the floor of its read
	parts     [][]byte
	counts    counts
	outcomes  outcomes

	generations *generations
	sessions    *fleet.Sessions  // nil where the operator says nothing of them
	quotas      *fleet.Quotas    // bounds of the fleet, nil where gateways agree on nothing
	agreed      *fleetAgreement  // nil where gateways agree on nothing
	reserved    *reserved        // nil where gateways agree on nothing
	coordinated *coordinated     // nil where each gateway chooses for itself
	link        *fleet.Datagrams // the address for other gateways, nil where there are none
	seed        uint64
	longest     decide.Nanos // turn so far: nothing else is read or written meanwhile
	latest      decide.Nanos // timer so far, behind its time

	leaving bool         // told to end
	stopped bool         // has told the loop to end
	closing bool         // and sends clients away that have their answers
	empty   decide.Nanos // since when there is none
	last    decide.Nanos
	kill    decide.Nanos // by when all have their answers
}

// counts are of this gateway's whole life, for the line at its end.
type counts struct{ taken, declined, rolledBack, withdrawn, unagreed int }

// New checks the configuration and prepares a gateway; Run starts it.
func New(c Config) (*Gateway, error) {
	seed, n, err := c.validate()
	if err != nil {
		return nil, err
	}
	settings, err := moduleSettings(c.Settings, c.Sessions != nil && c.Sessions.SharePositions || c.Coordination != nil && c.Coordination.Signals)
	if err != nil {
		return nil, err
	}
	module, err := decide.New(seed, settings)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	g := &Gateway{config: c, names: n, module: module, clock: newClock(c.Elapsed), started: make(chan struct{}), loopEnded: make(chan struct{}),
		byID: map[uint64]slots.Ref{}, least: new(slog.LevelVar), outcomes: newOutcomes()}
	g.least.Set(levelAll)
	g.seed = seed
	if g.network = c.Network; g.network == nil {
		g.network = SystemNetwork{}
	}
	g.log = slog.New(levelHandler{cmp.Or(c.Log, slog.Default()).Handler(), g.least}).With("gateway", c.Name)
	g.members = members{g: g, pools: map[decide.Server]*pool{}}
	g.clients.keys = map[uint32]slots.Ref{}
	g.clients.g, g.discovery.g, g.discovery.leave = g, g, map[decide.Server]bool{}
	g.budget.free = c.Limits.Sockets - reserve
	g.budget.all = g.budget.free
	g.generations = newGenerations(g)
	if c.Sessions != nil {
		if g.sessions, err = fleet.NewSessions(sessionTxns{g}, c.Sessions, seed, g.clock.began); err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}
	}
	g.discovery.list.hosts, g.discovery.list.groups = map[string]host{}, map[int]bool{}
	for i := range g.discovery.calls {
		g.discovery.calls[i].kind = callKind(i)
	}
	return g, nil
}

// Run serves until the context ends and what was taken is answered, for a little longer than the longest time
// that a txn type allows at most.
func (g *Gateway) Run(ctx context.Context) error {
	if at := g.forOthers(); at.IsValid() {
		err := neterr.Retry(startPatience, func() (err error) {
			g.link, err = fleet.Listen(at)
			return err
		})
		if err != nil {
			return fmt.Errorf("the address for other gateways: %w", err)
		}
		defer g.link.Close()
	}
	if g.config.Agreement != nil {
		var err error
		if g.agreed, err = openFleetAgreement(g, g.seed); err != nil {
			return err
		}
		longest := 0.0
		for _, c := range g.names.Classes {
			longest = max(longest, c.HardLimit)
		}
		if g.quotas, err = fleet.NewQuotas(g.agreed.fleet, int64(decide.Millis(longest))); err != nil {
			return errors.Join(err, g.agreed.fleet.Close())
		}
		g.reserved = &reserved{g: g, books: map[agreement.Digest]*contracts.Book{}, reading: map[agreement.Digest]bool{}}
		if err := g.reserved.opens(); err != nil {
			return errors.Join(err, g.agreed.fleet.Close())
		}
		if g.config.Coordination != nil {
			if g.coordinated, err = newCoordinated(g); err != nil {
				return errors.Join(err, g.agreed.fleet.Close())
			}
		}
		defer func() {
			if err := g.agreed.fleet.Close(); err != nil {
				g.log.Info("the log of the agreement is not closed in order", "why", err)
			}
		}()
	}
	if g.sessions != nil {
		var agreed *fleet.Fleet
		if g.agreed != nil {
			agreed = g.agreed.fleet
		}
		if err := g.sessions.Open(g.link, agreed); err != nil {
			return fmt.Errorf("sessions: %w", err)
		}
		defer g.sessions.Close()
	}
	// What the loop's buffers and the kernel's share of the limit leave is the collector's.
	debug.SetMemoryLimit(int64(g.config.Limits.MemoryMB) << 20 * 6 / 10)
	stop := context.AfterFunc(ctx, func() {
		<-g.started
		g.post(g.leave)
	})
	defer stop()
	err := g.serve()
	g.log.Info("ended", "asked", g.leaving, "taken", g.counts.taken, "declined", g.counts.declined, "rolled_back", g.counts.rolledBack,
		"withdrawn", g.counts.withdrawn, "open", g.txns.Len(), "most_descriptors", g.budget.most,
		"longest_turn_us", int64(g.longest/1000), "latest_timer_us", int64(g.latest/1000))
	return err
}

// forOthers is where other gateways reach this one; not valid where there are none.
func (g *Gateway) forOthers() (at netip.AddrPort) {
	if p := g.config.Agreement; p != nil {
		return p.Listen
	}
	if p := g.config.Sessions; p != nil && len(p.Gateways) > 1 {
		return p.Listen
	}
	return at
}

// cameFromOthers takes what other gateways sent.
func (g *Gateway) cameFromOthers() {
	g.link.Consume(func(d fleet.Datagram) {
		switch {
		case peerwire.IsSealed(d.Data):
			if g.agreed != nil {
				g.agreed.fleet.Receive(d)
			}
		case g.sessions != nil && g.sessions.HasPeers():
			g.sessions.Receive(d.Data)
		}
	})
}

// Reload puts a new configuration in force as far as that goes without a restart: where discovery is. It may
// be called at any time, and waits until Run has begun. Nothing changes where a value is lacking or wrong.
func (g *Gateway) Reload(c Config) error {
	if _, _, err := c.validate(); err != nil {
		return err
	}
	<-g.started
	g.post(func() { g.reload(c) })
	return nil
}

// reload is a whole new start for the list: the new service may number its versions otherwise.
func (g *Gateway) reload(c Config) {
	now := &g.config
	restart := c.Listen != now.Listen || c.Limits != now.Limits || !bytes.Equal(c.Settings, now.Settings)
	g.log.Info("reloaded", "discovery", c.Discovery, "rest_needs_restart", restart)
	if c.Discovery == now.Discovery {
		return
	}
	now.Discovery = c.Discovery
	for i := range g.discovery.calls {
		g.discovery.hangUpCall(&g.discovery.calls[i])
		g.discovery.hangUpLate(&g.discovery.calls[i]) // it tells of the former list
	}
	g.discovery.list.seq = unnumbered
	g.discovery.call(callWatch)
}

// post runs something on the loop, in a turn of its own.
func (g *Gateway) post(f func()) {
	_ = g.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		g.handle(f)
		return g.end()
	}))
}

// Spans of an orderly end: clients still come for a moment after it was asked for, and what is taken in that
// moment may take as long as its txn type allows.
const (
	lateComers = 700 * decide.Millisecond
	// The platform kills no sooner than the longest time of a txn type after that, or this where it is longer.
	longestKill = 3000 * decide.Millisecond
	killMargin  = 150 * decide.Millisecond // by which all have their answers before it may
	lastMargin  = 80 * decide.Millisecond  // from then on for answers to be read, well before it may
	crossing    = 100 * decide.Millisecond // for who was sent away while it asked, to connect and ask again
)

// leave begins an orderly end: what comes is served as before for a moment.
func (g *Gateway) leave() {
	if g.leaving {
		return
	}
	g.leaving = true
	longest := 0.0
	for _, c := range g.names.Classes {
		longest = max(longest, c.HardLimit)
	}
	g.kill = g.clock.now() + lateComers + min(decide.Millis(longest), longestKill) - killMargin
	g.last = g.kill + lastMargin
	for _, id := range slices.Sorted(maps.Keys(g.byID)) {
		g.module.LimitExpiry(id, g.kill)
	}
	g.deadlines.Add(int64(g.clock.now()+lateComers), due{kind: dueClosing})
	g.deadlines.Add(int64(g.kill), due{kind: dueFinal})
	g.deadlines.Add(int64(g.last), due{kind: dueLast})
	g.log.Info("leaving", "clients", g.clients.open.Len(), "txns", g.txns.Len())
}

// closeIdleClients is the second part of it: clients are sent away once they have their answers. A query may cross
// that and come once more on a new connection, which is served: to turn it away would lose it.
func (g *Gateway) closeIdleClients() {
	g.closing = true
	for _, ref := range g.clients.open.Refs() {
		if c := g.clients.open.Get(ref); c.stage == fresh {
			g.clients.sendAway(c, closedByShutdown)
			continue
		}
		g.inputs = append(g.inputs, input{kind: inReadable, ref: ref})
	}
	g.emptied()
}

// closeListener is the third: what comes from now on could be read and not be answered any more.
func (g *Gateway) closeListener() {
	_ = g.listener.Close()
	g.closeIdleClients()
}

// emptied sets the end when the last client is gone.
func (g *Gateway) emptied() {
	if g.closing && g.clients.open.Len() == 0 {
		g.empty = g.clock.now()
		g.deadlines.Add(int64(g.empty+crossing), due{kind: dueLast})
	}
}

// end tells gnet to end the loop once the last client is gone for a moment, or time is up.
func (g *Gateway) end() error {
	now := g.clock.now()
	if g.closing && (g.clients.open.Len() == 0 && now >= g.empty+crossing || now >= g.last) {
		g.stopped = true
		return gneterrors.ErrEngineShutdown
	}
	return nil
}
