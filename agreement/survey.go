package agreement

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
)

// surveyWait is how long a survey waits for voters. Ours: some ways there and back, within what somebody at a terminal
// takes for at once.
const surveyTimeout = 400e6

// Seen is what voters know of one gateway that asks them for its lease.
type GatewayLease struct {
	ID            ID     `json:"id"`
	Voter         ID     `json:"by"`    // the voter that it asked last
	KnownRevision uint64 `json:"known"` // the stamp of what it holds
	Remaining     int64  `json:"left"`  // of its lease, nanoseconds, at the voter's answer; 0 or less: it may not act by this voter's word
}

// survey is a question to all voters for what they know of the others. Nothing is decided by it.
type survey struct {
	startedAt   int64 // 0 while there is none
	outstanding map[ID]*Message
	leases      map[ID]GatewayLease
}

// Survey asks all voters what they know of the gateways that ask them; Surveyed tells when it is over. One that is under way
// goes on.
func (a *Agreement) Survey() {
	s := &a.survey
	if s.startedAt != 0 && a.now-s.startedAt < surveyTimeout {
		return
	}
	*s = survey{startedAt: a.now, outstanding: map[ID]*Message{}, leases: map[ID]GatewayLease{}}
	for _, g := range a.holder.manifest.Gateways {
		if g.Vote {
			s.outstanding[g.ID] = nil
			a.send(Message{Kind: SurveyRequest, To: g.ID, SentAt: a.now})
		}
	}
}

// Surveyed gives what voters told, by ID, and whether all of them did or time is up.
func (a *Agreement) SurveyResult() (all []GatewayLease, over bool) {
	s := &a.survey
	return slices.SortedFunc(maps.Values(s.leases), func(x, y GatewayLease) int { return cmp.Compare(x.ID, y.ID) }),
		len(s.outstanding) == 0 || a.now-s.startedAt >= surveyTimeout
}

// SurveyedByMost tells whether most of those that vote have answered the survey: who hears of nobody may be cut off itself.
func (a *Agreement) SurveyHasQuorum() bool {
	voters, silent := 0, len(a.survey.outstanding)
	for _, g := range a.holder.manifest.Gateways {
		if g.Vote {
			voters++
		}
	}
	return a.survey.startedAt != 0 && (voters-silent)*2 > voters
}

// surveyed answers a survey at a voter.
func (v *voter) handleSurvey(m *Message) {
	all := []GatewayLease{}
	for _, id := range slices.Sorted(maps.Keys(v.grants)) {
		g := v.grants[id]
		all = append(all, GatewayLease{id, v.a.config.Self, g.knownRevision, g.until - v.a.now})
	}
	text, err := json.Marshal(all)
	if err == nil {
		v.a.send(Message{Kind: SurveyResponse, To: m.From, Echo: m.SentAt, Digest: v.a.texts.offer(text), Size: len(text)})
	}
}

// counted takes a voter's answer, whose text is to be fetched.
func (a *Agreement) handleSurveyResponse(m *Message) {
	if _, asked := a.survey.outstanding[m.From]; asked && m.Echo == a.survey.startedAt {
		a.survey.outstanding[m.From] = m
	}
}

func (s *survey) round(a *Agreement) {
	if s.startedAt == 0 || a.now-s.startedAt >= surveyTimeout {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.outstanding)) {
		m := s.outstanding[id]
		if m == nil {
			continue
		}
		text := a.texts.getOrFetch(m.From, m.Digest, m.Size)
		if text == nil {
			continue
		}
		var all []GatewayLease
		if json.Unmarshal(text, &all) == nil {
			for _, x := range all {
				if before, ok := s.leases[x.ID]; !ok || x.Remaining > before.Remaining {
					s.leases[x.ID] = x
				}
			}
		}
		delete(s.outstanding, id)
	}
}
