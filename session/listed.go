package session

import "slices"

// Membership is whom a fleet agrees on as its gateways: docs/agreement.md. The statement holds while lists change, as
//   - a round counts only if it began while this gateway might act on its list (Until): then the list has all that were
//     seated, which is who may answer a session's write, and those that left and are not known to have ended;
//   - who is not seated, or never might act since its start, answers no session's write (Notes);
//   - when one has ended its notes are gone with it: each group is fenced once.
type Membership struct {
	Self         int    // this gateway's number; -1 where the list lacks it
	KnownToAll   bool   // whoever may act knows of it
	Peers        []int  // the numbers of all others, those that left and may yet serve somebody among them
	EndedVersion uint64 // another number whenever one is known to have ended
}

// SetMembership takes the list, at the start and whenever it changes, before the host says that it holds it.
func (s *Sessions) SetMembership(l Membership) {
	if !s.terms.DynamicMembership {
		return
	}
	s.list = &l
	s.terms.Self = l.Self
	others := slices.Clone(l.Peers)
	slices.Sort(others)
	if n := len(others); n > 0 && others[n-1] >= len(s.peers) {
		s.peers = append(s.peers, make([]peer, others[n-1]+1-len(s.peers))...)
	}
	for i := range s.peers {
		if _, stays := slices.BinarySearch(others, i); !stays {
			s.peers[i] = peer{}
		}
	}
	if !slices.Equal(others, s.others) {
		s.others = others
		s.round.began = 0 // who is asked anew is asked all
	}
	if l.EndedVersion != s.ended {
		s.ended = l.EndedVersion
		s.changed(Change{Kind: GatewayEnded, Sequence: l.EndedVersion})
		s.lose()
	}
}

// SetLeaseExpiry tells until when this gateway may act on its list: past it all that it knows of others is not enough.
func (s *Sessions) SetLeaseExpiry(t int64) {
	s.until = t
	s.acted = s.acted || s.list != nil && s.list.Self >= 0 && s.now < t
}

// AcceptsSessionWrites tells whether a session's write may be answered here: others know that this gateway is to be asked. Of a list that
// it never might act on since its start it may have been taken out long ago, and have said that it has ended: a voter that
// lags behind tells such a one to who comes back.
func (s *Sessions) AcceptsSessionWrites() bool {
	return !s.terms.DynamicMembership || s.acted && s.list.Self >= 0 && s.list.KnownToAll
}

// current tells that the list may be acted on.
func (s *Sessions) current() bool {
	return !s.terms.DynamicMembership || s.list != nil && s.now < s.until
}

// size is how many gateways there are, this one among them.
func (s *Sessions) size() int { return len(s.others) + 1 }
