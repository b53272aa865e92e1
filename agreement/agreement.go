// Package agreement decides what gateways of a fleet agree on: texts of settings and lists, in versions that follow one
// another, and until when each gateway may act on what it knows of them. Three, five or seven gateways vote; all hold
// leases that a voter grants. It runs without input or output, clock or chance of its own.
//
// How it is called: New once; then, for each round, Clock with the time, then any of Heard, Saved and Ask, which only
// update what is known; then Next until it says there is no more. Leased and Held tell at any time what a txn may be
// decided by. docs/agreement.md has the argument.
//
// agreement.go has the interface, voter.go the log and who leads, leases.go who may act until when, book.go what is
// agreed on, holder.go what a gateway holds of it, texts.go how texts get from one to another.
package agreement

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// ID is a gateway in one of its lives: one that lost its disk has another. 0 is none.
type ID uint64

// Terms are what all gateways of a fleet have alike, but for Self, Seed and Seeds. Times are nanoseconds.
type Config struct {
	Self        ID
	Epoch       uint64 // another and a later one at each start
	Seed        uint64
	Lease       int64 // for which a gateway acts on what it knows without a word of a voter
	ClockError  int64 // by which two clocks differ at most over a lease
	EffectDelay int64 // from the moment that a gateway decides to the moment that this has its effect, at most
	PageSize    int   // bytes of a text in one message
	Seeds       []ID  // who is asked first for what is agreed on
}

// Stated is the time for which two gateways may act on rules that contradict each other, at most.
func (t *Config) MaxDivergence() int64 { return t.Lease + t.ClockError + t.EffectDelay }

// Settling is how long a gateway that starts waits for the list and for a place in it before clients may come all the same: an
// election and a lease that runs out fit in.
func (t *Config) StartupWait() int64 { return 2 * t.MaxDivergence() }

// UsualTerms are those of who does not say: three seconds in all. Ours: a restart of a voter fits in, and a change in a
// fleet with one gateway away is in force within what an operator waits for.
func DefaultConfig() Config {
	return Config{Lease: 2500e6, ClockError: 250e6, EffectDelay: 250e6, PageSize: 512}
}

// Check names the first value that is wrong.
func (t *Config) Validate() error {
	switch {
	case t.Self == 0:
		return errors.New("agreement: self is lacking")
	case t.Lease < 100e6:
		return errors.New("agreement: lease is shorter than 100ms")
	case t.ClockError <= 0 || t.EffectDelay <= 0:
		return errors.New("agreement: clock_error and turn are above 0")
	case t.PageSize < 64 || t.PageSize > 512:
		return errors.New("agreement: page is from 64 to 512 bytes")
	}
	return nil
}

// Kind is what a message is.
type Kind uint8

const (
	Raft           Kind = iota + 1 // Data is of the log's protocol
	Heartbeat                      // of the leader to a voter: No is when, Echo and Run of the promise it has, Left how long it may grant, Stamp what it must know
	Promise                        // of a voter to its leader: Echo its beat, No and Run when, Known what all know to whom it grants
	Renew                          // of a gateway to a voter: No and Run are when, Known what it holds
	Grant                          // the answer: Echo and Run, Left, and Stamp with Digest and Size of what is agreed on now
	Fetch                          // a question for what stands from Offset on in the text of Digest
	Page                           // Data is that
	Propose                        // Data is a proposal
	Result                         // Data is what became of one
	SurveyRequest                  // a question of a survey to a voter
	SurveyResponse                 // the answer: Echo is the question, Digest and Size of its text
)

// Message is what one gateway tells another. Whoever carries it vouches for From. It may be lost, late or come twice.
type Message struct {
	Kind           Kind
	From, To       ID
	Term           uint64
	Epoch          uint64
	SentAt, Echo   int64
	Remaining      int64
	Revision       uint64
	KnownRevision  uint64
	HealthyVersion uint64 // in a Renew the latest version that was tried here and is well, in a Promise the latest that is with all that try one
	Digest         Digest
	Size           int
	Offset         int
	Data           []byte
}

// DecisionKind is what the host is to do.
type DecisionKind uint8

const (
	Send    DecisionKind = iota // Message
	Save                        // Records are to be on the disk, in the place of all former ones if Whole; then Saved is called
	Prepare                     // Coming tells what is to be acted on; once the host does, it calls Adopt
	Answer                      // of Ask number No: Result
	Wake                        // one more round After so many nanoseconds
	Log
)

// Decision is one thing for the host to do.
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

// Agreement is one gateway's part.
type Agreement struct {
	config         Config
	now            int64
	rng            *rand.Rand
	decisions      []Decision
	loopback       []Message // to itself
	wakeAt         int64
	voter          *voter // nil where it does not vote
	holder         holder
	texts          texts
	pending        []*pendingProposal
	lastProposalNo uint64
	awaitingText   []Message // wishes whose text is being fetched
	survey         survey
}

// New makes one of what was saved, nothing for a gateway that does not vote or never did.
func New(t Config, records [][]byte) (*Agreement, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	a := &Agreement{config: t, rng: rand.New(rand.NewPCG(t.Seed, uint64(t.Self))), lastProposalNo: t.Epoch}
	a.texts.a, a.holder.a = a, a
	a.texts.held = map[Digest][]byte{}
	a.holder.voters = t.Seeds
	if len(records) > 0 {
		v, err := restoreVoter(a, records)
		if err != nil {
			return nil, err
		}
		a.voter = v
	}
	return a, nil
}

// Found begins a fleet with this gateway as its one voter. It is asked for once in a fleet's life, and not by a start:
// a gateway that lost its disk would found a second one beside the first.
func (a *Agreement) Bootstrap(self Gateway) error {
	if a.voter != nil {
		return errors.New("this gateway votes already")
	}
	self.ID, self.Vote = a.config.Self, true
	v, err := bootstrapVoter(a, self)
	if err == nil {
		a.voter = v
	}
	return err
}

// Clock begins a round.
func (a *Agreement) Clock(now int64) {
	if a.now == 0 && a.voter != nil {
		a.voter.initTimers(now)
	}
	a.now = now
}

// Heard takes a message.
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

// Saved tells that the records of the last Save are on the disk.
func (a *Agreement) Saved() {
	if a.voter != nil {
		a.voter.saved()
	}
}

// Next gives one decision of this round, or says that there is none left.
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

// due is when the next round is needed.
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

func (a *Agreement) log(format string, x ...any) {
	a.decisions = append(a.decisions, Decision{Kind: Log, Text: fmt.Sprintf(format, x...)})
}

// chance is a time by chance, up to a span.
func (a *Agreement) jitter(span int64) int64 { return int64(a.rng.Float64() * float64(span)) }
