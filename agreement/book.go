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

// Digest identifies a text by its SHA-256 hash.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest { return sha256.Sum256(text) }

// String returns the first 12 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("a digest has %d hexadecimal digits", 2*len(d))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Limits of the replicated state.
const (
	maxHistory          = 32      // versions of a subject that can be shown and restored
	maxPartialTexts     = 4       // texts that are not complete yet
	maxRecentChanges    = 2048    // membership changes that can be sent as a delta
	maxUnlistedOutcomes = 256     // outcomes kept for gateways that are not in the list any more
	MaxTextSize         = 1 << 18 // bytes
)

// Version is one agreed text of a subject.
type Version struct {
	Subject        string   `json:"subject"`
	No             uint64   `json:"no"`
	Predecessor    uint64   `json:"predecessor"`
	Digest         Digest   `json:"digest"`
	Size           int      `json:"size"`
	FormatVersion  int      `json:"form"` // format of the text; a build reads formats up to its own
	Author         string   `json:"who"`
	ProposedAt     int64    `json:"at"` // Unix nanoseconds by the proposer's clock
	Reason         string   `json:"why,omitempty"`
	Conflicts      []string `json:"clashes,omitempty"` // reasons why it must not be in force beside its predecessor; empty if it may
	Reverts        uint64   `json:"undoes,omitempty"`
	WatchDuration  int64    `json:"watch,omitempty"` // nanoseconds for which gateways watch their health after applying it
	CanaryFraction float64  `json:"share,omitempty"` // fraction of gateways that try it after its proposer and before all others; 0 is all at once
	Proposer       ID       `json:"asker,omitempty"`
	AbortReason    string   `json:"dropped,omitempty"` // why it was aborted before it came in force everywhere
}

// Gateway is an entry of the membership list.
type Gateway struct {
	ID            ID     `json:"id"`
	Name          string `json:"name"`
	Address       string `json:"address"`
	Zone          string `json:"zone,omitempty"`
	Build         string `json:"build,omitempty"`
	FormatVersion int    `json:"form"` // latest format that it reads
	Vote          bool   `json:"vote,omitempty"`
	Number        int    `json:"place"`            // unique, never reused
	ListedAt      uint64 `json:"since"`            // revision at which it was listed
	KnownToAll    bool   `json:"seated,omitempty"` // every gateway that may act knows of it: ListedAt is not after KnownToAllUpTo
}

// Subject is a named sequence of versions.
type Subject struct {
	Name      string    `json:"name"`
	Versions  []Version `json:"versions"` // oldest first
	InForce   uint64    `json:"in_force"` // 0 if none is
	Next      uint64    `json:"next,omitempty"`
	Step      int       `json:"step,omitempty"` // rollout step of Next, see SubjectStatus; 0 if it has no steps
	ChangedAt uint64    `json:"changed"`        // revision of its last change
}

// Version returns the version with a number, nil if it is not kept any more.
func (s *Subject) Version(no uint64) *Version {
	if i := slices.IndexFunc(s.Versions, func(v Version) bool { return v.No == no }); i >= 0 {
		return &s.Versions[i]
	}
	return nil
}

// Outcome is the result of a proposal.
type Outcome struct {
	Done    bool   `json:"done"`
	Version uint64 `json:"version,omitempty"` // number that the new version got
	Reason  string `json:"why,omitempty"`     // reason for the refusal
	Retry   bool   `json:"wait,omitempty"`    // refused for now; the same can be proposed again
}

// Proposal is a change that a gateway proposes; exactly one of its kinds is set.
type Proposal struct {
	Version      *Version     `json:"version,omitempty"` // No is assigned when it is accepted
	Join         *Gateway     `json:"join,omitempty"`
	Leave        ID           `json:"leave,omitempty"`
	ProcessEnded bool         `json:"ended,omitempty"` // the process of the leaving gateway is known to have ended, so it serves nobody
	VoterChange  *VoterChange `json:"vote,omitempty"`
	Abort        *Abort       `json:"drop,omitempty"`
}

// Abort ends the rollout steps of a version: gateways that try it return to the one in force.
type Abort struct {
	Subject string `json:"subject"`
	No      uint64 `json:"no"`
	Reason  string `json:"why"`
}

// VoterChange makes a gateway a voter or removes its vote.
type VoterChange struct {
	ID      ID   `json:"id"`
	Enabled bool `json:"on"`
}

// proposalRecord is a proposal with its origin and a number that identifies retries.
type proposalRecord struct {
	Origin   ID       `json:"origin"`
	No       uint64   `json:"no"`
	Proposal Proposal `json:"wish"`
}

// entry is a log entry; exactly one field is set.
type entry struct {
	Part       *textPart       `json:"part,omitempty"`
	Proposal   *proposalRecord `json:"wish,omitempty"`
	Advance    *stepAdvance    `json:"open,omitempty"`
	ListUpdate *listUpdate     `json:"list,omitempty"`
}

// listUpdate applies many membership changes at once: a list that changed with each of a thousand joins would never
// be held by all gateways.
type listUpdate struct {
	Admit      bool   `json:"admit,omitempty"` // add all gateways that have asked to join
	KnownToAll uint64 `json:"seat,omitempty"`  // all gateways that may act know the list up to this revision
}

// textPart is a part of a text, in a log entry.
type textPart struct {
	Digest Digest `json:"d"`
	Size   int    `json:"s"`
	Offset int    `json:"o"`
	Data   []byte `json:"b"`
}

// stepAdvance moves a version to its next rollout step or puts it in force.
type stepAdvance struct {
	Subject string `json:"subject"`
	No      uint64 `json:"no"`
	Step    int    `json:"step,omitempty"` // step to enter; 0 puts the version in force
}

// partialText is a text of which the log has only the first parts.
type partialText struct {
	Digest Digest `json:"digest"`
	Text   []byte `json:"text"` // received so far
	Size   int    `json:"size"`
}

// listChange records that a gateway was added to or removed from the list.
type listChange struct {
	Revision uint64   `json:"stamp"`
	Added    *Gateway `json:"in,omitempty"`
	Removed  ID       `json:"out,omitempty"`
}

// lastOutcome is the outcome of a gateway's latest proposal.
type lastOutcome struct {
	Origin  ID      `json:"origin"`
	No      uint64  `json:"no"`
	Outcome Outcome `json:"outcome"`
}

// State is the replicated state. It is identical at all voters that have applied the same prefix of the log.
type State struct {
	Revision       uint64            `json:"stamp"` // log index of the last change
	Subjects       []Subject         `json:"subjects"`
	Gateways       []Gateway         `json:"gateways"`
	Departed       []Gateway         `json:"ghosts,omitempty"` // left the list, may still serve clients
	LastEnded      uint64            `json:"ended,omitempty"`  // revision at which a departed gateway was last known to have ended
	NextNumber     int               `json:"places"`           // next Gateway.Number
	Texts          map[string][]byte `json:"texts"`            // of kept versions, by hexadecimal digest
	Recent         []listChange      `json:"recent,omitempty"` // membership changes after RecentSince
	RecentSince    uint64            `json:"since,omitempty"`
	Partial        []partialText     `json:"partial,omitempty"`
	Outcomes       []lastOutcome     `json:"answers,omitempty"`
	Joining        []proposalRecord  `json:"joining,omitempty"` // not admitted yet
	KnownToAllUpTo uint64            `json:"seated_to"`
}

func newState() *State { return &State{Texts: map[string][]byte{}} }

// Subject returns the subject with a name, nil if it has no version yet.
func (st *State) Subject(name string) *Subject {
	if i := slices.IndexFunc(st.Subjects, func(s Subject) bool { return s.Name == name }); i >= 0 {
		return &st.Subjects[i]
	}
	return nil
}

// Gateway returns the entry of a gateway, nil if it is not listed.
func (st *State) Gateway(id ID) *Gateway {
	if i := slices.IndexFunc(st.Gateways, func(g Gateway) bool { return g.ID == id }); i >= 0 {
		return &st.Gateways[i]
	}
	return nil
}

func (st *State) text(d Digest) []byte { return st.Texts[hex.EncodeToString(d[:])] }

// outcome returns the outcome of a proposal, if it has been applied.
func (st *State) outcome(origin ID, no uint64) (Outcome, bool) {
	for _, x := range st.Outcomes {
		if x.Origin == origin && x.No == no {
			return x.Outcome, true
		}
	}
	return Outcome{}, false
}

// apply applies a log entry. All voters must reach the same result, so it depends on nothing but the state and the
// entry. It reports whether the entry is a proposal that has to be retried.
func (st *State) apply(index uint64, e *entry) (retry bool) {
	switch {
	case e.Part != nil:
		st.addPart(e.Part)
	case e.Advance != nil:
		switch s := st.Subject(e.Advance.Subject); {
		case s == nil || s.Next != e.Advance.No:
		case e.Advance.Step > s.Step:
			s.Step, s.ChangedAt, st.Revision = e.Advance.Step, index, index
		case e.Advance.Step == 0:
			s.InForce, s.Next, s.Step, s.ChangedAt, st.Revision = s.Next, 0, 0, index, index
		}
	case e.ListUpdate != nil:
		if e.ListUpdate.Admit {
			st.admit(index)
		}
		if e.ListUpdate.KnownToAll > st.KnownToAllUpTo {
			st.KnownToAllUpTo, st.Revision = e.ListUpdate.KnownToAll, index
			markKnownToAll(st.Gateways, st.KnownToAllUpTo)
		}
	case e.Proposal != nil:
		if slices.ContainsFunc(st.Outcomes, func(x lastOutcome) bool { return x.Origin == e.Proposal.Origin && x.No >= e.Proposal.No }) {
			return false // a duplicate, or so late that its gateway has moved on to later proposals
		}
		if e.Proposal.Proposal.Join != nil {
			st.Joining = slices.DeleteFunc(st.Joining, func(x proposalRecord) bool { return x.Origin == e.Proposal.Origin && x.No <= e.Proposal.No })
			st.Joining = append(st.Joining, *e.Proposal)
			return false
		}
		o := st.applyProposal(index, &e.Proposal.Proposal)
		if o.Retry {
			return true
		}
		st.recordOutcome(e.Proposal, o)
		st.pruneOutcomes()
	}
	return false
}

// admit adds all gateways to the list that have asked to join since the last time.
func (st *State) admit(index uint64) {
	for i := range st.Joining {
		p := &st.Joining[i]
		st.join(index, *p.Proposal.Join)
		st.recordOutcome(p, Outcome{Done: true})
		st.Revision = index
	}
	st.Joining = nil
	st.pruneOutcomes()
}

// markKnownToAll sets KnownToAll on the entries listed up to a revision.
func markKnownToAll(gateways []Gateway, upTo uint64) {
	for i := range gateways {
		gateways[i].KnownToAll = gateways[i].ListedAt <= upTo
	}
}

func (st *State) recordOutcome(p *proposalRecord, o Outcome) {
	st.Outcomes = slices.DeleteFunc(st.Outcomes, func(x lastOutcome) bool { return x.Origin == p.Origin })
	st.Outcomes = append(st.Outcomes, lastOutcome{p.Origin, p.No, o})
}

// pruneOutcomes drops the oldest outcomes of gateways that are not listed. The latest are kept: a gateway that is
// removed while its proposal is under way proposes it again, and without the outcome it would be refused although it
// was done (seed 888).
func (st *State) pruneOutcomes() {
	if len(st.Outcomes) <= maxUnlistedOutcomes {
		return
	}
	listed := map[ID]bool{}
	for i := range st.Gateways {
		listed[st.Gateways[i].ID] = true
	}
	unlisted := 0
	for i := len(st.Outcomes) - 1; i >= 0; i-- {
		if listed[st.Outcomes[i].Origin] {
			continue
		}
		if unlisted++; unlisted > maxUnlistedOutcomes {
			st.Outcomes = slices.Delete(st.Outcomes, i, i+1)
		}
	}
}

func (st *State) addPart(p *textPart) {
	i := slices.IndexFunc(st.Partial, func(x partialText) bool { return x.Digest == p.Digest })
	if i < 0 {
		if len(st.Partial) == maxPartialTexts {
			st.Partial = st.Partial[1:]
		}
		st.Partial = append(st.Partial, partialText{Digest: p.Digest, Size: p.Size})
		i = len(st.Partial) - 1
	}
	if x := &st.Partial[i]; p.Offset == len(x.Text) {
		x.Text = append(x.Text, p.Data...)
	}
}

// applyProposal applies a proposal or returns why it is refused.
func (st *State) applyProposal(index uint64, p *Proposal) Outcome {
	switch {
	case p.Version != nil:
		return st.addVersion(index, *p.Version)
	case p.Leave != 0:
		switch g := st.Gateway(p.Leave); {
		case g == nil && p.ProcessEnded && st.markEnded(index, func(x *Gateway) bool { return x.ID == p.Leave }):
		case g == nil:
			return Outcome{Reason: "no such gateway is in the list"}
		case g.Vote && st.countOtherVoters(g.ID) == 0:
			return Outcome{Reason: "it is the last voter"}
		default:
			st.remove(index, p.Leave, p.ProcessEnded)
		}
	case p.VoterChange != nil:
		g := st.Gateway(p.VoterChange.ID)
		if g == nil {
			return Outcome{Reason: "no such gateway is in the list"}
		}
		if !p.VoterChange.Enabled && st.countOtherVoters(g.ID) == 0 {
			return Outcome{Reason: "it is the last voter"}
		}
		voting := *g
		voting.Vote = p.VoterChange.Enabled
		st.upsertGateway(index, voting)
	case p.Abort != nil:
		s := st.Subject(p.Abort.Subject)
		if s == nil || s.Next != p.Abort.No || s.Step == 0 {
			return Outcome{Reason: "it is not tried by steps, or no longer"}
		}
		s.Version(s.Next).AbortReason = p.Abort.Reason
		s.Next, s.Step, s.ChangedAt = 0, 0, index
	default:
		return Outcome{Reason: "nothing was asked for"}
	}
	st.Revision = index
	return Outcome{Done: true}
}

// upsertGateway adds an entry to the list or replaces it.
func (st *State) upsertGateway(index uint64, g Gateway) {
	st.Gateways = slices.DeleteFunc(st.Gateways, func(x Gateway) bool { return x.ID == g.ID })
	i, _ := slices.BinarySearchFunc(st.Gateways, g, byName)
	st.Gateways = slices.Insert(st.Gateways, i, g)
	st.recordChange(listChange{Revision: index, Added: &g})
}

// join adds a gateway to the list, or adds it again. It keeps its number for good, as other gateways refer to it by
// that.
func (st *State) join(index uint64, g Gateway) {
	g.Vote, g.KnownToAll, g.ListedAt = false, false, index
	old := st.Gateway(g.ID)
	if i := slices.IndexFunc(st.Departed, func(x Gateway) bool { return x.ID == g.ID }); old == nil && i >= 0 {
		g.Number = st.Departed[i].Number
		st.Departed = slices.Delete(st.Departed, i, i+1)
	} else if old != nil {
		g.Vote, g.Number, g.ListedAt, g.KnownToAll = old.Vote, old.Number, old.ListedAt, old.KnownToAll
	} else {
		g.Number = st.NextNumber
		st.NextNumber++
	}
	// A new incarnation replaces the former one of the same name, without its vote. If the address is the same too, the
	// former one has ended, as only one process at a time holds an address.
	sameProcess := func(x *Gateway) bool { return x.Name == g.Name && x.Address == g.Address && x.ID != g.ID }
	for _, x := range slices.Clone(st.Gateways) {
		if x.Name == g.Name && x.ID != g.ID {
			st.remove(index, x.ID, sameProcess(&x))
		}
	}
	st.markEnded(index, sameProcess)
	st.upsertGateway(index, g)
}

// markEnded removes departed gateways that are known to have ended. It reports whether there were any.
func (st *State) markEnded(index uint64, ended func(*Gateway) bool) bool {
	before := len(st.Departed)
	st.Departed = slices.DeleteFunc(st.Departed, func(x Gateway) bool { return ended(&x) })
	if len(st.Departed) == before {
		return false
	}
	st.LastEnded = index
	return true
}

// remove takes a gateway out of the list. Unless it has ended it is kept as departed: it may be cut off from all
// voters and still serve clients, so others ask it for its notes until it has ended.
func (st *State) remove(index uint64, id ID, ended bool) {
	if g := st.Gateway(id); ended {
		st.LastEnded = index
	} else if g != nil {
		departed := *g
		departed.Vote, departed.KnownToAll = false, false
		st.Departed = append(st.Departed, departed)
		slices.SortFunc(st.Departed, func(x, y Gateway) int { return x.Number - y.Number })
	}
	st.Gateways = slices.DeleteFunc(st.Gateways, func(x Gateway) bool { return x.ID == id })
	st.recordChange(listChange{Revision: index, Removed: id})
}

func (st *State) recordChange(c listChange) {
	if st.Recent = append(st.Recent, c); len(st.Recent) > maxRecentChanges { // drop a quarter at a time, as dropping copies the rest
		st.RecentSince = st.Recent[maxRecentChanges/4].Revision
		st.Recent = slices.Clone(st.Recent[maxRecentChanges/4+1:])
	}
}

func byName(x, y Gateway) int { return strings.Compare(x.Name, y.Name) }

func (st *State) countOtherVoters(id ID) (count int) {
	for _, x := range st.Gateways {
		if x.Vote && x.ID != id {
			count++
		}
	}
	return count
}

// addVersion is a compare-and-set: the version must follow the one that it names, else it is refused with the author
// of the one that came first.
func (st *State) addVersion(index uint64, v Version) Outcome {
	s := st.Subject(v.Subject)
	if s == nil {
		st.Subjects = append(st.Subjects, Subject{Name: v.Subject})
		slices.SortFunc(st.Subjects, func(x, y Subject) int { return strings.Compare(x.Name, y.Name) })
		s = st.Subject(v.Subject)
	}
	last := s.latest()
	if s.Next != 0 {
		conflicting := s.Version(s.Next)
		return Outcome{Retry: true, Reason: fmt.Sprintf("version %d of %s by %s is on its way", conflicting.No, s.Name, conflicting.Author)}
	}
	if v.Predecessor != last {
		if conflicting := s.Version(last); conflicting != nil {
			return Outcome{Reason: fmt.Sprintf("it follows version %d, and %s put version %d (%s) in its place", v.Predecessor, conflicting.Author, conflicting.No, conflicting.Digest)}
		}
		return Outcome{Reason: fmt.Sprintf("it follows version %d, and there is none yet", v.Predecessor)}
	}
	var outdated []string
	for _, g := range st.Gateways {
		if g.FormatVersion < v.FormatVersion {
			outdated = append(outdated, g.Name)
		}
	}
	if len(outdated) > 0 {
		return Outcome{Reason: fmt.Sprintf("its form %d is later than the builds read of %s", v.FormatVersion, strings.Join(outdated, ", "))}
	}
	if text := st.takeText(v.Digest); text == nil {
		return Outcome{Retry: true, Reason: "its text is not in the log"}
	} else {
		st.Texts[hex.EncodeToString(v.Digest[:])] = text
	}
	v.No = last + 1
	s.Versions = append(s.Versions, v)
	switch s.ChangedAt, st.Revision = index, index; {
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
	st.pruneTexts()
	return Outcome{Done: true, Version: v.No}
}

// takeText returns a text that is complete in the log and removes it from the partial ones.
func (st *State) takeText(d Digest) []byte {
	if t := st.text(d); t != nil {
		return t
	}
	i := slices.IndexFunc(st.Partial, func(x partialText) bool { return x.Digest == d })
	if i < 0 || len(st.Partial[i].Text) != st.Partial[i].Size || DigestOf(st.Partial[i].Text) != d {
		return nil
	}
	text := append([]byte{}, st.Partial[i].Text...)
	st.Partial = slices.Delete(st.Partial, i, i+1)
	return text
}

// hasText reports whether a text needs no more parts.
func (st *State) hasText(d Digest) bool {
	if st.text(d) != nil {
		return true
	}
	i := slices.IndexFunc(st.Partial, func(x partialText) bool { return x.Digest == d })
	return i >= 0 && len(st.Partial[i].Text) == st.Partial[i].Size
}

func (st *State) pruneTexts() {
	used := map[string]bool{}
	for _, s := range st.Subjects {
		for _, v := range s.Versions {
			used[hex.EncodeToString(v.Digest[:])] = true
		}
	}
	for d := range st.Texts {
		if !used[d] {
			delete(st.Texts, d)
		}
	}
}

// Rollout steps of a version that does not contradict its predecessor: first its proposer tries it, then a fraction
// of the gateways.
const (
	stepProposer = iota + 1
	stepCanary
)

// SubjectStatus is the state of a subject as gateways hold it: the version in force and the next one. If the next
// one is rolled out by steps, the gateways of the step act on it and all others on the one in force; else both are
// binding until it is in force.
type SubjectStatus struct {
	Name        string   `json:"name"`
	InForce     *Version `json:"in_force,omitempty"`
	Next        *Version `json:"next,omitempty"`
	Step        int      `json:"step,omitempty"`
	LastVersion uint64   `json:"last"` // version that the next one has to follow
}

// InCanary reports whether a gateway is among those that try the next version. IDs are random, so the fraction is
// taken by a hash of the ID.
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

// Manifest is a gateway's copy of the state, without the texts.
type Manifest struct {
	Revision       uint64          `json:"stamp"`
	Base           uint64          `json:"base,omitempty"` // set in a delta: revision that it is based on
	Subjects       []SubjectStatus `json:"subjects"`
	Gateways       []Gateway       `json:"gateways"`
	Removed        []ID            `json:"left,omitempty"`
	Departed       []Gateway       `json:"ghosts,omitempty"` // left the list, may still serve clients
	LastEnded      uint64          `json:"ended,omitempty"`  // revision at which a departed gateway was last known to have ended
	KnownToAllUpTo uint64          `json:"seated_to"`        // all gateways that may act know the list up to this revision
}

// Encoding of manifests in messages.
const (
	minPackedSize   = 4096    // bytes from which a manifest is compressed: a list of thousands is mostly repetitive
	maxUnpackedSize = 1 << 24 // bytes
	packedMarker    = 1       // first byte of a compressed manifest; JSON never begins with it
)

// pack encodes a manifest for sending.
func (m *Manifest) pack() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // the type has no value that JSON can't encode
	}
	if len(text) < minPackedSize {
		return text
	}
	var out bytes.Buffer
	out.WriteByte(packedMarker)
	w, _ := flate.NewWriter(&out, flate.BestSpeed) // the level is valid, and writing to a buffer does not fail
	_, _ = w.Write(text)
	_ = w.Close()
	return out.Bytes()
}

// unpack decodes the result of pack.
func (m *Manifest) unpack(text []byte) error {
	if len(text) > 0 && text[0] == packedMarker {
		var err error
		if text, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(text[1:])), maxUnpackedSize)); err != nil {
			return err
		}
	}
	return json.Unmarshal(text, m)
}

// manifest encodes the changes after a known revision: in a fleet of thousands the list is long, its changes are
// short.
func (st *State) manifest(known uint64) []byte {
	m := Manifest{Revision: st.Revision, Departed: st.Departed, LastEnded: st.LastEnded, KnownToAllUpTo: st.KnownToAllUpTo}
	for i := range st.Subjects {
		m.Subjects = append(m.Subjects, st.Subjects[i].status())
	}
	if known > 0 && known >= st.RecentSince {
		m.Base = known
		for _, change := range st.Recent {
			switch {
			case change.Revision <= known:
			case change.Added != nil:
				m.Gateways = append(m.Gateways, *change.Added)
			default:
				m.Gateways = slices.DeleteFunc(m.Gateways, func(x Gateway) bool { return x.ID == change.Removed })
				m.Removed = append(m.Removed, change.Removed)
			}
		}
	} else {
		m.Gateways = st.Gateways
	}
	return m.pack()
}

// completeFrom completes a delta with the manifest that it is based on. It returns false if that is another one.
func (m *Manifest) completeFrom(base *Manifest) (ok bool) {
	if m.Base == 0 {
		return true
	}
	if m.Base != base.Revision {
		return false
	}
	gateways := map[ID]Gateway{}
	for _, g := range base.Gateways {
		gateways[g.ID] = g
	}
	for _, id := range m.Removed {
		delete(gateways, id)
	}
	for _, g := range m.Gateways {
		gateways[g.ID] = g
	}
	m.Gateways = slices.SortedFunc(maps.Values(gateways), byName)
	markKnownToAll(m.Gateways, m.KnownToAllUpTo)
	m.Base, m.Removed = 0, nil
	return true
}
