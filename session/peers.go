package session

import "slices"

// peer is what is known of another gateway. Its notes up to a number are held here, or were forgotten into floors, or
// lie under the fences that were asked for after the last loss.
type peer struct {
	known    bool // an answer to a question of this run, or the state of the last, told its epoch
	epoch    uint64
	upto     uint64
	silent   bool // the last question to all was not answered in time
	askedAt  int64
	heardAt  int64
	asked    [4]asked // latest questions
	askedNo  int
	silentAt int64
	retry    int64 // after which one that is silent is asked again, longer each time
}

// asked is a question under way.
type asked struct {
	no uint64
	at int64
}

// notes are what this gateway noted, the latest of which can be told again.
type notes struct {
	last   uint64
	ring   []noted // the last of which has the number last
	pushed uint64  // numbers that were told unasked, or are too old to be
}

type noted struct {
	Entry
	at int64
}

func (s *Sessions) append(e Entry) {
	if e.Kind == CommitEntry && !s.terms.DynamicMembership && s.terms.FleetSize > 1 && !s.asksAll() { // nobody asks for it, by no list
		s.changed(Change{Kind: EntryReceived, Entry: e})
		return
	}
	n := &s.notes
	n.last++
	s.changed(Change{Kind: EntryRecorded, Sequence: n.last, Entry: e})
	if s.terms.FleetSize == 1 && !s.terms.DynamicMembership {
		return
	}
	n.ring = append(n.ring, noted{e, s.now})
	n.trim()
}

func (n *notes) trim() {
	if len(n.ring) >= 2*ringSize {
		n.ring = append([]noted(nil), n.ring[len(n.ring)-ringSize:]...)
	}
}

// page is the notes from a number on, as many as fit.
func (s *Sessions) page(from uint64) Page {
	n := &s.notes
	p := Page{Epoch: s.epoch, Last: n.last, First: from}
	for no := from; no <= n.last && len(p.Entries) < pageSize; no++ {
		x := n.ring[len(n.ring)-1-int(n.last-no)]
		e := x.Entry
		e.Age = s.now - x.at
		p.Entries = append(p.Entries, e)
	}
	return p
}

// HandleRequest takes a peer's question for what was noted here after a number of an epoch.
func (s *Sessions) HandleRequest(from int, no, epoch, upto uint64) {
	if !s.isPeer(from) {
		return
	}
	n := &s.notes
	lacks := n.last - upto
	// What it lacks is too much, or gone, or it knows of another run: it is told the last number alone, which it
	// takes as a loss.
	if epoch != s.epoch || upto > n.last || lacks > catchUp*pageSize || lacks > uint64(len(n.ring)) {
		s.tell(from, no, Page{Epoch: s.epoch, Last: n.last, First: n.last + 1})
		return
	}
	for paid := true; ; paid = false { // the first answer by who asked
		p := s.page(upto + 1)
		s.tell(from, no, p)
		if !paid {
			s.credit--
		}
		if upto += uint64(len(p.Entries)); upto >= n.last {
			return
		}
	}
}

func (s *Sessions) tell(to int, no uint64, p Page) {
	s.stats.PagesSent++
	s.out = append(s.out, Decision{Kind: SendEntries, Peer: to, RequestID: no, Page: p})
}

func (s *Sessions) ask(to int) {
	p := &s.peers[to]
	s.nonce++
	p.askedAt = s.now
	p.asked[p.askedNo%len(p.asked)] = asked{s.nonce, s.now}
	p.askedNo++
	s.stats.EntryRequests++
	s.credit -= 2
	s.out = append(s.out, Decision{Kind: RequestEntries, Peer: to, RequestID: s.nonce, Page: Page{Epoch: p.epoch, Last: p.upto}})
}

func (s *Sessions) isPeer(i int) bool {
	_, ok := slices.BinarySearch(s.others, i)
	return ok
}

// HandlePage takes a page of a peer, the answer to a question or, with 0, unasked. Pages may come late, twice, in any order
// or never.
func (s *Sessions) HandlePage(from int, no uint64, page Page) {
	if !s.isPeer(from) {
		return
	}
	p := &s.peers[from]
	since := int64(-1) // when the question went out, which the page answers
	for _, a := range p.asked {
		if no != 0 && a.no == no {
			since = a.at
		}
	}
	switch {
	case p.known && p.epoch == page.Epoch:
	case since >= 0:
		s.adopt(from, page)
	default: // only an answer to a question of this run tells which run of its gateway goes on
		for i := range page.Entries {
			if e := &page.Entries[i]; e.Kind == KeyedWriteEntry { // true of any run
				s.learn(e, max(0, e.Age), since)
			}
		}
		return
	}
	p.heardAt = s.now
	for i := range page.Entries {
		e := &page.Entries[i]
		// The question went out before the page was made: what is that old was noted this long ago at least.
		s.learn(e, max(0, e.Age), since)
	}
	if end := page.First + uint64(len(page.Entries)); page.First <= p.upto+1 && end > p.upto+1 {
		p.upto = end - 1
		s.changed(Change{Kind: PeerCaughtUp, Peer: from, Epoch: p.epoch, Sequence: p.upto})
	}
	if since < 0 {
		return
	}
	if len(page.Entries) == 0 && page.First > p.upto+1 { // a stretch of it is not to be had
		s.adopt(from, page)
	}
	if p.silent {
		p.silent = false
		s.log("gateway %d answers again after %d ms, notes held to %d of %d", from, (s.now-p.silentAt)/1e6,
			p.upto, page.Last)
	}
	s.roundHeard(from, no, p.upto >= page.Last)
}

// adopt takes a peer's notes as they stand: what it noted before is not held here, and lies under the fences that
// are asked for from now on.
func (s *Sessions) adopt(from int, page Page) {
	p := &s.peers[from]
	if p.known {
		s.log("gateway %d: notes lost from %d to %d, each group is fenced once", from, p.upto, page.Last)
	}
	p.known, p.epoch, p.upto = true, page.Epoch, page.Last
	s.lose()
	s.changed(Change{Kind: PeerCaughtUp, Peer: from, Epoch: p.epoch, Sequence: p.upto})
}

// learn takes what a peer noted. since is when the question for it went out, negative for none.
func (s *Sessions) learn(e *Entry, age, since int64) {
	s.changed(Change{Kind: EntryReceived, Entry: *e})
	switch e.Kind {
	case CommitEntry:
		s.note(e.Group, e.Key, e.Position)
	case KeyedWriteEntry:
		first := s.now - age
		if since >= 0 {
			first = since - age
		}
		s.keys.note(e.Group, e.Key, first, s.now)
	}
}

// push tells all peers what was noted, where the budget allows it. Nothing depends on it: it saves questions later.
func (s *Sessions) push() {
	n := &s.notes
	if len(s.others) == 0 || s.terms.Source == SourceLocal || n.pushed == n.last {
		return
	}
	n.pushed = max(n.pushed, n.last-uint64(len(n.ring)))
	if s.terms.DynamicMembership && !s.asksAll() {
		s.pushSent()
		return
	}
	for n.pushed < n.last {
		oldest := n.ring[len(n.ring)-int(n.last-n.pushed)]
		full := n.last-n.pushed >= pageSize
		if s.now-oldest.at < pushAfter && !full || s.credit < float64(len(s.others)) {
			return
		}
		p := s.page(n.pushed + 1)
		for _, i := range s.others {
			s.credit--
			s.tell(i, 0, p)
		}
		n.pushed += uint64(len(p.Entries))
	}
}

// pushSent tells all peers of keyed writes alone: by this list nobody asks for marks, and who asks by another one gets
// them then.
func (s *Sessions) pushSent() {
	n := &s.notes
	p := Page{Epoch: s.epoch, Last: n.last, First: outOfOrder}
	oldest := int64(0)
	upto := n.pushed
	for ; upto < n.last && len(p.Entries) < pageSize; upto++ {
		x := n.ring[len(n.ring)-int(n.last-upto)]
		if x.Kind != KeyedWriteEntry {
			continue
		}
		if len(p.Entries) == 0 {
			oldest = x.at
		}
		e := x.Entry
		e.Age = s.now - x.at
		p.Entries = append(p.Entries, e)
	}
	if len(p.Entries) > 0 && (s.now-oldest < pushAfter && len(p.Entries) < pageSize || s.credit < float64(len(s.others))) {
		return
	}
	if n.pushed = upto; len(p.Entries) == 0 {
		return
	}
	for _, i := range s.others {
		s.credit--
		s.tell(i, 0, p)
	}
}

// keepAlive asks peers that were not asked for a while: that tells who is there, and fills gaps.
func (s *Sessions) keepAlive() {
	if !s.asksAll() {
		return
	}
	for _, i := range s.others {
		if p := &s.peers[i]; s.now-p.askedAt >= s.keepalive(p) && s.credit >= 2 {
			p.retry *= 2
			s.ask(i)
		}
	}
}

// keepalive is how often a peer is asked. It grows with the fleet, so that what it costs a gateway does not.
func (s *Sessions) keepalive(p *peer) int64 {
	span := max(s.terms.KeepaliveInterval, int64(float64(4*s.size())/idleRate*1e9))
	if p.silent {
		return min(span, p.retry)
	}
	return span
}
