package decide

// A position is a time of the clock that a group's servers read. That clock agrees with this gateway's only until one of them
// is stepped: then a replica that lags by as much would look current. So positions are compared with each other, and with a
// time of this gateway only after that time was moved to the group's clock.

const (
	maxPositionLead = 5 * ms                // of a position before the group's clock as estimated: commits are rounded up
	maxClockLead    = 24 * 3600 * 1000 * ms // a position further ahead is malformed
	maxUpdateAge    = 10 * 1000 * ms        // of another gateway's update when it arrives
)

// groupTime is what the clock of a group's servers showed at a time of this gateway's clock, as estimated.
func (grp *group) groupTime(at Nanos) Nanos { return at + grp.clockLead }

// CanPlacePosition reports whether a position of a group is not ahead of the group's clock, as estimated for the present. It is
// asked outside of rounds too, whose time may be long past.
func (g *Gateway) CanPlacePosition(groupID int, position, now Nanos) bool {
	return position <= g.groupOf(groupID).groupTime(now)+g.maxPositionLead()
}

func (g *Gateway) maxPositionLead() Nanos { return maxPositionLead + g.settings.Replication.ClockError }

// placePosition applies what a position, told at some time since a given one, shows of the clock of its group, and returns it
// if it proves anything of its member: one that is ahead proves nothing until another has confirmed it. A primary stands at
// the present of that clock, so its position bounds the lead from above as well.
func (g *Gateway) placePosition(grp *group, primary bool, position, since Nanos) Nanos {
	if position <= 0 {
		return 0
	}
	lead := position - g.now
	if lead > maxClockLead {
		return 0
	}
	if lead > grp.clockLead+g.maxPositionLead() {
		grp.clockLead, grp.positionLead = lead, 0
		g.log("group %d: its clock is %d ms ahead", grp.id, lead/ms)
		return 0
	}
	grp.positionLead = max(grp.positionLead, lead-grp.clockLead)
	if primary && position-since < grp.clockLead {
		g.lowerClockLead(grp, max(0, position-since), position)
	}
	return position
}

// lowerClockLead follows a group's clock that was stepped back, as its primary's position shows. What members were told to
// have reached beyond that position is from before the step and proves nothing of later commits.
func (g *Gateway) lowerClockLead(grp *group, to, primaryPosition Nanos) {
	if grp.clockLead-to > g.maxPositionLead() {
		grp.steppedBackAt = g.now
		g.log("group %d: its clock is %d ms ahead", grp.id, to/ms)
		for _, m := range grp.members {
			if m.position > primaryPosition+g.maxPositionLead() {
				m.position = 0
			}
			if m.primaryPosition > primaryPosition+g.maxPositionLead() {
				m.primaryPosition = 0
			}
		}
	}
	grp.clockLead = to
}

// recentlySteppedBack reports whether another gateway's update may be from before a step of the group's clock back.
func (grp *group) recentlySteppedBack(now Nanos) bool {
	return grp.steppedBackAt > 0 && now-grp.steppedBackAt < maxUpdateAge
}

// ClockStepped records that this machine's wall clock, which servers are taken to share, was stepped forward. A group whose
// clock was not stepped shows it by the next position of its primary.
func (g *Gateway) ClockStepped(by Nanos) {
	if by <= 0 {
		return
	}
	g.clockLead += by
	for _, grp := range g.groups {
		grp.clockLead += by
	}
}
