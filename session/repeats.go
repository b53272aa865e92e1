package session

// keys are the keyed writes that were sent to members by any gateway, as far as is known here: for how long a group
// drops repeats counts from the first.
type keys struct {
	held map[uint64]sent
	line []uint64 // oldest first
}

type sent struct {
	group int
	first int64 // earliest time at which it may have been sent
	at    int64 // when it was told here
}

func (k *keys) init() { k.held = map[uint64]sent{} }

func (k *keys) note(grp int, key uint64, first, now int64) {
	if old, ok := k.held[key]; ok {
		old.first = min(old.first, first)
		k.held[key] = old
		return
	}
	k.held[key] = sent{grp, first, now}
	k.line = append(k.line, key)
}

func (k *keys) forgetOld(now, span int64, most int) {
	n := 0
	for ; n < len(k.line) && (now-k.held[k.line[n]].at >= span || len(k.held) > most); n++ {
		delete(k.held, k.line[n])
	}
	if k.line = k.line[n:]; len(k.line) == 0 {
		k.line = nil
	}
}

// RecordKeyedWrite notes that a keyed write goes to a member of a group now.
func (s *Sessions) RecordKeyedWrite(grp int, key uint64) {
	if _, ok := s.keys.held[key]; ok {
		return
	}
	s.keys.note(grp, key, s.now, s.now)
	s.append(Entry{Kind: KeyedWriteEntry, Group: grp, Key: key})
}

// RetryDeadline tells until when a keyed write may be sent to its group: while the group drops repeats for a window since
// the first was sent, by any gateway that told of it. ok is false where that is over, or the key went to another
// group, which drops no repeat of it; until is 0 where nothing is known of it.
func (s *Sessions) RetryDeadline(grp int, key uint64, window int64) (until int64, ok bool) {
	held, known := s.keys.held[key]
	if !known {
		return 0, true
	}
	until = held.first + window - marginSent
	return until, held.group == grp && s.now < until
}
