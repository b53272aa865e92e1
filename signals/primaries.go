package signals

// Primaries holds which member of each group was last reported as its primary. Reports come late and in any order, so the one
// with the highest position counts.
type Primaries struct{ byGroup map[int]primaryReport }

type primaryReport struct {
	member     uint64
	position   int64
	receivedAt int64
}

// Receive applies a report that a member was its group's primary at a position, received at a time in nanoseconds, and returns
// whether the group's primary changed. A lower position counts once no earlier report can still be under way: the clock that
// positions are times of may have been stepped back.
func (p *Primaries) Receive(group int, member uint64, position, receivedAt int64) (changed bool) {
	last, known := p.byGroup[group]
	if known && position < last.position && receivedAt-last.receivedAt < ReportTimeToLive {
		return false
	}
	if p.byGroup == nil {
		p.byGroup = map[int]primaryReport{}
	}
	p.byGroup[group] = primaryReport{member, position, receivedAt}
	return !known || last.member != member
}

// Is returns whether a member was last reported as the primary of its group.
func (p *Primaries) Is(group int, member uint64) bool {
	last, known := p.byGroup[group]
	return known && last.member == member
}
