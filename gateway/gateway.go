// Package gateway runs the service on sockets: clients and members use the PostgreSQL protocol, discovery uses HTTP, and the
// module in package decide makes all decisions.
//
// One event loop owns the module and all tables. Dials, the timer and signals run in other goroutines and only post to it.
// gateway.go starts and stops a gateway, loop.go has the event loop's turns, clients.go the client connections,
// clientmessages.go and clientinput.go what they send, txns.go their requests, members.go the connections to members,
// discovery.go the member list, and budget.go the file descriptors.
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

	"magpieglade/agreement"
	"magpieglade/contracts"
	"magpieglade/decide"
	"magpieglade/fleet"
	"magpieglade/internal/deadlines"
	"magpieglade/internal/eventloop"
	"magpieglade/internal/neterr"
	"magpieglade/internal/peerwire"
	"magpieglade/internal/slots"
	"magpieglade/routes"
)

// Gateway is one gateway. Once Run has begun, its fields are used from the event loop only.
type Gateway struct {
	config   Config
	names    platformSettings
	log      *slog.Logger
	logLevel *slog.LevelVar // set by the generation in force
	module   *decide.Gateway
	clock    clock
	started  chan struct{} // closed once the loop accepts posts
	network  Network
	listener net.Listener
	loop     *eventloop.Loop // nil until the gateway serves

	inputs        []input
	dialsFailing  bool // with errors of the local machine
	handlingEvent bool // an event handler runs; further events may be nested in it
	inTurn        bool
	deadlines     deadlines.Queue[timerEvent]
	timer         *time.Timer
	timerSetTo    int64        // 0 if the timer is not set
	turn          uint64       // number of the current or last turn
	lastTurnAt    decide.Nanos // when the last turn began
	recovery      stallRecovery
	wallLead      time.Duration // of the wall clock, as last told to the module

	budget          descriptorBudget
	clients         clients
	txns            slots.Table[txn]
	byID            map[uint64]slots.Ref
	abandoned       abandonedWrites
	members         members
	discovery       discoveryClient
	scratch         []byte
	lookup          routes.Txn
	raisedStatement []byte // buffer for a statement with the minimum position of its read
	parts           [][]byte
	counts          txnCounts
	outcomes        outcomes

	generations   *generations
	sessions      *fleet.Sessions  // nil if not configured
	quotas        *fleet.Quotas    // limits of the fleet, nil without an agreement
	agreement     *fleetAgreement  // nil without an agreement between gateways
	contracts     *contractManager // nil without an agreement
	coordination  *coordinator     // nil if each gateway chooses members and probes on its own
	peerLink      *fleet.Datagrams // datagrams of other gateways, nil if there are none
	seed          uint64
	longestTurn   decide.Nanos // nothing else is read or written during a turn
	maxTimerDelay decide.Nanos // how late a timer fired at most

	shuttingDown     bool         // shutdown was requested
	loopStopped      bool         // the loop was told to end
	closingClients   bool         // clients without an open request are disconnected
	emptySince       decide.Nanos // since when no client is connected
	shutdownDeadline decide.Nanos // when the loop ends at the latest
	answerDeadline   decide.Nanos // by when all requests are answered
}

// txnCounts counts txns over the whole run, for the log line at its end.
type txnCounts struct{ taken, declined, rolledBack, withdrawn, unagreed int }

// New checks the configuration and prepares a gateway; Run starts it.
func New(c Config) (*Gateway, error) {
	seed, n, err := c.validate()
	if err != nil {
		return nil, err
	}
	settings, err := moduleSettings(c.Settings, c.Sessions != nil && c.Sessions.SharePositions || c.Coordination != nil && c.Coordination.Signals, c.ClockError)
	if err != nil {
		return nil, err
	}
	module, err := decide.New(seed, settings)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	g := &Gateway{config: c, names: n, module: module, clock: newClock(c.Elapsed), started: make(chan struct{}),
		byID: map[uint64]slots.Ref{}, logLevel: new(slog.LevelVar), outcomes: newOutcomes()}
	g.logLevel.Set(levelAll)
	g.seed = seed
	if g.network = c.Network; g.network == nil {
		g.network = SystemNetwork{}
	}
	g.log = slog.New(levelHandler{cmp.Or(c.Log, slog.Default()).Handler(), g.logLevel}).With("gateway", c.Name)
	g.members = members{g: g, pools: map[decide.Server]*pool{}}
	g.clients.cancelKeys = map[uint32]slots.Ref{}
	g.clients.g, g.discovery.g, g.discovery.draining = g, g, map[decide.Server]bool{}
	g.budget.free = c.Limits.Sockets - reservedDescriptors
	g.budget.total = g.budget.free
	g.generations = newGenerations(g)
	if c.Sessions != nil {
		if g.sessions, err = fleet.NewSessions(sessionHost{g}, c.Sessions, seed, g.clock.startedAt); err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}
	}
	g.discovery.list.hosts, g.discovery.list.knownGroups = map[string]host{}, map[int]bool{}
	g.discovery.list.lastHosts = map[decide.Server]string{}
	for i := range g.discovery.calls {
		g.discovery.calls[i].kind = callKind(i)
	}
	return g, nil
}

// Run serves until the context is done and all accepted requests are answered, which takes a little longer than the
// greatest hard limit of a txn type at most.
func (g *Gateway) Run(ctx context.Context) error {
	if address := g.peerAddress(); address.IsValid() {
		err := neterr.Retry(startTimeout, func() (err error) {
			g.peerLink, err = fleet.Listen(address)
			return err
		})
		if err != nil {
			return fmt.Errorf("the address for other gateways: %w", err)
		}
		defer g.peerLink.Close()
	}
	if g.config.Agreement != nil {
		var err error
		if g.agreement, err = openFleetAgreement(g, g.seed); err != nil {
			return err
		}
		maxHardLimit := 0.0
		for _, c := range g.names.Classes {
			maxHardLimit = max(maxHardLimit, c.HardLimit)
		}
		if g.quotas, err = fleet.NewQuotas(g.agreement.fleet, int64(decide.Millis(maxHardLimit))); err != nil {
			return errors.Join(err, g.agreement.fleet.Close())
		}
		g.contracts = &contractManager{g: g, books: map[agreement.Digest]*contracts.Book{}, decoding: map[agreement.Digest]bool{}}
		if err := g.contracts.loadAccount(); err != nil {
			return errors.Join(err, g.agreement.fleet.Close())
		}
		if g.config.Coordination != nil {
			if g.coordination, err = newCoordinator(g); err != nil {
				return errors.Join(err, g.agreement.fleet.Close())
			}
		}
		defer func() {
			if err := g.agreement.fleet.Close(); err != nil {
				g.log.Info("closing the log of the agreement failed", "why", err)
			}
		}()
	}
	if g.sessions != nil {
		var agreementFleet *fleet.Fleet
		if g.agreement != nil {
			agreementFleet = g.agreement.fleet
		}
		if err := g.sessions.Open(g.peerLink, agreementFleet); err != nil {
			return fmt.Errorf("sessions: %w", err)
		}
		defer g.sessions.Close()
	}
	// The garbage collector gets what the loop's buffers and the kernel leave of the memory limit.
	debug.SetMemoryLimit(int64(g.config.Limits.MemoryMB) << 20 * 6 / 10)
	stop := context.AfterFunc(ctx, func() {
		<-g.started
		g.post(g.beginShutdown)
	})
	defer stop()
	err := g.serve()
	g.log.Info("ended", "asked", g.shuttingDown, "taken", g.counts.taken, "declined", g.counts.declined, "rolled_back", g.counts.rolledBack,
		"withdrawn", g.counts.withdrawn, "open", g.txns.Len(), "most_descriptors", g.budget.peak,
		"longest_turn_us", int64(g.longestTurn/1000), "latest_timer_us", int64(g.maxTimerDelay/1000))
	return err
}

// peerAddress is where other gateways reach this one. It is invalid if there are none.
func (g *Gateway) peerAddress() (address netip.AddrPort) {
	if p := g.config.Agreement; p != nil {
		return p.Listen
	}
	if p := g.config.Sessions; p != nil && len(p.Gateways) > 1 {
		return p.Listen
	}
	return address
}

// receiveDatagrams handles datagrams of other gateways.
func (g *Gateway) receiveDatagrams() {
	g.peerLink.Consume(func(d fleet.Datagram) {
		switch {
		case peerwire.IsSealed(d.Data):
			if g.agreement != nil {
				g.agreement.fleet.Receive(d)
			}
		case g.sessions != nil && g.sessions.HasPeers():
			g.sessions.Receive(d.Data)
		}
	})
}

// Reload applies what can change without a restart: the address of discovery. It may be called at any time and blocks until
// Run has begun. If a value is missing or invalid, nothing changes.
func (g *Gateway) Reload(c Config) error {
	if _, _, err := c.validate(); err != nil {
		return err
	}
	<-g.started
	g.post(func() { g.reload(c) })
	return nil
}

// reload restarts the calls for the list without a version, as a new service may number its versions differently.
func (g *Gateway) reload(c Config) {
	current := &g.config
	restart := c.Listen != current.Listen || c.Limits != current.Limits || !bytes.Equal(c.Settings, current.Settings)
	g.log.Info("reloaded", "discovery", c.Discovery, "rest_needs_restart", restart)
	if c.Discovery == current.Discovery {
		return
	}
	current.Discovery = c.Discovery
	for i := range g.discovery.calls {
		g.discovery.closeCall(&g.discovery.calls[i])
		g.discovery.closeLateCall(&g.discovery.calls[i]) // it would bring the previous list
	}
	g.discovery.list.seq = noListVersion
	g.discovery.startCall(callWatch)
}

// post runs a function on the loop in a turn of its own.
func (g *Gateway) post(f func()) {
	_ = g.loop.Post(func() {
		g.handle(f)
		g.endIfDone()
	})
}

// Durations of a graceful shutdown. Clients may still connect during acceptPeriod, and a request accepted in it may take as
// long as its txn type allows. The platform kills the process no sooner than the greatest hard limit of a txn type after
// acceptPeriod, or maxKillDelay after it if that is less.
const (
	acceptPeriod   = 700 * decide.Millisecond
	maxKillDelay   = 3000 * decide.Millisecond
	killMargin     = 150 * decide.Millisecond // from the last response until the platform may kill
	readMargin     = 80 * decide.Millisecond  // part of killMargin, for clients to read the last responses
	reconnectGrace = 100 * decide.Millisecond // for a client that was disconnected while it sent a request to retry it
)

// beginShutdown starts a graceful shutdown. During acceptPeriod, new clients and requests are served as before.
func (g *Gateway) beginShutdown() {
	if g.shuttingDown {
		return
	}
	g.shuttingDown = true
	maxHardLimit := 0.0
	for _, c := range g.names.Classes {
		maxHardLimit = max(maxHardLimit, c.HardLimit)
	}
	g.answerDeadline = g.clock.now() + acceptPeriod + min(decide.Millis(maxHardLimit), maxKillDelay) - killMargin
	g.shutdownDeadline = g.answerDeadline + readMargin
	g.limitOpenTxns()
	g.deadlines.Add(int64(g.clock.now()+acceptPeriod), timerEvent{kind: timerCloseClients})
	g.deadlines.Add(int64(g.answerDeadline), timerEvent{kind: timerCloseListener})
	g.deadlines.Add(int64(g.shutdownDeadline), timerEvent{kind: timerEndLoop})
	g.log.Info("leaving", "clients", g.clients.conns.Len(), "txns", g.txns.Len())
}

// limitOpenTxns has all open txns answered by answerDeadline, wherever they wait: in the decision module, in the session
// module for a floor, or for the ledger.
func (g *Gateway) limitOpenTxns() {
	for _, id := range slices.Sorted(maps.Keys(g.byID)) {
		g.module.LimitExpiry(id, g.answerDeadline)
		if ref := g.byID[id]; g.txns.Get(ref).delayedResponse != nil {
			g.deadlines.Add(int64(g.answerDeadline), timerEvent{kind: timerAnswer, ref: ref})
		}
	}
	if g.sessions != nil {
		g.sessions.Module.LimitReads(int64(g.answerDeadline))
	}
}

// latestAnswer is when a txn that may take until a given time is answered at the latest: earlier during a shutdown.
func (g *Gateway) latestAnswer(at decide.Nanos) decide.Nanos {
	if g.shuttingDown {
		return min(at, g.answerDeadline)
	}
	return at
}

// closeIdleClients is the second phase of the shutdown: clients are disconnected once their requests are answered. A query
// may cross the close of its connection and be retried on a new one; it is served, as rejecting it would lose it.
func (g *Gateway) closeIdleClients() {
	g.closingClients = true
	for _, ref := range g.clients.conns.Refs() {
		if c := g.clients.conns.Get(ref); c.stage == stageConnected {
			g.clients.closeUnlessUnread(c, closedByShutdown)
			continue
		}
		g.inputs = append(g.inputs, input{kind: inReadable, ref: ref})
	}
	g.scheduleEndIfEmpty()
}

// closeListener is the third phase: later requests could still be read but no longer be answered.
func (g *Gateway) closeListener() {
	_ = g.listener.Close()
	g.closeIdleClients()
}

// scheduleEndIfEmpty schedules the end of the loop if the last client is gone.
func (g *Gateway) scheduleEndIfEmpty() {
	if g.closingClients && g.clients.conns.Len() == 0 {
		g.emptySince = g.clock.now()
		g.deadlines.Add(int64(g.emptySince+reconnectGrace), timerEvent{kind: timerEndLoop})
	}
}

// endIfDone ends the loop once no client has been connected for reconnectGrace, or shutdownDeadline has passed.
func (g *Gateway) endIfDone() {
	now := g.clock.now()
	if g.closingClients && (g.clients.conns.Len() == 0 && now >= g.emptySince+reconnectGrace || now >= g.shutdownDeadline) {
		g.loopStopped = true
		g.loop.Stop()
	}
}
