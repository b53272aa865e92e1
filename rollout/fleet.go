package rollout

import (
	"fmt"
	"hash/fnv"
	"slices"
)

// Fleet spreads a change over gateways: first to the one that was asked, then to a share, then to all. Each watches it by
// its own Rollout and holds it, once it is well, until the first says what becomes of it: kept by all or undone by all.
// The first is said to lead. A gateway that leads for its own change takes none of others meanwhile.
//
// It is called as Rollout is. What is said between gateways may be lost, come twice or late: the first repeats what it
// wants of each, and every answer says all that the other knows.
type Fleet struct {
	terms  FleetTerms
	now    int64
	rounds uint64
	lead   *lead
	follow *follow
	out    []FleetDecision
	wakeAt int64
}

// FleetTerms say how a change is spread.
type FleetTerms struct {
	Self, Fleet int     // this gateway's number, and how many there are
	Share       float64 // of the others that get a change before all do
	GoOn        bool    // without gateways that can't be reached; else they hold a change back
	Epoch       int64   // another at each start of the gateway: it tells its attempts apart
	Silence     int64   // after which a gateway counts as out of reach, and a held change is undone for want of its leader
}

// UsualShare is that of who does not say. Ours: with it a step more than one gateway, and most still as before.
const UsualShare = 0.25

// UsualSilence is that of who does not say. Ours: longer than any restart of a gateway that leaves in order.
const UsualSilence = int64(10e9)

// Spans and sizes of a spread. Sources: ours.
const (
	beat         = 200e6  // what is wanted of a gateway is repeated
	pageWait     = 50e6   // pages that did not come are asked for again
	pagesAtOnce  = 32     // that are asked for at a time
	PageSize     = 160    // bytes: a datagram between gateways holds it
	MostText     = 262144 // of a change that is spread
	LongestWords = 160    // of a reason that goes between gateways
)

// Want is what the leader wants of another gateway.
type Want uint8

const (
	ToTake Want = iota + 1 // fetch the change, check it, apply it, watch it
	ToHold                 // what it has is to stay as it is
	ToKeep                 // keep it, whatever its watch says
	ToUndo
)

// Offer is what a leader says again and again of its change.
type Offer struct {
	Round       uint64 // of this attempt; all else that is said of it names it by that
	Digest, Sum uint64 // of the change, and of its text
	Want        Want
	Again       bool
	Size        int
	Watch       int64
}

// Standing is how a gateway stands to a change.
type Standing uint8

const (
	Lacking  Standing = iota // it does not have it
	Fetching                 // the text comes
	Waiting                  // it is checked or staged
	Trying                   // it is in force and watched
	Well                     // its watch is over and it is held
	Kept
	Undone
	Refused // it did not pass the checks, or another one is under way
)

// String words it.
func (s Standing) String() string {
	return [...]string{"lacking", "fetching", "waiting", "watched", "well", "kept", "undone", "refused"}[s]
}

// FleetKind is what the host is to do.
type FleetKind uint8

const (
	SendOffer  FleetKind = iota // Offer to gateway To
	SendFetch                   // ask gateway To for the text from Offset on
	SendPage                    // Text is what stands there
	SendReport                  // tell gateway To how this one stands to it, and why
	Take                        // check Text and propose it, held
	KeepHeld                    // the Rollout's change of Digest is to be kept
	UndoHeld                    // or undone, or not begun
	Told                        // all have been told the end of the change that was spread from here
	FleetWake
	FleetLog
)

// FleetDecision is one thing for the host to do.
type FleetDecision struct {
	Kind     FleetKind
	To       int
	Offer    Offer
	Round    uint64 // in what is sent
	Digest   uint64 // in what is done here
	Offset   int
	Text     []byte
	Standing Standing
	Words    string
	After    int64
}

// lead is a change that this gateway spreads.
type lead struct {
	offer  Offer
	text   []byte
	step   int // 0 is here, 1 a share, 2 all
	here   Standing
	why    string
	over   Want // ToKeep or ToUndo once that is settled
	told   bool // and all have heard it
	others []other
	nextAt int64
}

// other is a gateway as its leader knows it.
type other struct {
	standing Standing
	step     int // with which it gets the change
	askedAt  int64
	heardAt  int64 // of its last answer, or when it was first asked
	why      string
	away     bool // as logged
}

// follow is a change that another gateway leads.
type follow struct {
	leader   int
	offer    Offer
	text     []byte
	got      []bool
	missing  int
	askedAt  int64
	heardAt  int64
	standing Standing
	why      string
	alone    bool // undone for want of its leader
}

// NewFleet makes one.
func NewFleet(t FleetTerms) *Fleet { return &Fleet{terms: t} }

// Clock begins a round.
func (f *Fleet) Clock(now int64) { f.now = now }

// Lead has this gateway spread a change that is proposed here, held. It refuses while another one is under way.
func (f *Fleet) Lead(c Change, text []byte) error {
	switch {
	case len(text) > MostText:
		return fmt.Errorf("the change has %d bytes, and %d can be spread: apply it at each gateway", len(text), MostText)
	case f.lead != nil && f.lead.over == 0:
		return fmt.Errorf("this gateway spreads a change already: keep or undo that first")
	case f.follows():
		return fmt.Errorf("gateway %d spreads a change: keep or undo that there first", f.follow.leader)
	}
	f.rounds++
	l := &lead{text: text, here: Waiting, nextAt: f.now,
		offer: Offer{Round: uint64(f.terms.Epoch) + f.rounds, Digest: c.Digest, Sum: sumOf(text), Again: c.Again, Size: len(text), Watch: c.Watch}}
	share := max(1, int(f.terms.Share*float64(f.terms.Fleet-1)+0.5))
	for i := range f.terms.Fleet { // the share is those behind this one, so that it is not always the same
		o := other{step: 1}
		if (i-f.terms.Self+f.terms.Fleet)%f.terms.Fleet > share {
			o.step = 2
		}
		l.others = append(l.others, o)
	}
	f.lead, f.follow = l, nil
	return nil
}

// Resume has a gateway that came back go on to tell a change that it led and kept, and of which not all had heard.
func (f *Fleet) Resume(digest uint64, text []byte) error {
	if err := f.Lead(Change{Digest: digest, Again: true}, text); err != nil {
		return err
	}
	f.lead.here, f.lead.over, f.lead.step = Kept, ToKeep, 2
	return nil
}

func sumOf(text []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(text)
	return h.Sum64()
}

func (f *Fleet) follows() bool {
	return f.follow != nil && f.follow.standing >= Fetching && f.follow.standing <= Well
}

// Busy gives the digest of the change whose standing here is to be told, 0 for none.
func (f *Fleet) Busy() uint64 {
	switch {
	case f.lead != nil && (f.lead.over == 0 || f.lead.over == ToKeep && f.lead.here != Kept):
		return f.lead.offer.Digest
	case f.follow != nil && f.follow.standing >= Waiting && f.follow.standing <= Well:
		return f.follow.offer.Digest
	}
	return 0
}

// Stands tells how this gateway's Rollout stands to a change, and why if that is its end.
func (f *Fleet) Stands(digest uint64, s Standing, why string) {
	if l := f.lead; l != nil && l.offer.Digest == digest && s != Lacking {
		if l.here = s; l.over == 0 {
			l.why = why
		}
	}
	if w := f.follow; w != nil && w.offer.Digest == digest && s != Lacking && w.standing != s && w.standing != Refused {
		w.standing, w.why = s, why
		f.report()
	}
}

// Refuse tells that a change which was to be taken did not pass the checks, or was not begun.
func (f *Fleet) Refuse(digest uint64, why string) {
	if w := f.follow; w != nil && w.offer.Digest == digest {
		w.standing, w.why, w.text = Refused, why, nil
		f.report()
	}
	if l := f.lead; l != nil && l.offer.Digest == digest && l.over == 0 {
		f.settle(ToUndo, why)
	}
}

// Offered takes what a leader says. inForce tells that this gateway keeps that very change already.
func (f *Fleet) Offered(from int, o Offer, inForce bool) {
	w := f.follow
	if o.Want == ToKeep && inForce {
		f.answer(from, o.Round, Kept, "")
		return
	}
	if w == nil || w.offer.Round != o.Round || w.leader != from {
		switch {
		case f.lead != nil && f.lead.over == 0:
			f.answer(from, o.Round, Refused, fmt.Sprintf("gateway %d spreads a change of its own", f.terms.Self))
			return
		case f.follows():
			f.answer(from, o.Round, Refused, fmt.Sprintf("gateway %d has one of gateway %d under way", f.terms.Self, w.leader))
			return
		case o.Want == ToHold || o.Want == ToUndo:
			f.answer(from, o.Round, Undone, "it is not there any more")
			return
		case o.Size < 0 || o.Size > MostText:
			f.answer(from, o.Round, Refused, "its text is too long")
			return
		}
		f.begin(from, o)
	}
	w = f.follow
	w.heardAt = f.now
	switch {
	case o.Want == ToKeep && w.standing == Undone && w.alone: // kept by the others while none was heard of here
		f.begin(from, o)
	case o.Want == ToKeep && (w.standing == Trying || w.standing == Well):
		f.out = append(f.out, FleetDecision{Kind: KeepHeld, Digest: o.Digest})
	case o.Want == ToUndo && w.standing == Fetching:
		w.standing, w.why, w.text = Undone, "the leader undid it", nil
	case o.Want == ToUndo && w.standing < Kept:
		f.out = append(f.out, FleetDecision{Kind: UndoHeld, Digest: o.Digest})
	}
	f.report()
}

func (f *Fleet) begin(from int, o Offer) {
	if o.Want == ToKeep { // the others watched it
		o.Watch, o.Again = 0, true
	}
	pages := (o.Size + PageSize - 1) / PageSize
	f.follow = &follow{leader: from, offer: o, text: make([]byte, o.Size), got: make([]bool, pages), missing: pages,
		heardAt: f.now, askedAt: f.now - pageWait, standing: Fetching}
	f.log("change of gateway %d: %d bytes are fetched", from, o.Size)
}

// Fetched takes a question for a part of the text.
func (f *Fleet) Fetched(from int, round uint64, offset int) {
	l := f.lead
	if l == nil || l.offer.Round != round || offset < 0 || offset >= len(l.text) {
		return
	}
	f.out = append(f.out, FleetDecision{Kind: SendPage, To: from, Round: round, Offset: offset,
		Text: l.text[offset:min(offset+PageSize, len(l.text))]})
}

// Page takes a part of the text.
func (f *Fleet) Page(from int, round uint64, offset int, text []byte) {
	w := f.follow
	if w == nil || w.standing != Fetching || w.leader != from || w.offer.Round != round || offset%PageSize != 0 ||
		offset < 0 || offset >= len(w.text) || len(text) != min(PageSize, len(w.text)-offset) || w.got[offset/PageSize] {
		return
	}
	copy(w.text[offset:], text)
	w.got[offset/PageSize] = true
	if w.missing--; w.missing%pagesAtOnce == 0 {
		w.askedAt = f.now - pageWait // the next ones at once
	}
}

// Reported takes how another gateway stands to the change that is spread from here.
func (f *Fleet) Reported(from int, round uint64, s Standing, why string) {
	l := f.lead
	if l == nil || l.offer.Round != round || from < 0 || from >= len(l.others) || s > Refused {
		return
	}
	o := &l.others[from]
	o.standing, o.heardAt, o.why = s, f.now, why
	if o.away {
		o.away = false
		f.log("gateway %d answers again: %s", from, s)
	}
}

// settle ends a spread, here and for all.
func (f *Fleet) settle(w Want, why string) {
	l := f.lead
	l.over, l.why, l.nextAt = w, why, f.now
	for i := range l.others {
		l.others[i].askedAt = 0
	}
	if w == ToKeep {
		l.step = 2
		f.out = append(f.out, FleetDecision{Kind: KeepHeld, Digest: l.offer.Digest})
		f.log("change of %d gateways: kept by all", f.terms.Fleet)
		return
	}
	f.out = append(f.out, FleetDecision{Kind: UndoHeld, Digest: l.offer.Digest, Words: why})
	f.log("change of %d gateways: undone by all, %s", f.terms.Fleet, why)
}

// Next gives one decision of this round, or says that there is none left.
func (f *Fleet) Next() (FleetDecision, bool) {
	f.leads()
	f.fetches()
	if len(f.out) > 0 {
		d := f.out[0]
		f.out = f.out[1:]
		return d, true
	}
	if at := f.due(); at > 0 && (f.wakeAt <= f.now || at < f.wakeAt) {
		f.wakeAt = at
		return FleetDecision{Kind: FleetWake, After: max(1e6, at-f.now)}, true
	}
	return FleetDecision{}, false
}

// leads moves a spread on: to the next step once all of this one are well, to its end once all are or one is not.
func (f *Fleet) leads() {
	l := f.lead
	if l == nil {
		return
	}
	if l.over == 0 {
		switch l.here {
		case Undone, Refused:
			f.settle(ToUndo, fmt.Sprintf("gateway %d: %s", f.terms.Self, l.why))
		case Well:
			f.advance()
		case Kept: // by hand, whatever the others found so far
			f.settle(ToKeep, l.why)
		}
	}
	if l.over == ToKeep && l.here == Undone {
		f.settle(ToUndo, fmt.Sprintf("gateway %d: it could not be kept", f.terms.Self))
	}
	if l.telling() {
		f.offers()
	}
	if l.over == 0 || l.told || !l.telling() {
		return
	}
	for i := range l.others {
		if i != f.terms.Self && !l.settled(&l.others[i]) {
			return
		}
	}
	l.told = true
	f.out = append(f.out, FleetDecision{Kind: Told, Digest: l.offer.Digest})
}

func (f *Fleet) advance() {
	l := f.lead
	for {
		for i := range l.others {
			o := &l.others[i]
			if i == f.terms.Self || o.step > l.step {
				continue
			}
			switch {
			case o.standing == Undone || o.standing == Refused:
				f.settle(ToUndo, fmt.Sprintf("gateway %d: %s", i, o.why))
				return
			case o.standing == Well || o.standing == Kept:
			case o.heardAt == 0 || !f.terms.GoOn || f.now-o.heardAt < f.terms.Silence:
				return
			}
		}
		if l.step == 2 {
			f.settle(ToKeep, "")
			return
		}
		l.step++
		f.log("change goes to step %d of 2", l.step)
	}
}

// offers repeats what is wanted of each gateway until it stands there.
func (f *Fleet) offers() {
	l := f.lead
	for i := range l.others {
		o := &l.others[i]
		if i == f.terms.Self || o.step > l.step || o.askedAt > 0 && f.now-o.askedAt < beat || l.settled(o) {
			continue
		}
		if o.heardAt == 0 {
			o.heardAt = f.now
		}
		if !o.away && f.now-o.heardAt >= f.terms.Silence {
			o.away = true
			if f.terms.GoOn || l.over != 0 {
				f.log("gateway %d can't be reached, the change goes on without it", i)
			} else {
				f.log("gateway %d can't be reached, the change is held back", i)
			}
		}
		o.askedAt = f.now
		offer := l.offer
		switch {
		case l.over != 0:
			offer.Want = l.over
		case o.standing == Lacking:
			offer.Want = ToTake
		default:
			offer.Want = ToHold
		}
		f.out = append(f.out, FleetDecision{Kind: SendOffer, To: i, Offer: offer})
	}
}

// telling: others are told of the change; that it is kept not before this one cannot fall back behind it.
func (l *lead) telling() bool {
	return l.over == 0 && l.step > 0 || l.over == ToUndo || l.over == ToKeep && l.here == Kept
}

// settled tells that nothing more is to be said to a gateway: it has ended the change, or never had it.
func (l *lead) settled(o *other) bool {
	switch l.over {
	case ToKeep:
		return o.standing == Kept || o.standing == Refused || o.standing == Undone && o.why != withoutLeader
	case ToUndo:
		return o.standing == Kept || o.standing == Refused || o.standing == Undone || o.heardAt == 0
	}
	return false
}

// withoutLeader is why a change was undone that no leader was heard of any more.
const withoutLeader = "its leader was not heard of"

// fetches asks for what is missing of a change, and gives up one whose leader is silent.
func (f *Fleet) fetches() {
	w := f.follow
	if !f.follows() {
		return
	}
	if f.now-w.heardAt >= f.terms.Silence {
		w.alone = true
		f.log("change of gateway %d: undone, %s", w.leader, withoutLeader)
		if w.standing != Fetching {
			f.out = append(f.out, FleetDecision{Kind: UndoHeld, Digest: w.offer.Digest, Words: withoutLeader})
		}
		w.standing, w.why, w.text = Undone, withoutLeader, nil
		return
	}
	if w.standing != Fetching {
		return
	}
	if w.missing == 0 {
		text := w.text
		if w.text = nil; sumOf(text) != w.offer.Sum {
			f.Refuse(w.offer.Digest, "its text came spoilt")
			return
		}
		w.standing = Waiting
		f.out = append(f.out, FleetDecision{Kind: Take, Digest: w.offer.Digest, Text: text, Offer: w.offer})
		return
	}
	if f.now-w.askedAt < pageWait {
		return
	}
	w.askedAt = f.now
	n := 0
	for at := slices.Index(w.got, false); at >= 0 && at < len(w.got) && n < pagesAtOnce; at++ {
		if !w.got[at] {
			f.out = append(f.out, FleetDecision{Kind: SendFetch, To: w.leader, Round: w.offer.Round, Offset: at * PageSize})
			n++
		}
	}
}

func (f *Fleet) report() {
	f.answer(f.follow.leader, f.follow.offer.Round, f.follow.standing, f.follow.why)
}

func (f *Fleet) answer(to int, round uint64, s Standing, why string) {
	f.out = append(f.out, FleetDecision{Kind: SendReport, To: to, Round: round, Standing: s, Words: why[:min(len(why), LongestWords)]})
}

func (f *Fleet) log(format string, a ...any) {
	f.out = append(f.out, FleetDecision{Kind: FleetLog, Words: fmt.Sprintf(format, a...)})
}

// due is when the next round is needed, 0 for never.
func (f *Fleet) due() int64 {
	var at int64
	if w := f.follow; f.follows() {
		at = w.heardAt + f.terms.Silence
		if w.standing == Fetching {
			at = min(at, w.askedAt+pageWait)
		}
	}
	if l := f.lead; l != nil && l.telling() {
		for i := range l.others {
			o := &l.others[i]
			if i != f.terms.Self && o.step <= l.step && !l.settled(o) && (at == 0 || o.askedAt+beat < at) {
				at = o.askedAt + beat
			}
		}
	}
	return at
}

// FleetStatus is how a spread stands, as its leader knows it, or as one that follows does.
type FleetStatus struct {
	Leader    int
	Digest    uint64
	Step      int
	Over      bool
	Standings []Standing // by gateway, where it leads
	Reasons   []string
}

// Status tells it; ok is false where there was no spread.
func (f *Fleet) Status() (s FleetStatus, ok bool) {
	switch {
	case f.lead != nil:
		l := f.lead
		s = FleetStatus{Leader: f.terms.Self, Digest: l.offer.Digest, Step: l.step, Over: l.over != 0}
		for i := range l.others {
			standing, why := l.others[i].standing, l.others[i].why
			if i == f.terms.Self {
				standing, why = l.here, l.why
			}
			s.Standings, s.Reasons = append(s.Standings, standing), append(s.Reasons, why)
		}
	case f.follow != nil:
		s = FleetStatus{Leader: f.follow.leader, Digest: f.follow.offer.Digest, Over: !f.follows()}
	default:
		return s, false
	}
	return s, true
}
