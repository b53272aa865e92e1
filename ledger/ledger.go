// Package ledger keeps what the session module knows over a restart: its changes, in a store. It words them, tells how
// long ago they were, and says whether what it gives back lacks nothing.
package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"magpieglade/internal/store"
	"magpieglade/session"
)

// Ledger is an open folder. Append and Snapshot never wait; both belong to one goroutine, as Began does.
type Ledger struct {
	store *store.Store
	now   clocks
}

// clocks are the time of day, and the time since the machine started, which nobody sets; nanoseconds.
type clocks func() (day, machine int64)

func system() (day, machine int64) {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Now().UnixNano(), t.Nano()
}

// Found is what a folder held.
type Found struct {
	Changes  []session.Change
	Complete bool // nothing that the last run answered is lacking
	Clean    bool // the last run ended in order
	Torn     int64
	Spoilt   int
	Segments []store.Segment
	Unread   int // records that are none of this version's
}

// UsualWait is how long an answer waits for its mark where the operator does not say, in nanoseconds. Ours: far above
// what the kernel takes, far below any SLA time.
const UsualWait = int64(20e6)

// Disk is the file system that a ledger is on.
type Disk = store.FileSystem

// Open takes a folder on a disk, nil for the operating system's, and reads what it holds. wanted is called, from some goroutine, when a snapshot is wanted; log
// with what goes wrong, and with no error when it goes right again.
func Open(folder string, on Disk, wanted func(), log func(string, error)) (*Ledger, *Found, error) {
	s, r, err := store.Open(folder, store.Options{FileSystem: on, SnapshotNeeded: wanted, Log: log})
	if err != nil {
		return nil, nil, fmt.Errorf("ledger: %w", err)
	}
	l := &Ledger{s, system}
	return l, found(r, l.now), nil
}

// Look reads a folder and changes nothing, also while a gateway has it.
func Look(folder string) (*Found, error) {
	r, err := store.Read(folder, nil, "")
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	return found(r, system), nil
}

func found(r *store.Recovered, now clocks) *Found {
	f := &Found{Complete: r.Complete, Clean: r.Clean, Torn: r.Torn, Spoilt: r.Corrupt, Segments: r.Segments}
	day, machine := now()
	for _, text := range r.Records {
		changes, err := read(text, day, machine)
		if err != nil {
			f.Unread++
			f.Complete = false
		}
		f.Changes = append(f.Changes, changes...)
	}
	return f
}

// Began writes the state that a run begins with, and waits for it. keeps says that nothing is answered before its
// change is written, or else Behind is said first.
func (l *Ledger) Began(state []session.Change, keeps bool) error {
	return l.store.Start(l.word(state), keeps)
}

// Append queues changes; done, which may be nil, is called from another goroutine once they are with the kernel, or
// with why not.
func (l *Ledger) Append(changes []session.Change, done func(error)) {
	l.store.Append(l.word(changes), done)
}

// Snapshot queues a state that takes the place of all before.
func (l *Ledger) Snapshot(state []session.Change) { l.store.Snapshot(l.word(state)) }

// Behind says at once that something was answered that is not written; Caught takes it back.
func (l *Ledger) Behind() { l.store.MarkIncomplete() }

// Caught takes Behind back.
func (l *Ledger) Caught() { l.store.ClearIncomplete() }

// Close ends in order.
func (l *Ledger) Close() error { return l.store.Close() }

// Counts gives what was done so far.
func (l *Ledger) Counts() store.Stats { return l.store.Stats() }

// one is a change as it is written, little-endian. Ages are written as the times that they count from.
type one struct {
	Kind, Entry  uint8
	Peer, Group  uint16
	No, Epoch    uint64
	Key          uint64
	Position     int64
	Day, Machine int64
}

var oneSize = binary.Size(one{})

// perRecord is how many changes a record of a snapshot holds: a checksum for each would cost as much as they do.
const perRecord = 500

func (l *Ledger) word(changes []session.Change) (records [][]byte) {
	day, machine := l.now()
	for len(changes) > 0 {
		n := min(len(changes), perRecord)
		text := make([]byte, 0, n*oneSize)
		for i := range changes[:n] {
			c := &changes[i]
			text, _ = binary.Append(text, binary.LittleEndian, &one{Kind: uint8(c.Kind), Entry: uint8(c.Entry.Kind),
				Peer: uint16(c.Peer), Group: uint16(c.Entry.Group), No: c.Sequence, Epoch: c.Epoch, Key: c.Entry.Key,
				Position: int64(c.Entry.Position), Day: day - c.Entry.Age, Machine: machine - c.Entry.Age})
		}
		records = append(records, text)
		changes = changes[n:]
	}
	return records
}

var errUnread = errors.New("a record of another version")

func read(text []byte, day, machine int64) (changes []session.Change, err error) {
	if len(text)%oneSize != 0 {
		return nil, errUnread
	}
	for ; len(text) > 0; text = text[oneSize:] {
		var o one
		if _, err := binary.Decode(text, binary.LittleEndian, &o); err != nil || o.Kind > uint8(session.GatewayEnded) {
			return changes, errUnread
		}
		// The machine's clock began anew with another boot, and the day's may have been set: whichever says longer.
		age := max(0, day-o.Day)
		if o.Machine <= machine {
			age = max(age, machine-o.Machine)
		}
		changes = append(changes, session.Change{Kind: session.ChangeKind(o.Kind), Peer: int(o.Peer), Sequence: o.No, Epoch: o.Epoch,
			Entry: session.Entry{Kind: session.EntryKind(o.Entry), Group: int(o.Group), Key: o.Key,
				Position: session.Position(o.Position), Age: age}})
	}
	return changes, nil
}
