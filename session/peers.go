package session

import "slices"

// peer is the state of another gateway. Its entries up to lastSequence are held here, were expired into floors, or are
// covered by the fences requested after the last loss.
type peer struct {
	epochKnown        bool // from a response to a request of this run, or from the restored state
	epoch             uint64
	lastSequence      uint64
	unresponsive      bool // it did not respond to the last peer query in time
	requestedAt       int64
	respondedAt       int64
	recentRequests    [4]entryRequest
	requestCount      int
	unresponsiveSince int64
	retryInterval     int64 // between requests to an unresponsive peer, doubled each time
}

// entryRequest is a request in flight for a peer's entries.
type entryRequest struct {
	id     uint64
	sentAt int64
}

// entryLog holds the entries that this gateway recorded, the latest of which can be sent again.
type entryLog struct {
	lastSequence uint64
	retained     []loggedEntry // the last of which has the number lastSequence
	lastPushed   uint64        // entries up to here were sent unrequested, or are no longer retained
}

type loggedEntry struct {
	Entry
	recordedAt int64
}

func (s *Sessions) appendEntry(e Entry) {
	// With a fixed list that is too large for queries no gateway ever requests commits.
	if e.Kind == CommitEntry && !s.config.DynamicMembership && s.config.FleetSize > 1 && !s.canQueryPeers() {
		s.recordChange(Change{Kind: EntryReceived, Entry: e})
		return
	}
	l := &s.entryLog
	l.lastSequence++
	s.recordChange(Change{Kind: EntryRecorded, Sequence: l.lastSequence, Entry: e})
	if s.config.FleetSize == 1 && !s.config.DynamicMembership {
		return
	}
	l.retained = append(l.retained, loggedEntry{e, s.now})
	l.trim()
}

func (l *entryLog) trim() {
	if len(l.retained) >= 2*maxRetainedEntries {
		l.retained = append([]loggedEntry(nil), l.retained[len(l.retained)-maxRetainedEntries:]...)
	}
}

// pageFrom returns the entries from a sequence number on, as many as fit into a page.
func (s *Sessions) pageFrom(first uint64) Page {
	l := &s.entryLog
	p := Page{Epoch: s.epoch, Last: l.lastSequence, First: first}
	for sequence := first; sequence <= l.lastSequence && len(p.Entries) < maxPageEntries; sequence++ {
		logged := l.retained[len(l.retained)-1-int(l.lastSequence-sequence)]
		e := logged.Entry
		e.Age = s.now - logged.recordedAt
		p.Entries = append(p.Entries, e)
	}
	return p
}

// HandleRequest takes a peer's request for this gateway's entries after a sequence number of an epoch.
func (s *Sessions) HandleRequest(from int, requestID, epoch, lastSequence uint64) {
	if !s.isPeer(from) {
		return
	}
	l := &s.entryLog
	missing := l.lastSequence - lastSequence
	// If the peer misses too much, or entries that are gone, or refers to another run, it is sent the last sequence
	// number alone, which it records as a loss.
	if epoch != s.epoch || lastSequence > l.lastSequence || missing > maxCatchUpPages*maxPageEntries ||
		missing > uint64(len(l.retained)) {
		s.sendPage(from, requestID, Page{Epoch: s.epoch, Last: l.lastSequence, First: l.lastSequence + 1})
		return
	}
	for prepaid := true; ; prepaid = false { // the requester's budget was charged for the first page
		p := s.pageFrom(lastSequence + 1)
		s.sendPage(from, requestID, p)
		if !prepaid {
			s.messageBudget--
		}
		if lastSequence += uint64(len(p.Entries)); lastSequence >= l.lastSequence {
			return
		}
	}
}

func (s *Sessions) sendPage(to int, requestID uint64, p Page) {
	s.stats.PagesSent++
	s.decisions = append(s.decisions, Decision{Kind: SendEntries, Peer: to, RequestID: requestID, Page: p})
}

func (s *Sessions) requestEntries(to int) {
	p := &s.peers[to]
	s.lastRequestID++
	p.requestedAt = s.now
	p.recentRequests[p.requestCount%len(p.recentRequests)] = entryRequest{s.lastRequestID, s.now}
	p.requestCount++
	s.stats.EntryRequests++
	s.messageBudget -= 2
	s.decisions = append(s.decisions, Decision{Kind: RequestEntries, Peer: to, RequestID: s.lastRequestID,
		Page: Page{Epoch: p.epoch, Last: p.lastSequence}})
}

func (s *Sessions) isPeer(i int) bool {
	_, ok := slices.BinarySearch(s.otherGateways, i)
	return ok
}

// HandlePage takes a page of a peer, the response to a request or, with requestID 0, unrequested. Pages may come late,
// twice, in any order or never.
func (s *Sessions) HandlePage(from int, requestID uint64, page Page) {
	if !s.isPeer(from) {
		return
	}
	p := &s.peers[from]
	requestedAt := int64(-1) // when the request that the page answers was sent
	for _, request := range p.recentRequests {
		if requestID != 0 && request.id == requestID {
			requestedAt = request.sentAt
		}
	}
	switch {
	case p.epochKnown && p.epoch == page.Epoch:
	case requestedAt >= 0:
		s.resetPeer(from, page)
	default: // only a response to a request of this run shows which run of the peer is current
		for i := range page.Entries {
			if e := &page.Entries[i]; e.Kind == KeyedWriteEntry { // valid for any run
				s.applyPeerEntry(e, max(0, e.Age), requestedAt)
			}
		}
		return
	}
	p.respondedAt = s.now
	for i := range page.Entries {
		e := &page.Entries[i]
		// The request was sent before the page was made: an entry of this age was recorded at least that long ago.
		s.applyPeerEntry(e, max(0, e.Age), requestedAt)
	}
	if end := page.First + uint64(len(page.Entries)); page.First <= p.lastSequence+1 && end > p.lastSequence+1 {
		p.lastSequence = end - 1
		s.recordChange(Change{Kind: PeerCaughtUp, Peer: from, Epoch: p.epoch, Sequence: p.lastSequence})
	}
	if requestedAt < 0 {
		return
	}
	if len(page.Entries) == 0 && page.First > p.lastSequence+1 { // the peer can't send the missing entries
		s.resetPeer(from, page)
	}
	if p.unresponsive {
		p.unresponsive = false
		s.log("gateway %d answers again after %d ms, notes held to %d of %d", from, (s.now-p.unresponsiveSince)/1e6,
			p.lastSequence, page.Last)
	}
	s.recordPeerResponse(from, requestID, p.lastSequence >= page.Last)
}

// resetPeer continues from the end of a peer's entry log: its earlier entries are not held here, and are covered by
// the fences that are requested from now on.
func (s *Sessions) resetPeer(from int, page Page) {
	p := &s.peers[from]
	if p.epochKnown {
		s.log("gateway %d: notes lost from %d to %d, each group is fenced once", from, p.lastSequence, page.Last)
	}
	p.epochKnown, p.epoch, p.lastSequence = true, page.Epoch, page.Last
	s.recordLoss()
	s.recordChange(Change{Kind: PeerCaughtUp, Peer: from, Epoch: p.epoch, Sequence: p.lastSequence})
}

// applyPeerEntry takes an entry of a peer. requestedAt is when the request for it was sent, negative for none.
func (s *Sessions) applyPeerEntry(e *Entry, age, requestedAt int64) {
	s.recordChange(Change{Kind: EntryReceived, Entry: *e})
	switch e.Kind {
	case CommitEntry:
		s.raiseWatermark(e.Group, e.Key, e.Position)
	case KeyedWriteEntry:
		firstSentAt := s.now - age
		if requestedAt >= 0 {
			firstSentAt = requestedAt - age
		}
		s.keyedWrites.record(e.Group, e.Key, firstSentAt, s.now)
	}
}

// pushEntries sends new entries to all peers where the budget allows it. Correctness does not depend on it: it saves
// requests later.
func (s *Sessions) pushEntries() {
	l := &s.entryLog
	if len(s.otherGateways) == 0 || s.config.Source == SourceLocal || l.lastPushed == l.lastSequence {
		return
	}
	l.lastPushed = max(l.lastPushed, l.lastSequence-uint64(len(l.retained)))
	if s.config.DynamicMembership && !s.canQueryPeers() {
		s.pushKeyedWrites()
		return
	}
	for l.lastPushed < l.lastSequence {
		oldest := l.retained[len(l.retained)-int(l.lastSequence-l.lastPushed)]
		full := l.lastSequence-l.lastPushed >= maxPageEntries
		if s.now-oldest.recordedAt < pushDelay && !full || s.messageBudget < float64(len(s.otherGateways)) {
			return
		}
		p := s.pageFrom(l.lastPushed + 1)
		for _, i := range s.otherGateways {
			s.messageBudget--
			s.sendPage(i, 0, p)
		}
		l.lastPushed += uint64(len(p.Entries))
	}
}

// pushKeyedWrites sends all peers the keyed writes alone: under the current list no gateway requests commits, and one
// that requests them under another list receives them then.
func (s *Sessions) pushKeyedWrites() {
	l := &s.entryLog
	p := Page{Epoch: s.epoch, Last: l.lastSequence, First: nonContiguousPage}
	oldest := int64(0)
	scanned := l.lastPushed
	for ; scanned < l.lastSequence && len(p.Entries) < maxPageEntries; scanned++ {
		logged := l.retained[len(l.retained)-int(l.lastSequence-scanned)]
		if logged.Kind != KeyedWriteEntry {
			continue
		}
		if len(p.Entries) == 0 {
			oldest = logged.recordedAt
		}
		e := logged.Entry
		e.Age = s.now - logged.recordedAt
		p.Entries = append(p.Entries, e)
	}
	if len(p.Entries) > 0 && (s.now-oldest < pushDelay && len(p.Entries) < maxPageEntries ||
		s.messageBudget < float64(len(s.otherGateways))) {
		return
	}
	if l.lastPushed = scanned; len(p.Entries) == 0 {
		return
	}
	for _, i := range s.otherGateways {
		s.messageBudget--
		s.sendPage(i, 0, p)
	}
}

// sendKeepalives sends requests to peers that got none for a while: this detects failed peers, and fills gaps.
func (s *Sessions) sendKeepalives() {
	if !s.canQueryPeers() {
		return
	}
	for _, i := range s.otherGateways {
		if p := &s.peers[i]; s.now-p.requestedAt >= s.keepaliveInterval(p) && s.messageBudget >= 2 {
			p.retryInterval *= 2
			s.requestEntries(i)
		}
	}
}

// keepaliveInterval grows with the fleet, so that the cost of keepalives for each gateway does not.
func (s *Sessions) keepaliveInterval(p *peer) int64 {
	interval := max(s.config.KeepaliveInterval, int64(float64(4*s.fleetSize())/idleMessagesPerSecond*1e9))
	if p.unresponsive {
		return min(interval, p.retryInterval)
	}
	return interval
}
