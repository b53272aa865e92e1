package decide

// This file holds what members told of their role and position, to this gateway or to another one, and which word counts.
// A denial counts until the member surely told otherwise later; a claim to be the primary is kept with the position that the
// member told together with it, as a role and a position from two sources say nothing about each other.

// denial is when a member told that it is a replica, and when it was removed.
type denial struct{ toldAt, removedAt Nanos }

// isProvenPrimary reports whether the last that a member can have told of its role is that it is the primary, which
// stands at the present.
func (m *member) isProvenPrimary() bool { return m.role == RolePrimary && m.roleUnreadAt == 0 }

// toldPrimaryPosition is the highest position of a proven primary that it told itself together with its role, 0 if there is
// none. A role and a position from different sources say nothing about when the member was the primary.
func (m *member) toldPrimaryPosition() Nanos {
	if !m.isProvenPrimary() || m.roleRelayed {
		return 0
	}
	return m.primaryPosition
}

// claimedAt records that the member told this gateway that it was the primary at a position, 0 if it told none.
func (m *member) claimedAt(position Nanos) { m.primaryPosition = max(m.primaryPosition, position) }

// advancePosition raises the proven position. Once proven it holds for good, also across role changes.
func (m *member) advancePosition(at Nanos) { m.position = max(m.position, at) }

// answeredRole is the role that an answer proves. A refusal for lack of eligibility comes from a replica, whether or
// not it says so. That a member is the primary proves nothing if it said otherwise after the submission was sent.
func (g *Gateway) answeredRole(s *submission, r Result, role Role, position Nanos) Role {
	m := s.member
	switch {
	case role == RoleUnknown && r == NotEligible:
		return RoleReplica
	case role == RolePrimary && s.sentAt < m.deniedAt && position <= m.group.groupTime(m.deniedAt):
		return RoleUnknown
	}
	return role
}

// provenPosition is the position that an answer proves of its member. A commit's is rounded up, and another primary may
// commit before it is reached.
func (g *Gateway) provenPosition(t *txn, r Result, position Nanos) Nanos {
	if r == Committed && g.settings.Replication.Consistency[t.class] == "mutate" {
		return max(0, position-commitRounding)
	}
	return position
}

// recordAnswer applies the role and position of an answer.
func (g *Gateway) recordAnswer(m *member, role Role, position Nanos) {
	if role != RoleUnknown {
		g.recordRole(m, role, g.now, false)
	}
	if position > 0 {
		m.advancePosition(position)
		m.lastLag, m.lagSeenAt, m.positionSeenAt = m.group.groupTime(g.now)-position, g.now, g.now
	}
	if role == RolePrimary {
		m.claimedAt(position)
	}
}

// recordRole applies the role that a member told at a given time, to this gateway or, if relayed, to another one.
func (g *Gateway) recordRole(m *member, role Role, toldAt Nanos, relayed bool) {
	m.role, m.roleAt, m.roleRelayed, m.roleUnreadAt = role, toldAt, relayed, 0
	if role == RoleReplica {
		m.deniedAt = toldAt
	} else {
		m.group.seekPause = 0
	}
	for _, o := range m.group.members {
		// Only one primary at a time: the newest report wins, however late the other's answers are.
		if role == RolePrimary && o != m && o.role == RolePrimary {
			o.role = RoleUnknown
		}
	}
	g.logPrimaryChange(m.group)
}

// recordReport applies a load report: its position, which holds even if it is old, and its role unless the answer that it
// came with tells one.
func (g *Gateway) recordReport(m *member, report []float64, answered Role) {
	position, role := g.readReport(report) // a primary's position is the time of its report
	placed := g.placePosition(m.group, role == RolePrimary, position, g.now-maxReportDelay)
	if placed > 0 {
		m.advancePosition(placed)
		lag := m.group.groupTime(g.now) - placed
		m.lastLag, m.lagSeenAt, m.positionSeenAt = max(min(g.estimatedLag(m), lag), lag-maxReportDelay), g.now, g.now
	}
	if role != RoleUnknown && answered == RoleUnknown {
		g.recordReportedRole(m, role == RolePrimary, placed)
	}
	if role == RolePrimary && m.role == RolePrimary {
		m.claimedAt(placed)
	}
}

// readReport returns the position and the role that a load report tells, 0 and RoleUnknown if it tells none.
func (g *Gateway) readReport(report []float64) (position Nanos, role Role) {
	fields := g.settings.LoadReport.Fields
	for i, field := range fields[:min(len(fields), len(report))] {
		switch {
		case field == "x0" && report[i] > 0:
			position = g.settings.Replication.PositionEpoch + Millis(report[i]*1000)
		case field == "x1" && report[i] == 1:
			role = RolePrimary
		case field == "x1":
			role = RoleReplica
		}
	}
	return position, role
}

// recordReportedRole applies the role in a report made no earlier than its position. An answer outweighs it for a
// while, and for good if it said that the member is a replica and the report may be older. So does another report that
// said so, while an older one may still be under way.
func (g *Gateway) recordReportedRole(m *member, primary bool, position Nanos) {
	newer := g.now-m.roleAt > answerPrecedence || m.role == RoleUnknown
	mayPredateDenial := position <= m.group.groupTime(m.deniedAt) && g.now-m.deniedAt <= maxReportDelay
	switch {
	case primary && m.role == RolePrimary:
		if position > m.group.groupTime(m.roleUnreadAt) {
			m.roleUnreadAt = 0
		}
	case primary && newer && !mayPredateDenial && (m.role != RoleReplica || position > m.group.groupTime(m.roleAt)):
		unreadAt := m.roleUnreadAt
		g.recordRole(m, RolePrimary, 0, false)
		if position <= m.group.groupTime(unreadAt) {
			m.roleUnreadAt = unreadAt
		}
	case !primary && (newer || position > m.group.groupTime(m.roleAt)):
		m.role, m.deniedAt = RoleReplica, g.now
		g.logPrimaryChange(m.group)
	}
}
