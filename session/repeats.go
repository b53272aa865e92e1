package session

// keyedWrites are the keyed writes that any gateway sent to members, as far as this one knows. The time for which a
// group drops repeats counts from the first.
type keyedWrites struct {
	byKey map[uint64]keyedWrite
	byAge []uint64 // oldest first
}

type keyedWrite struct {
	group       int
	firstSentAt int64 // earliest time at which it may have been sent
	recordedAt  int64 // when this gateway received it
}

func (k *keyedWrites) init() { k.byKey = map[uint64]keyedWrite{} }

func (k *keyedWrites) record(groupID int, key uint64, firstSentAt, now int64) {
	if old, ok := k.byKey[key]; ok {
		old.firstSentAt = min(old.firstSentAt, firstSentAt)
		k.byKey[key] = old
		return
	}
	k.byKey[key] = keyedWrite{groupID, firstSentAt, now}
	k.byAge = append(k.byAge, key)
}

func (k *keyedWrites) expireOld(now, expiry int64, maxCount int) {
	n := 0
	for ; n < len(k.byAge) && (now-k.byKey[k.byAge[n]].recordedAt >= expiry || len(k.byKey) > maxCount); n++ {
		delete(k.byKey, k.byAge[n])
	}
	if k.byAge = k.byAge[n:]; len(k.byAge) == 0 {
		k.byAge = nil
	}
}

// RecordKeyedWrite records that a keyed write is being sent to a member of a group.
func (s *Sessions) RecordKeyedWrite(groupID int, key uint64) {
	if _, ok := s.keyedWrites.byKey[key]; ok {
		return
	}
	s.keyedWrites.record(groupID, key, s.now, s.now)
	s.appendEntry(Entry{Kind: KeyedWriteEntry, Group: groupID, Key: key})
}

// RetryDeadline returns until when a keyed write may be sent to its group: as long as the group drops repeats, which
// is a window that begins when the first was sent, by any gateway that reported it. ok is false where that time is
// over, or the key went to another group, which drops no repeat of it; until is 0 where nothing is known of the key.
func (s *Sessions) RetryDeadline(groupID int, key uint64, window int64) (until int64, ok bool) {
	held, known := s.keyedWrites.byKey[key]
	if !known {
		return 0, true
	}
	until = held.firstSentAt + window - keyedWriteMargin
	return until, held.group == groupID && s.now < until
}
