package agreement

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Digest names a text by what it says (SHA-256).
type Digest [sha256.Size]byte

// DigestOf is that of a text.
func DigestOf(text []byte) Digest { return sha256.Sum256(text) }

// String is its beginning, as it is shown.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// MarshalText and UnmarshalText are for JSON.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText reads what MarshalText wrote.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("a digest has %d hexadecimal digits", 2*len(d))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Sizes of what is kept. Sources: ours.
const (
	maxHistory          = 32      // versions of a subject that can be shown and brought back
	maxPartialTexts     = 4       // texts of which not all has come
	maxRecentChanges    = 2048    // changes of the list of gateways that are told without the others
	maxUnlistedOutcomes = 256     // answers to gateways that are not in the list any more
	MaxTextSize         = 1 << 18 // bytes of a text
)

// Version is one text of a subject that was agreed on.
type Version struct {
	Subject        string   `json:"subject"`
	No             uint64   `json:"no"`
	Predecessor    uint64   `json:"predecessor"`
	Digest         Digest   `json:"digest"`
	Size           int      `json:"size"`
	FormatVersion  int      `json:"form"` // of the text; a build reads forms up to its own
	Who            string   `json:"who"`
	At             int64    `json:"at"` // Unix nanoseconds by the clock of who proposed it
	Why            string   `json:"why,omitempty"`
	Conflicts      []string `json:"clashes,omitempty"` // why it must not be in force beside its predecessor; none: it may
	Reverts        uint64   `json:"undoes,omitempty"`
	Watch          int64    `json:"watch,omitempty"` // nanoseconds for which gateways watch their health by it
	CanaryFraction float64  `json:"share,omitempty"` // of the gateways that get it before all do, after its asker alone; 0 is all at once
	Proposer       ID       `json:"asker,omitempty"`
	Dropped        string   `json:"dropped,omitempty"` // why it never came in force at all
}

// Gateway is an entry of the list of gateways.
type Gateway struct {
	ID            ID     `json:"id"`
	Name          string `json:"name"`
	Address       string `json:"address"`
	Zone          string `json:"zone,omitempty"`
	Build         string `json:"build,omitempty"`
	FormatVersion int    `json:"form"` // the latest that it reads
	Vote          bool   `json:"vote,omitempty"`
	Number        int    `json:"place"`            // its number, which no other gateway has or had
	ListedAt      uint64 `json:"since"`            // the stamp at which it came into the list
	KnownToAll    bool   `json:"seated,omitempty"` // whoever may act knows of it: Since is within SeatedTo
}

// Subject is what is agreed on under one name.
type Subject struct {
	Name     string    `json:"name"`
	Versions []Version `json:"versions"` // the latest last
	InForce  uint64    `json:"in_force"` // 0 is none yet
	Next     uint64    `json:"next,omitempty"`
	Step     int       `json:"step,omitempty"` // of Next, if some try it: see Standing
	Changed  uint64    `json:"changed"`        // the stamp of its last change
}

// Version gives one of its versions, nil where it is not kept any more.
func (s *Subject) Version(no uint64) *Version {
	if i := slices.IndexFunc(s.Versions, func(v Version) bool { return v.No == no }); i >= 0 {
		return &s.Versions[i]
	}
	return nil
}

// Outcome is what became of something that was asked for.
type Outcome struct {
	Done    bool   `json:"done"`
	Version uint64 `json:"version,omitempty"` // that it has
	Why     string `json:"why,omitempty"`     // it was refused
	Wait    bool   `json:"wait,omitempty"`    // for now: the same can be asked for again
}

// Wish is what a gateway asks to be agreed on: one of its parts.
type Proposal struct {
	Version     *Version     `json:"version,omitempty"` // its No is given when it is agreed on
	Join        *Gateway     `json:"join,omitempty"`
	Leave       ID           `json:"leave,omitempty"`
	Ended       bool         `json:"ended,omitempty"` // who leaves serves nobody any more: its process is known to have ended
	VoterChange *VoterChange `json:"vote,omitempty"`
	Abort       *Abort       `json:"drop,omitempty"`
}

// Dropping ends the steps of a version: who tries it goes back to the one in force.
type Abort struct {
	Subject string `json:"subject"`
	No      uint64 `json:"no"`
	Why     string `json:"why"`
}

// Voting makes a gateway a voter, or one no more.
type VoterChange struct {
	ID      ID   `json:"id"`
	Enabled bool `json:"on"`
}

// proposal is a wish of a gateway, with a number by which it is known when it comes again.
type proposalRecord struct {
	Origin   ID       `json:"origin"`
	No       uint64   `json:"no"`
	Proposal Proposal `json:"wish"`
}

// entry is one of the log: a part of a text, a wish, that a version comes in force, or who is in the list.
type entry struct {
	Part       *textPart       `json:"part,omitempty"`
	Proposal   *proposalRecord `json:"wish,omitempty"`
	Advance    *stepAdvance    `json:"open,omitempty"`
	ListUpdate *listUpdate     `json:"list,omitempty"`
}

// listing changes the list for many at once: a list that changes with each of a thousand that join is never held by all.
type listUpdate struct {
	Admit      bool   `json:"admit,omitempty"` // who has asked to join is in it
	KnownToAll uint64 `json:"seat,omitempty"`  // whoever may act knows of who came up to this stamp
}

type textPart struct {
	Digest Digest `json:"d"`
	Size   int    `json:"s"`
	Offset int    `json:"o"`
	Data   []byte `json:"b"`
}

type stepAdvance struct {
	Subject string `json:"subject"`
	No      uint64 `json:"no"`
	Step    int    `json:"step,omitempty"` // to which it goes; 0 is that it is in force at all
}

// partial is a text in the log of which more parts are to come.
type partial struct {
	Digest Digest `json:"digest"`
	Text   []byte `json:"text"` // as far as it came
	Size   int    `json:"size"`
}

// listChange is that a gateway came into the list, or that it left.
type listChange struct {
	Revision uint64   `json:"stamp"`
	In       *Gateway `json:"in,omitempty"`
	Out      ID       `json:"out,omitempty"`
}

// answered is the last outcome of a gateway's wishes.
type lastOutcome struct {
	Origin  ID      `json:"origin"`
	No      uint64  `json:"no"`
	Outcome Outcome `json:"outcome"`
}

// Book is what is agreed on. It is the same at each voter that has applied the same part of the log.
type State struct {
	Revision       uint64            `json:"stamp"` // of its last change: the number of that entry
	Subjects       []Subject         `json:"subjects"`
	Gateways       []Gateway         `json:"gateways"`
	Departed       []Gateway         `json:"ghosts,omitempty"` // that left, and may serve somebody yet
	LastEnded      uint64            `json:"ended,omitempty"`  // the stamp at which one was last known to have ended
	NextNumber     int               `json:"places"`           // that were given
	Texts          map[string][]byte `json:"texts"`            // of versions that are kept, by digest in hexadecimal
	Recent         []listChange      `json:"recent,omitempty"` // changes of the list after Since
	RecentSince    uint64            `json:"since,omitempty"`
	Partial        []partial         `json:"partial,omitempty"`
	Outcomes       []lastOutcome     `json:"answers,omitempty"`
	Joining        []proposalRecord  `json:"joining,omitempty"` // until they are admitted
	KnownToAllUpTo uint64            `json:"seated_to"`
}

func newState() *State { return &State{Texts: map[string][]byte{}} }

// Subject gives one by its name, nil if nothing was agreed on under it.
func (b *State) Subject(name string) *Subject {
	if i := slices.IndexFunc(b.Subjects, func(s Subject) bool { return s.Name == name }); i >= 0 {
		return &b.Subjects[i]
	}
	return nil
}

// Gateway gives an entry of the list, nil where it has none.
func (b *State) Gateway(id ID) *Gateway {
	if i := slices.IndexFunc(b.Gateways, func(g Gateway) bool { return g.ID == id }); i >= 0 {
		return &b.Gateways[i]
	}
	return nil
}

func (b *State) text(d Digest) []byte { return b.Texts[hex.EncodeToString(d[:])] }

// answer gives what became of a wish, if the log has it.
func (b *State) outcome(origin ID, no uint64) (Outcome, bool) {
	for _, x := range b.Outcomes {
		if x.Origin == origin && x.No == no {
			return x.Outcome, true
		}
	}
	return Outcome{}, false
}

// apply carries out an entry. All voters come to the same, so it depends on nothing else. It tells whether it is a wish
// that has to wait.
func (b *State) apply(index uint64, e *entry) (waits bool) {
	switch {
	case e.Part != nil:
		b.addPart(e.Part)
	case e.Advance != nil:
		switch s := b.Subject(e.Advance.Subject); {
		case s == nil || s.Next != e.Advance.No:
		case e.Advance.Step > s.Step:
			s.Step, s.Changed, b.Revision = e.Advance.Step, index, index
		case e.Advance.Step == 0:
			s.InForce, s.Next, s.Step, s.Changed, b.Revision = s.Next, 0, 0, index, index
		}
	case e.ListUpdate != nil:
		if e.ListUpdate.Admit {
			b.admit(index)
		}
		if e.ListUpdate.KnownToAll > b.KnownToAllUpTo {
			b.KnownToAllUpTo, b.Revision = e.ListUpdate.KnownToAll, index
			markKnownToAll(b.Gateways, b.KnownToAllUpTo)
		}
	case e.Proposal != nil:
		if slices.ContainsFunc(b.Outcomes, func(x lastOutcome) bool { return x.Origin == e.Proposal.Origin && x.No >= e.Proposal.No }) {
			return false // it came twice, or so late that its gateway has gone on to others
		}
		if e.Proposal.Proposal.Join != nil {
			b.Joining = slices.DeleteFunc(b.Joining, func(x proposalRecord) bool { return x.Origin == e.Proposal.Origin && x.No <= e.Proposal.No })
			b.Joining = append(b.Joining, *e.Proposal)
			return false
		}
		out := b.applyProposal(index, &e.Proposal.Proposal)
		if out.Wait {
			return true
		}
		b.recordOutcome(e.Proposal, out)
		b.pruneOutcomes()
	}
	return false
}

// admit puts all into the list that have asked for it since the last time.
func (b *State) admit(index uint64) {
	for i := range b.Joining {
		w := &b.Joining[i]
		b.join(index, *w.Proposal.Join)
		b.recordOutcome(w, Outcome{Done: true})
		b.Revision = index
	}
	b.Joining = nil
	b.pruneOutcomes()
}

// seat marks those of a list that came up to a stamp.
func markKnownToAll(list []Gateway, to uint64) {
	for i := range list {
		list[i].KnownToAll = list[i].ListedAt <= to
	}
}

func (b *State) recordOutcome(w *proposalRecord, o Outcome) {
	b.Outcomes = slices.DeleteFunc(b.Outcomes, func(x lastOutcome) bool { return x.Origin == w.Origin })
	b.Outcomes = append(b.Outcomes, lastOutcome{w.Origin, w.No, o})
}

// forgetAnswers drops the oldest answers to gateways that are not in the list. The latest stay: one that was taken out while
// its wish was under way asks again, and was told that it is refused for want of its answer, though it was done (seed 888).
func (b *State) pruneOutcomes() {
	if len(b.Outcomes) <= maxUnlistedOutcomes {
		return
	}
	listed := map[ID]bool{}
	for i := range b.Gateways {
		listed[b.Gateways[i].ID] = true
	}
	away := 0
	for i := len(b.Outcomes) - 1; i >= 0; i-- {
		if listed[b.Outcomes[i].Origin] {
			continue
		}
		if away++; away > maxUnlistedOutcomes {
			b.Outcomes = slices.Delete(b.Outcomes, i, i+1)
		}
	}
}

func (b *State) addPart(p *textPart) {
	i := slices.IndexFunc(b.Partial, func(x partial) bool { return x.Digest == p.Digest })
	if i < 0 {
		if len(b.Partial) == maxPartialTexts {
			b.Partial = b.Partial[1:]
		}
		b.Partial = append(b.Partial, partial{Digest: p.Digest, Size: p.Size})
		i = len(b.Partial) - 1
	}
	if x := &b.Partial[i]; p.Offset == len(x.Text) {
		x.Text = append(x.Text, p.Data...)
	}
}

// grantWish does what is asked for, or says why not.
func (b *State) applyProposal(index uint64, w *Proposal) Outcome {
	switch {
	case w.Version != nil:
		return b.addVersion(index, *w.Version)
	case w.Leave != 0:
		switch g := b.Gateway(w.Leave); {
		case g == nil && w.Ended && b.markEnded(index, func(x *Gateway) bool { return x.ID == w.Leave }):
		case g == nil:
			return Outcome{Why: "no such gateway is in the list"}
		case g.Vote && b.countOtherVoters(g.ID) == 0:
			return Outcome{Why: "it is the last voter"}
		default:
			b.remove(index, w.Leave, w.Ended)
		}
	case w.VoterChange != nil:
		g := b.Gateway(w.VoterChange.ID)
		if g == nil {
			return Outcome{Why: "no such gateway is in the list"}
		}
		if !w.VoterChange.Enabled && b.countOtherVoters(g.ID) == 0 {
			return Outcome{Why: "it is the last voter"}
		}
		voting := *g
		voting.Vote = w.VoterChange.Enabled
		b.upsertGateway(index, voting)
	case w.Abort != nil:
		s := b.Subject(w.Abort.Subject)
		if s == nil || s.Next != w.Abort.No || s.Step == 0 {
			return Outcome{Why: "it is not tried by steps, or no longer"}
		}
		s.Version(s.Next).Dropped = w.Abort.Why
		s.Next, s.Step, s.Changed = 0, 0, index
	default:
		return Outcome{Why: "nothing was asked for"}
	}
	b.Revision = index
	return Outcome{Done: true}
}

// list puts a gateway into the list, or in the place of its entry.
func (b *State) upsertGateway(index uint64, g Gateway) {
	b.Gateways = slices.DeleteFunc(b.Gateways, func(x Gateway) bool { return x.ID == g.ID })
	i, _ := slices.BinarySearchFunc(b.Gateways, g, byName)
	b.Gateways = slices.Insert(b.Gateways, i, g)
	b.recordChange(listChange{Revision: index, In: &g})
}

// join puts a gateway into the list, or back into it. Its number is its own for good: what others hold of it goes by that.
func (b *State) join(index uint64, g Gateway) {
	g.Vote, g.KnownToAll, g.ListedAt = false, false, index
	old := b.Gateway(g.ID)
	if i := slices.IndexFunc(b.Departed, func(x Gateway) bool { return x.ID == g.ID }); old == nil && i >= 0 {
		g.Number = b.Departed[i].Number
		b.Departed = slices.Delete(b.Departed, i, i+1)
	} else if old != nil {
		g.Vote, g.Number, g.ListedAt, g.KnownToAll = old.Vote, old.Number, old.ListedAt, old.KnownToAll
	} else {
		g.Number = b.NextNumber
		b.NextNumber++
	}
	// Who comes back under its name in another life takes the place of the former one, but for its vote. Where it has the
	// address too the former one has ended, as an address is held by one process at a time.
	same := func(x *Gateway) bool { return x.Name == g.Name && x.Address == g.Address && x.ID != g.ID }
	for _, x := range slices.Clone(b.Gateways) {
		if x.Name == g.Name && x.ID != g.ID {
			b.remove(index, x.ID, same(&x))
		}
	}
	b.markEnded(index, same)
	b.upsertGateway(index, g)
}

// ends notes that gateways which had left have ended.
func (b *State) markEnded(index uint64, which func(*Gateway) bool) bool {
	before := len(b.Departed)
	b.Departed = slices.DeleteFunc(b.Departed, func(x Gateway) bool { return which(&x) })
	if len(b.Departed) == before {
		return false
	}
	b.LastEnded = index
	return true
}

// remove takes a gateway out of the list. Unless it has ended it is a ghost: it may be cut off from all that vote and go
// on to serve, so others ask it for what it noted until it has ended.
func (b *State) remove(index uint64, id ID, ended bool) {
	if g := b.Gateway(id); ended {
		b.LastEnded = index
	} else if g != nil {
		ghost := *g
		ghost.Vote, ghost.KnownToAll = false, false
		b.Departed = append(b.Departed, ghost)
		slices.SortFunc(b.Departed, func(x, y Gateway) int { return x.Number - y.Number })
	}
	b.Gateways = slices.DeleteFunc(b.Gateways, func(x Gateway) bool { return x.ID == id })
	b.recordChange(listChange{Revision: index, Out: id})
}

func (b *State) recordChange(c listChange) {
	if b.Recent = append(b.Recent, c); len(b.Recent) > maxRecentChanges { // by quarters, as it is moved
		b.RecentSince = b.Recent[maxRecentChanges/4].Revision
		b.Recent = slices.Clone(b.Recent[maxRecentChanges/4+1:])
	}
}

func byName(x, y Gateway) int { return strings.Compare(x.Name, y.Name) }

func (b *State) countOtherVoters(than ID) (n int) {
	for _, x := range b.Gateways {
		if x.Vote && x.ID != than {
			n++
		}
	}
	return n
}

// addVersion is a compare-and-set: it follows the one that it names, or is refused with who was first.
func (b *State) addVersion(index uint64, v Version) Outcome {
	s := b.Subject(v.Subject)
	if s == nil {
		b.Subjects = append(b.Subjects, Subject{Name: v.Subject})
		slices.SortFunc(b.Subjects, func(x, y Subject) int { return strings.Compare(x.Name, y.Name) })
		s = b.Subject(v.Subject)
	}
	last := s.latest()
	if s.Next != 0 {
		n := s.Version(s.Next)
		return Outcome{Wait: true, Why: fmt.Sprintf("version %d of %s by %s is on its way", n.No, s.Name, n.Who)}
	}
	if v.Predecessor != last {
		if n := s.Version(last); n != nil {
			return Outcome{Why: fmt.Sprintf("it follows version %d, and %s put version %d (%s) in its place", v.Predecessor, n.Who, n.No, n.Digest)}
		}
		return Outcome{Why: fmt.Sprintf("it follows version %d, and there is none yet", v.Predecessor)}
	}
	var old []string
	for _, g := range b.Gateways {
		if g.FormatVersion < v.FormatVersion {
			old = append(old, g.Name)
		}
	}
	if len(old) > 0 {
		return Outcome{Why: fmt.Sprintf("its form %d is later than the builds read of %s", v.FormatVersion, strings.Join(old, ", "))}
	}
	if text := b.takeText(v.Digest); text == nil {
		return Outcome{Wait: true, Why: "its text is not in the log"}
	} else {
		b.Texts[hex.EncodeToString(v.Digest[:])] = text
	}
	v.No = last + 1
	s.Versions = append(s.Versions, v)
	switch s.Changed, b.Revision = index, index; {
	case len(v.Conflicts) > 0:
		s.Next = v.No
	case v.CanaryFraction > 0:
		s.Next, s.Step = v.No, stepProposer
	default:
		s.InForce = v.No
	}
	if len(s.Versions) > maxHistory {
		s.Versions = slices.Delete(s.Versions, 0, len(s.Versions)-maxHistory)
	}
	b.pruneTexts()
	return Outcome{Done: true, Version: v.No}
}

// take gives a text that is whole in the log and takes it out of those that come.
func (b *State) takeText(d Digest) []byte {
	if t := b.text(d); t != nil {
		return t
	}
	i := slices.IndexFunc(b.Partial, func(x partial) bool { return x.Digest == d })
	if i < 0 || len(b.Partial[i].Text) != b.Partial[i].Size || DigestOf(b.Partial[i].Text) != d {
		return nil
	}
	text := append([]byte{}, b.Partial[i].Text...)
	b.Partial = slices.Delete(b.Partial, i, i+1)
	return text
}

// has tells whether a text needs no more parts.
func (b *State) hasText(d Digest) bool {
	if b.text(d) != nil {
		return true
	}
	i := slices.IndexFunc(b.Partial, func(x partial) bool { return x.Digest == d })
	return i >= 0 && len(b.Partial[i].Text) == b.Partial[i].Size
}

func (b *State) pruneTexts() {
	used := map[string]bool{}
	for _, s := range b.Subjects {
		for _, v := range s.Versions {
			used[hex.EncodeToString(v.Digest[:])] = true
		}
	}
	for d := range b.Texts {
		if !used[d] {
			delete(b.Texts, d)
		}
	}
}

// Steps of a version that does not contradict its predecessor: its asker tries it, then a share of the gateways.
const (
	stepProposer = iota + 1
	stepCanary
)

// Standing is a subject as gateways hold it: what is in force, and what comes next. Where that is tried by steps, those of
// the step act on it and the others on what is in force; else both bind until it is in force.
type SubjectStatus struct {
	Name    string   `json:"name"`
	InForce *Version `json:"in_force,omitempty"`
	Next    *Version `json:"next,omitempty"`
	Step    int      `json:"step,omitempty"`
	Last    uint64   `json:"last"` // version that the next one follows
}

// Tries tells whether a gateway is of the step in which a version is tried. Shares are by IDs, which are by chance.
func (s *SubjectStatus) InCanary(id ID) bool {
	if s.Step == 0 || s.Next == nil {
		return false
	}
	return s.Next.Proposer == id || s.Step == stepCanary && float64(uint64(id)*0x9e3779b97f4a7c15>>11)/(1<<53) < s.Next.CanaryFraction
}

func (s *Subject) status() SubjectStatus {
	return SubjectStatus{s.Name, s.Version(s.InForce), s.Version(s.Next), s.Step, s.latest()}
}

func (s *Subject) latest() uint64 {
	if n := len(s.Versions); n > 0 {
		return s.Versions[n-1].No
	}
	return 0
}

// Manifest is what a gateway holds of what is agreed on, beside the texts.
type Manifest struct {
	Revision       uint64          `json:"stamp"`
	Base           uint64          `json:"base,omitempty"` // on its way: it has only what changed after that
	Subjects       []SubjectStatus `json:"subjects"`
	Gateways       []Gateway       `json:"gateways"`
	Left           []ID            `json:"left,omitempty"`
	Departed       []Gateway       `json:"ghosts,omitempty"` // that left, and may serve somebody yet
	LastEnded      uint64          `json:"ended,omitempty"`  // the stamp at which one was last known to have ended
	KnownToAllUpTo uint64          `json:"seated_to"`        // whoever may act knows of who came up to this stamp
}

// Sizes of manifests on their way. Sources: ours.
const (
	minPackedSize   = 4096    // bytes from which one is packed: a list of thousands is alike in most
	maxUnpackedSize = 1 << 24 // bytes that one may come to
	packedMarker    = 1       // its first byte; a text begins otherwise
)

// pack words a manifest for its way.
func (m *Manifest) pack() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // it holds nothing that has no JSON
	}
	if len(text) < minPackedSize {
		return text
	}
	var out bytes.Buffer
	out.WriteByte(packedMarker)
	w, _ := flate.NewWriter(&out, flate.BestSpeed) // the level is valid, and a buffer takes all
	_, _ = w.Write(text)
	_ = w.Close()
	return out.Bytes()
}

// unpack reads what pack worded.
func (m *Manifest) unpack(text []byte) error {
	if len(text) > 0 && text[0] == packedMarker {
		var err error
		if text, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(text[1:])), maxUnpackedSize)); err != nil {
			return err
		}
	}
	return json.Unmarshal(text, m)
}

// manifest gives what is new to who holds that of a stamp: in a fleet of thousands the list is long, its changes are not.
func (b *State) manifest(known uint64) []byte {
	m := Manifest{Revision: b.Revision, Departed: b.Departed, LastEnded: b.LastEnded, KnownToAllUpTo: b.KnownToAllUpTo}
	for i := range b.Subjects {
		m.Subjects = append(m.Subjects, b.Subjects[i].status())
	}
	if known > 0 && known >= b.RecentSince {
		m.Base = known
		for _, c := range b.Recent {
			switch {
			case c.Revision <= known:
			case c.In != nil:
				m.Gateways = append(m.Gateways, *c.In)
			default:
				m.Gateways = slices.DeleteFunc(m.Gateways, func(x Gateway) bool { return x.ID == c.Out })
				m.Left = append(m.Left, c.Out)
			}
		}
	} else {
		m.Gateways = b.Gateways
	}
	return m.pack()
}

// onto completes a manifest that has only what changed; ok is false where it follows another one.
func (m *Manifest) completeFrom(before *Manifest) (ok bool) {
	if m.Base == 0 {
		return true
	}
	if m.Base != before.Revision {
		return false
	}
	all := map[ID]Gateway{}
	for _, g := range before.Gateways {
		all[g.ID] = g
	}
	for _, id := range m.Left {
		delete(all, id)
	}
	for _, g := range m.Gateways {
		all[g.ID] = g
	}
	m.Gateways = slices.SortedFunc(maps.Values(all), byName)
	markKnownToAll(m.Gateways, m.KnownToAllUpTo)
	m.Base, m.Left = 0, nil
	return true
}
