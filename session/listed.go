package session

import "slices"

// Membership is the list of gateways that a fleet has agreed on: docs/agreement.md. The invariant of the package holds
// while lists change, as
//   - a peer query counts only if it began while this gateway's lease was valid (SetLeaseExpiry): then the list has all
//     that are KnownToAll, which are those that may answer a session's write, and those that left and are not known to
//     have ended;
//   - a gateway that is not KnownToAll, or has had no valid lease since its start, answers no session's write
//     (AcceptsSessionWrites);
//   - when a gateway has ended its entry log is gone with it: each group is fenced once.
type Membership struct {
	Self         int    // this gateway's number; -1 where the list lacks it
	KnownToAll   bool   // every gateway with a valid lease has this one in its list
	Peers        []int  // the numbers of all others, with those that left and may still serve clients
	EndedVersion uint64 // changes whenever another gateway is known to have ended
}

// SetMembership takes the list at the start and whenever it changes, before the host confirms that it holds it.
func (s *Sessions) SetMembership(m Membership) {
	if !s.config.DynamicMembership {
		return
	}
	s.membership = &m
	s.config.Self = m.Self
	others := slices.Clone(m.Peers)
	slices.Sort(others)
	if n := len(others); n > 0 && others[n-1] >= len(s.peers) {
		s.peers = append(s.peers, make([]peer, others[n-1]+1-len(s.peers))...)
	}
	for i := range s.peers {
		if _, stays := slices.BinarySearch(others, i); !stays {
			s.peers[i] = peer{}
		}
	}
	if !slices.Equal(others, s.otherGateways) {
		s.otherGateways = others
		s.query.startedAt = 0 // a new query asks all of the new list
	}
	if m.EndedVersion != s.endedVersion {
		s.endedVersion = m.EndedVersion
		s.recordChange(Change{Kind: GatewayEnded, Sequence: m.EndedVersion})
		s.recordLoss()
	}
}

// SetLeaseExpiry sets until when this gateway may act on its list: after that its state of others is not sufficient.
func (s *Sessions) SetLeaseExpiry(t int64) {
	s.leaseExpiry = t
	s.hadLease = s.hadLease || s.membership != nil && s.membership.Self >= 0 && s.now < t
}

// AcceptsSessionWrites reports whether a session's write may be answered here: other gateways know that this one has
// to be asked. A gateway that has had no valid lease since its start may have been removed long ago and reported
// itself ended: a voter that lags behind sends such a list to a gateway that comes back.
func (s *Sessions) AcceptsSessionWrites() bool {
	return !s.config.DynamicMembership || s.hadLease && s.membership.Self >= 0 && s.membership.KnownToAll
}

// leaseValid reports whether the membership may be acted on.
func (s *Sessions) leaseValid() bool {
	return !s.config.DynamicMembership || s.membership != nil && s.now < s.leaseExpiry
}

// fleetSize is the number of gateways, including this one.
func (s *Sessions) fleetSize() int { return len(s.otherGateways) + 1 }
