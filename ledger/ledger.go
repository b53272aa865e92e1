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
	store      *store.Store
	readClocks clockFunc
}

// clocks are the time of day, and the time since the machine started, which nobody sets; nanoseconds.
type clockFunc func() (day, machine int64)

func readClocks() (wallTime, bootTime int64) {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Now().UnixNano(), t.Nano()
}

// Found is what a folder held.
type Recovered struct {
	Changes        []session.Change
	Complete       bool // nothing that the last run answered is lacking
	Clean          bool // the last run ended in order
	TornBytes      int64
	Corrupt        int
	Segments       []store.Segment
	UnknownRecords int // records that are none of this version's
}

// UsualWait is how long an answer waits for its mark where the operator does not say, in nanoseconds. Ours: far above
// what the kernel takes, far below any SLA time.
const DefaultMaxWait = int64(20e6)

// Disk is the file system that a ledger is on.
type FileSystem = store.FileSystem

// Open takes a folder on a disk, nil for the operating system's, and reads what it holds. wanted is called, from some goroutine, when a snapshot is wanted; log
// with what goes wrong, and with no error when it goes right again.
func Open(directory string, fileSystem FileSystem, snapshotNeeded func(), log func(string, error)) (*Ledger, *Recovered, error) {
	s, r, err := store.Open(directory, store.Options{FileSystem: fileSystem, SnapshotNeeded: snapshotNeeded, Log: log})
	if err != nil {
		return nil, nil, fmt.Errorf("ledger: %w", err)
	}
	l := &Ledger{s, readClocks}
	return l, recoverChanges(r, l.readClocks), nil
}

// Look reads a folder and changes nothing, also while a gateway has it.
func Read(directory string) (*Recovered, error) {
	r, err := store.Read(directory, nil, "")
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	return recoverChanges(r, readClocks), nil
}

func recoverChanges(r *store.Recovered, readClocks clockFunc) *Recovered {
	f := &Recovered{Complete: r.Complete, Clean: r.Clean, TornBytes: r.Torn, Corrupt: r.Corrupt, Segments: r.Segments}
	wallTime, bootTime := readClocks()
	for _, record := range r.Records {
		changes, err := decode(record, wallTime, bootTime)
		if err != nil {
			f.UnknownRecords++
			f.Complete = false
		}
		f.Changes = append(f.Changes, changes...)
	}
	return f
}

// Began writes the state that a run begins with, and waits for it. keeps says that nothing is answered before its
// change is written, or else Behind is said first.
func (l *Ledger) Start(state []session.Change, writeAhead bool) error {
	return l.store.Start(l.encode(state), writeAhead)
}

// Append queues changes; done, which may be nil, is called from another goroutine once they are with the kernel, or
// with why not.
func (l *Ledger) Append(changes []session.Change, done func(error)) {
	l.store.Append(l.encode(changes), done)
}

// Snapshot queues a state that takes the place of all before.
func (l *Ledger) Snapshot(state []session.Change) { l.store.Snapshot(l.encode(state)) }

// Behind says at once that something was answered that is not written; Caught takes it back.
func (l *Ledger) MarkIncomplete() { l.store.MarkIncomplete() }

// Caught takes Behind back.
func (l *Ledger) ClearIncomplete() { l.store.ClearIncomplete() }

// Close ends in order.
func (l *Ledger) Close() error { return l.store.Close() }

// Counts gives what was done so far.
func (l *Ledger) Stats() store.Stats { return l.store.Stats() }

// one is a change as it is written, little-endian. Ages are written as the times that they count from.
type changeRecord struct {
	Kind, Entry        uint8
	Peer, Group        uint16
	Sequence, Epoch    uint64
	Key                uint64
	Position           int64
	WallTime, BootTime int64
}

var changeRecordSize = binary.Size(changeRecord{})

// perRecord is how many changes a record of a snapshot holds: a checksum for each would cost as much as they do.
const changesPerRecord = 500

func (l *Ledger) encode(changes []session.Change) (records [][]byte) {
	wallTime, bootTime := l.readClocks()
	for len(changes) > 0 {
		n := min(len(changes), changesPerRecord)
		record := make([]byte, 0, n*changeRecordSize)
		for i := range changes[:n] {
			c := &changes[i]
			record, _ = binary.Append(record, binary.LittleEndian, &changeRecord{Kind: uint8(c.Kind), Entry: uint8(c.Entry.Kind),
				Peer: uint16(c.Peer), Group: uint16(c.Entry.Group), Sequence: c.Sequence, Epoch: c.Epoch, Key: c.Entry.Key,
				Position: int64(c.Entry.Position), WallTime: wallTime - c.Entry.Age, BootTime: bootTime - c.Entry.Age})
		}
		records = append(records, record)
		changes = changes[n:]
	}
	return records
}

var errUnknownFormat = errors.New("a record of another version")

func decode(record []byte, wallTime, bootTime int64) (changes []session.Change, err error) {
	if len(record)%changeRecordSize != 0 {
		return nil, errUnknownFormat
	}
	for ; len(record) > 0; record = record[changeRecordSize:] {
		var encoded changeRecord
		if _, err := binary.Decode(record, binary.LittleEndian, &encoded); err != nil || encoded.Kind > uint8(session.GatewayEnded) {
			return changes, errUnknownFormat
		}
		// The machine's clock began anew with another boot, and the day's may have been set: whichever says longer.
		age := max(0, wallTime-encoded.WallTime)
		if encoded.BootTime <= bootTime {
			age = max(age, bootTime-encoded.BootTime)
		}
		changes = append(changes, session.Change{Kind: session.ChangeKind(encoded.Kind), Peer: int(encoded.Peer), Sequence: encoded.Sequence, Epoch: encoded.Epoch,
			Entry: session.Entry{Kind: session.EntryKind(encoded.Entry), Group: int(encoded.Group), Key: encoded.Key,
				Position: session.Position(encoded.Position), Age: age}})
	}
	return changes, nil
}
