// Package ledger persists the state of the session module over a restart by storing its changes. It encodes the changes,
// restores their ages, and reports whether the recovered state is complete.
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

// Ledger is an open ledger directory. Append and Snapshot never block; they and Start must be called from one goroutine.
type Ledger struct {
	store      *store.Store
	readClocks clockFunc
}

// clockFunc returns the wall-clock time and the time since boot, which cannot be set, in nanoseconds.
type clockFunc func() (wallTime, bootTime int64)

func readClocks() (wallTime, bootTime int64) {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Now().UnixNano(), t.Nano()
}

// Recovered is the content of a ledger directory.
type Recovered struct {
	Changes        []session.Change
	Complete       bool  // nothing that the last run answered is missing
	Clean          bool  // the last run was shut down cleanly
	TornBytes      int64 // incompletely written at the end
	Corrupt        int   // damaged places
	Segments       []store.Segment
	UnknownRecords int // records of another format version
}

// DefaultMaxWait is how long an answer waits at most for its change to be written, in nanoseconds. It is far longer than a
// write to the kernel takes and far shorter than any SLA target.
const DefaultMaxWait = int64(20e6)

// FileSystem is the file system that holds a ledger.
type FileSystem = store.FileSystem

// Open opens a directory and recovers its content. A nil fileSystem is that of the operating system. snapshotNeeded and log
// may be called from any goroutine: snapshotNeeded when a snapshot is needed; log with each error, and with a nil error once
// writes succeed again.
func Open(directory string, fileSystem FileSystem, snapshotNeeded func(), log func(string, error)) (*Ledger, *Recovered, error) {
	s, r, err := store.Open(directory, store.Options{FileSystem: fileSystem, SnapshotNeeded: snapshotNeeded, Log: log})
	if err != nil {
		return nil, nil, fmt.Errorf("ledger: %w", err)
	}
	l := &Ledger{s, readClocks}
	return l, recoverChanges(r, l.readClocks), nil
}

// Read reads a directory without changing it; a gateway may have it open.
func Read(directory string) (*Recovered, error) {
	r, err := store.Read(directory, nil, "")
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	return recoverChanges(r, readClocks), nil
}

func recoverChanges(r *store.Recovered, readClocks clockFunc) *Recovered {
	recovered := &Recovered{Complete: r.Complete, Clean: r.Clean, TornBytes: r.Torn, Corrupt: r.Corrupt, Segments: r.Segments}
	wallTime, bootTime := readClocks()
	for _, record := range r.Records {
		changes, err := decode(record, wallTime, bootTime)
		if err != nil {
			recovered.UnknownRecords++
			recovered.Complete = false
		}
		recovered.Changes = append(recovered.Changes, changes...)
	}
	return recovered
}

// Start writes the initial state of a run and blocks until it is written. writeAhead promises that no answer is sent before
// its change is written, unless MarkIncomplete is called first.
func (l *Ledger) Start(state []session.Change, writeAhead bool) error {
	return l.store.Start(l.encode(state), writeAhead)
}

// Append queues changes. done, which may be nil, is called from another goroutine once they are passed to the kernel, or with
// the error that prevented it.
func (l *Ledger) Append(changes []session.Change, done func(error)) {
	l.store.Append(l.encode(changes), done)
}

// Snapshot queues a state that replaces everything written before.
func (l *Ledger) Snapshot(state []session.Change) { l.store.Snapshot(l.encode(state)) }

// MarkIncomplete records immediately that an answer was sent whose change is not written; ClearIncomplete reverts it.
func (l *Ledger) MarkIncomplete() { l.store.MarkIncomplete() }

// ClearIncomplete records that all answered changes are written again.
func (l *Ledger) ClearIncomplete() { l.store.ClearIncomplete() }

// Close shuts the ledger down cleanly.
func (l *Ledger) Close() error { return l.store.Close() }

// Stats returns counters of the underlying store.
func (l *Ledger) Stats() store.Stats { return l.store.Stats() }

// changeRecord is the stored format of a change, little-endian. An age is stored as the times at which it was 0.
type changeRecord struct {
	Kind, Entry        uint8
	Peer, Group        uint16
	Sequence, Epoch    uint64
	Key                uint64
	Position           int64
	WallTime, BootTime int64
}

var changeRecordSize = binary.Size(changeRecord{})

// changesPerRecord bounds the changes in a record: a checksum for each change would cost as much as the change.
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

var errUnknownFormat = errors.New("unknown record format")

func decode(record []byte, wallTime, bootTime int64) (changes []session.Change, err error) {
	if len(record)%changeRecordSize != 0 {
		return nil, errUnknownFormat
	}
	for ; len(record) > 0; record = record[changeRecordSize:] {
		var encoded changeRecord
		if _, err := binary.Decode(record, binary.LittleEndian, &encoded); err != nil || encoded.Kind > uint8(session.GatewayEnded) {
			return changes, errUnknownFormat
		}
		// The boot time restarts from 0 with another boot, and the wall clock may have been set: use the longer age.
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
