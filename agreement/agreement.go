// Package agreement replicates the fleet's shared state: versioned texts of settings and membership lists, and the
// leases that bound how long each gateway may act on what it knows of them. Three, five or seven gateways vote in a
// Raft group; every gateway holds a lease that a voter grants. The package does no I/O, reads no clock and has no
// randomness other than a seeded generator.
//
// Call New once. In each round call Clock with the time, then any of Receive, Saved and Propose, which only update
// the state, then Next until it reports that no decision is left. LeaseUntil and Manifest report at any time what a
// txn may be decided by. docs/agreement.md has the safety argument.
//
// agreement.go holds the interface, voter.go the replicated log and leadership, leases.go the leases, book.go the
// replicated state, holder.go a gateway's copy of it, texts.go the transfer of texts between gateways.
package agreement

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// ID identifies one incarnation of a gateway: a gateway that lost its disk gets a new one. 0 is no gateway.
type ID uint64

// Config is the same at all gateways of a fleet, except for Self, Seed and Seeds. Times are in nanoseconds.
type Config struct {
	Self        ID
	Epoch       uint64 // increases with each start
	Seed        uint64
	Lease       int64 // how long a gateway may act on what it knows without hearing from a voter
	ClockError  int64 // upper bound of the difference between two clocks over one lease
	EffectDelay int64 // upper bound of the time from a gateway's decision to its effect
	PageSize    int   // bytes of text per message
	Seeds       []ID  // gateways that are asked first for the agreed state
}

// MaxDivergence is the longest time for which two gateways may act on contradictory rules.
func (c *Config) MaxDivergence() int64 { return c.Lease + c.ClockError + c.EffectDelay }

// StartupWait is how long a starting gateway waits for the membership list and its own entry in it before it serves
// clients regardless. It leaves room for an election and for a lease to expire.
func (c *Config) StartupWait() int64 { return 2 * c.MaxDivergence() }

// DefaultConfig gives a maximum divergence of three seconds: a voter can restart within it, and with one gateway
// unavailable a change is in force within the time that an operator waits for.
func DefaultConfig() Config {
	return Config{Lease: 2500e6, ClockError: 250e6, EffectDelay: 250e6, PageSize: 512}
}

// Validate returns an error for the first invalid value.
func (c *Config) Validate() error {
	switch {
	case c.Self == 0:
		return errors.New("agreement: self is not set")
	case c.Lease < 100e6:
		return errors.New("agreement: lease is shorter than 100ms")
	case c.ClockError <= 0 || c.EffectDelay <= 0:
		return errors.New("agreement: clock_error and turn must be above 0")
	case c.PageSize < 64 || c.PageSize > 512:
		return errors.New("agreement: page must be from 64 to 512 bytes")
	}
	return nil
}

// Kind is the type of a message.
type Kind uint8

const (
	Raft           Kind = iota + 1 // Data is a Raft message
	Heartbeat                      // leader to voter: SentAt; Echo and Epoch of the last promise received; Remaining time it may grant; Revision it must know
	Promise                        // voter to leader: Echo of the heartbeat; SentAt and Epoch; KnownRevision of all gateways that it granted leases
	Renew                          // gateway to voter: SentAt and Epoch; KnownRevision that it holds
	Grant                          // response to Renew: Echo and Epoch, Remaining, and Revision with Digest and Size of the latest state
	Fetch                          // request for the page at Offset of the text with Digest
	Page                           // response to Fetch: Data is the page
	Propose                        // Data is a proposal
	Result                         // Data is the outcome of a proposal
	SurveyRequest                  // request of a survey to a voter
	SurveyResponse                 // response to SurveyRequest: Echo of the request, Digest and Size of the text
)

// Message is sent from one gateway to another. The transport authenticates From. Messages may be lost, delayed or
// duplicated.
type Message struct {
	Kind           Kind
	From, To       ID
	Term           uint64
	Epoch          uint64
	SentAt, Echo   int64
	Remaining      int64
	Revision       uint64
	KnownRevision  uint64
	HealthyVersion uint64 // Renew: latest version tried and found healthy here; Promise: latest that is healthy at every gateway that tries one
	Digest         Digest
	Size           int
	Offset         int
	Data           []byte
}

// DecisionKind is what the host has to do.
type DecisionKind uint8

const (
	Send    DecisionKind = iota // send Message
	Save                        // persist Records, replacing all former ones if ReplaceAll; then call Saved
	Prepare                     // prepare to act on Pending; then call Adopt
	Answer                      // Result is the outcome of Propose number ProposalNo
	Wake                        // run another round After this many nanoseconds
	Log                         // log Text
)

// Decision is one action for the host.
type Decision struct {
	Kind       DecisionKind
	Message    Message
	Records    [][]byte
	ReplaceAll bool
	ProposalNo uint64
	Result     Outcome
	After      int64
	Text       string
}

// Agreement is the state of one gateway.
type Agreement struct {
	config         Config
	now            int64
	rng            *rand.Rand
	decisions      []Decision
	loopback       []Message // messages to itself
	wakeAt         int64
	voter          *voter // nil if this gateway does not vote
	holder         holder
	texts          texts
	pending        []*pendingProposal
	lastProposalNo uint64
	awaitingText   []Message // proposals whose text is being fetched
	survey         survey
}

// New restores a gateway from its saved records. A gateway that does not vote, or never did, has none.
func New(config Config, records [][]byte) (*Agreement, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	a := &Agreement{config: config, rng: rand.New(rand.NewPCG(config.Seed, uint64(config.Self))), lastProposalNo: config.Epoch}
	a.texts.a, a.holder.a = a, a
	a.texts.held = map[Digest][]byte{}
	a.holder.voters = config.Seeds
	if len(records) > 0 {
		v, err := restoreVoter(a, records)
		if err != nil {
			return nil, err
		}
		a.voter = v
	}
	return a, nil
}

// Bootstrap starts a new fleet with this gateway as its only voter. An operator calls for it once in the life of a
// fleet; a start must not, as a gateway that lost its disk would create a second fleet beside the first.
func (a *Agreement) Bootstrap(self Gateway) error {
	if a.voter != nil {
		return errors.New("this gateway is already a voter")
	}
	self.ID, self.Vote = a.config.Self, true
	v, err := bootstrapVoter(a, self)
	if err == nil {
		a.voter = v
	}
	return err
}

// Clock starts a round at the given time.
func (a *Agreement) Clock(now int64) {
	if a.now == 0 && a.voter != nil {
		a.voter.initTimers(now)
	}
	a.now = now
}

// Receive handles a message.
func (a *Agreement) Receive(m Message) {
	if m.From == 0 || m.To != a.config.Self {
		return
	}
	switch m.Kind {
	case Grant:
		a.holder.handleGrant(&m)
	case Fetch:
		a.texts.handleFetch(&m)
	case Page:
		a.texts.handlePage(&m)
	case Propose:
		a.handlePropose(&m)
	case Result:
		a.handleResult(m.Data)
	case Raft:
		a.handleRaft(&m)
	case SurveyResponse:
		a.handleSurveyResponse(&m)
	case Heartbeat, Promise, Renew, SurveyRequest:
		if a.voter == nil {
			return
		}
		switch m.Kind {
		case Heartbeat:
			a.voter.handleHeartbeat(&m)
		case Promise:
			a.voter.handlePromise(&m)
		case Renew:
			a.voter.handleRenew(&m)
		case SurveyRequest:
			a.voter.handleSurvey(&m)
		}
	}
}

// Saved reports that the records of the last Save are on the disk.
func (a *Agreement) Saved() {
	if a.voter != nil {
		a.voter.saved()
	}
}

// Next returns the next decision of this round; ok is false if none is left.
func (a *Agreement) Next() (Decision, bool) {
	for {
		for len(a.loopback) > 0 {
			m := a.loopback[0]
			a.loopback = a.loopback[1:]
			a.Receive(m)
		}
		if a.voter != nil {
			a.voter.round()
		}
		a.holder.round()
		a.survey.round(a)
		a.texts.round()
		a.retryPending()
		a.resumeProposals()
		if len(a.loopback) > 0 {
			continue
		}
		if len(a.decisions) > 0 {
			d := a.decisions[0]
			a.decisions = a.decisions[1:]
			return d, true
		}
		if at := max(a.nextDeadline(), a.now+1e6); a.wakeAt <= a.now || at < a.wakeAt {
			a.wakeAt = at
			return Decision{Kind: Wake, After: at - a.now}, true
		}
		return Decision{}, false
	}
}

// nextDeadline is when the next round is needed.
func (a *Agreement) nextDeadline() int64 {
	at := min(a.holder.nextDeadline(), a.texts.nextDeadline())
	if a.voter != nil {
		at = min(at, a.voter.nextDeadline())
	}
	if len(a.pending) > 0 {
		at = min(at, a.pending[0].retryAt, a.pending[0].until)
	}
	return at
}

func (a *Agreement) send(m Message) {
	m.From = a.config.Self
	if m.To == a.config.Self {
		a.loopback = append(a.loopback, m)
		return
	}
	a.decisions = append(a.decisions, Decision{Kind: Send, Message: m})
}

func (a *Agreement) log(format string, args ...any) {
	a.decisions = append(a.decisions, Decision{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// jitter returns a random duration below limit.
func (a *Agreement) jitter(limit int64) int64 { return int64(a.rng.Float64() * float64(limit)) }
