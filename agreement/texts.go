package agreement

import (
	"maps"
	"slices"
)

// Timeouts and limits of fetching.
const (
	pageTimeout      = 60e6 // after which a missing page is requested again
	maxPageAttempts  = 25   // attempts without any page received, after which the fetch fails
	maxPagesInFlight = 32
	maxOfferedTexts  = 64 // latest texts that are offered besides those held
)

// texts transfers texts between gateways in pages: a gateway requests them from the one that announced the text.
type texts struct {
	a       *Agreement
	held    map[Digest][]byte // texts of versions that this gateway holds
	offered []offeredText
	fetches []*textFetch
}

// offeredText is a text that other gateways may fetch.
type offeredText struct {
	digest Digest
	text   []byte
}

// textFetch is a text that is being fetched.
type textFetch struct {
	digest       Digest
	from         ID
	text         []byte
	received     []bool
	missing      int
	requestedAt  int64
	lastWantedAt int64 // last call of getOrFetch
	attempts     int
	complete     bool
	failed       bool
}

// offer keeps a text for gateways that are told its digest.
func (t *texts) offer(text []byte) Digest {
	d := DigestOf(text)
	if i := slices.IndexFunc(t.offered, func(o offeredText) bool { return o.digest == d }); i >= 0 {
		t.offered = append(slices.Delete(t.offered, i, i+1), offeredText{d, text})
		return d
	}
	if len(t.offered) == maxOfferedTexts {
		t.offered = t.offered[1:]
	}
	t.offered = append(t.offered, offeredText{d, text})
	return d
}

// get returns a text that is available here, or nil.
func (t *texts) get(d Digest) []byte {
	if text, ok := t.held[d]; ok {
		return text
	}
	for _, o := range t.offered {
		if o.digest == d {
			return o.text
		}
	}
	if v := t.a.voter; v != nil {
		if text := v.state.text(d); text != nil {
			return text
		}
	}
	for _, w := range t.fetches {
		if w.digest == d && w.complete {
			return w.text
		}
	}
	return nil
}

// getOrFetch returns a text, or nil after it has started to fetch it.
func (t *texts) getOrFetch(from ID, d Digest, size int) []byte {
	if text := t.get(d); text != nil {
		return text
	}
	if size <= 0 || size > 16*MaxTextSize {
		return nil
	}
	i := slices.IndexFunc(t.fetches, func(w *textFetch) bool { return w.digest == d })
	if i < 0 {
		n := (size + t.a.config.PageSize - 1) / t.a.config.PageSize
		t.fetches = append(t.fetches, &textFetch{digest: d, text: make([]byte, size), received: make([]bool, n), missing: n, requestedAt: t.a.now - pageTimeout})
		i = len(t.fetches) - 1
	}
	w := t.fetches[i]
	if w.lastWantedAt = t.a.now; w.from != from {
		w.from, w.attempts, w.failed = from, 0, false
	}
	return nil
}

// missingBytes returns how many bytes of a fetch are missing, and whether pages are arriving.
func (t *texts) missingBytes(d Digest) (bytes int, arriving bool) {
	for _, w := range t.fetches {
		if w.digest == d {
			return min(len(w.text), w.missing*t.a.config.PageSize), w.attempts < 2 && !w.failed
		}
	}
	return 0, false
}

// takeFailed reports, once, that a fetch has failed.
func (t *texts) takeFailed(d Digest) bool {
	i := slices.IndexFunc(t.fetches, func(w *textFetch) bool { return w.digest == d && w.failed })
	if i < 0 {
		return false
	}
	t.fetches = slices.Delete(t.fetches, i, i+1)
	return true
}

// handleFetch answers a request for a page.
func (t *texts) handleFetch(m *Message) {
	text := t.get(m.Digest)
	if text == nil || m.Offset < 0 || m.Offset >= len(text) {
		return
	}
	t.a.send(Message{Kind: Page, To: m.From, Digest: m.Digest, Offset: m.Offset, Size: len(text),
		Data: text[m.Offset:min(m.Offset+t.a.config.PageSize, len(text))]})
}

// handlePage handles a page.
func (t *texts) handlePage(m *Message) {
	i := slices.IndexFunc(t.fetches, func(w *textFetch) bool { return w.digest == m.Digest })
	page := t.a.config.PageSize
	if i < 0 {
		return
	}
	w := t.fetches[i]
	if w.complete || m.Offset < 0 || m.Offset%page != 0 || m.Offset >= len(w.text) || len(m.Data) != min(page, len(w.text)-m.Offset) || w.received[m.Offset/page] {
		return
	}
	copy(w.text[m.Offset:], m.Data)
	w.received[m.Offset/page] = true
	w.attempts = 0
	if w.missing--; w.missing > 0 && w.missing%maxPagesInFlight == 0 {
		w.requestedAt = t.a.now - pageTimeout // request the next pages at once
	}
	if w.missing > 0 {
		return
	}
	if w.complete = DigestOf(w.text) == w.digest; !w.complete { // corrupt: start again
		clear(w.received)
		w.missing = len(w.received)
	}
}

// round requests missing pages and drops fetches that are no longer wanted.
func (t *texts) round() {
	t.fetches = slices.DeleteFunc(t.fetches, func(w *textFetch) bool { return t.a.now-w.lastWantedAt > 4*t.a.config.Lease })
	for _, w := range t.fetches {
		if w.complete || w.failed || t.a.now-w.requestedAt < pageTimeout {
			continue
		}
		w.requestedAt = t.a.now
		if w.attempts++; w.attempts > maxPageAttempts {
			w.failed = true
			continue
		}
		n := 0
		for i := range w.received {
			if !w.received[i] && n < maxPagesInFlight {
				n++
				t.a.send(Message{Kind: Fetch, To: w.from, Digest: w.digest, Offset: i * t.a.config.PageSize})
			}
		}
	}
}

// retain keeps the texts of a manifest and drops all others.
func (t *texts) retain(m *Manifest) {
	previous := maps.Clone(t.held)
	clear(t.held)
	for _, s := range m.Subjects {
		for _, v := range []*Version{s.InForce, s.Next} {
			if v == nil {
				continue
			}
			text := previous[v.Digest]
			if text == nil {
				text = t.get(v.Digest)
			}
			t.held[v.Digest] = text
		}
	}
	t.fetches = slices.DeleteFunc(t.fetches, func(w *textFetch) bool { return t.held[w.digest] != nil })
}

func (t *texts) nextDeadline() int64 {
	at := t.a.now + t.a.config.Lease
	for _, w := range t.fetches {
		if !w.complete && !w.failed {
			at = min(at, w.requestedAt+pageTimeout)
		}
	}
	return at
}
