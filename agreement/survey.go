package agreement

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
)

// surveyTimeout is how long a survey waits for voters: a few round trips, and short enough for somebody at a
// terminal.
const surveyTimeout = 400e6

// GatewayLease is what voters know of a gateway that renews its lease with them.
type GatewayLease struct {
	ID            ID     `json:"id"`
	Voter         ID     `json:"by"`    // voter that it asked last
	KnownRevision uint64 `json:"known"` // revision that it holds
	Remaining     int64  `json:"left"`  // nanoseconds left of its lease when the voter answered; 0 or less: this voter does not let it act
}

// survey collects from all voters what they know of the other gateways. No decision depends on it.
type survey struct {
	startedAt   int64 // 0 if there was no survey
	outstanding map[ID]*Message
	leases      map[ID]GatewayLease
}

// Survey asks all voters which gateways renew their leases with them; SurveyResult reports when it is over. A survey
// that is under way goes on.
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

// SurveyResult returns the answers of the voters, ordered by ID, and whether all have answered or the survey has
// timed out.
func (a *Agreement) SurveyResult() (leases []GatewayLease, done bool) {
	s := &a.survey
	return slices.SortedFunc(maps.Values(s.leases), func(x, y GatewayLease) int { return cmp.Compare(x.ID, y.ID) }),
		len(s.outstanding) == 0 || a.now-s.startedAt >= surveyTimeout
}

// SurveyHasQuorum reports whether a majority of voters has answered the survey: a gateway that receives no answers
// may be cut off itself.
func (a *Agreement) SurveyHasQuorum() bool {
	voters, unanswered := 0, len(a.survey.outstanding)
	for _, g := range a.holder.manifest.Gateways {
		if g.Vote {
			voters++
		}
	}
	return a.survey.startedAt != 0 && (voters-unanswered)*2 > voters
}

// handleSurvey answers a survey at a voter.
func (v *voter) handleSurvey(m *Message) {
	leases := []GatewayLease{}
	for _, id := range slices.Sorted(maps.Keys(v.grants)) {
		g := v.grants[id]
		leases = append(leases, GatewayLease{id, v.a.config.Self, g.knownRevision, g.until - v.a.now})
	}
	text, err := json.Marshal(leases)
	if err == nil {
		v.a.send(Message{Kind: SurveyResponse, To: m.From, Echo: m.SentAt, Digest: v.a.texts.offer(text), Size: len(text)})
	}
}

// handleSurveyResponse handles a voter's answer, whose text has to be fetched.
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
		var leases []GatewayLease
		if json.Unmarshal(text, &leases) == nil {
			for _, x := range leases {
				if before, ok := s.leases[x.ID]; !ok || x.Remaining > before.Remaining {
					s.leases[x.ID] = x
				}
			}
		}
		delete(s.outstanding, id)
	}
}
