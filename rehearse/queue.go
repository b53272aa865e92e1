package rehearse

// happening is something that happens at a time; of those at one time the one that was planned first comes first.
type happening struct {
	at   int64
	turn uint64
	do   func()
}

// agenda is a heap of happenings, by hand: it is most of what a simulated day does.
type agenda []happening

func (a agenda) before(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].turn < a[j].turn
}

func (a *agenda) push(h happening) {
	*a = append(*a, h)
	all := *a
	for i := len(all) - 1; i > 0; {
		up := (i - 1) / 2
		if !all.before(i, up) {
			break
		}
		all[i], all[up] = all[up], all[i]
		i = up
	}
}

func (a *agenda) pop() happening {
	all := *a
	top, last := all[0], len(all)-1
	all[0] = all[last]
	all[last] = happening{}
	all = all[:last]
	*a = all
	for i := 0; ; {
		least := i
		for k := 2*i + 1; k <= 2*i+2 && k < len(all); k++ {
			if all.before(k, least) {
				least = k
			}
		}
		if least == i {
			return top
		}
		all[i], all[least] = all[least], all[i]
		i = least
	}
}
