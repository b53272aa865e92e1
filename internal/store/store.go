// Package store is an append-only log in a directory. Its records survive the process and, up to the last sync, a power
// failure. Records are appended to a segment in LevelDB's log format (goleveldb's journal: each chunk has a CRC-32C); a new
// segment begins with a snapshot that supersedes all earlier segments. Appending never blocks: one goroutine writes,
// another syncs, a third writes snapshots, and completion is reported by callback.
//
// store.go has the API, writer.go appending and snapshots, recover.go reading, flags.go how the last run ended, files.go
// the file system, which tests replace.
package store

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Options configure a store.
type Options struct {
	SyncInterval    time.Duration // maximum time before appended records are synced
	SyncOnAppend    bool          // records are on the disk, not only in the kernel's cache, when done is called
	MaxSegmentBytes int64         // bytes appended after which a snapshot is needed
	FileSystem      FileSystem    // nil is the operating system's
	BootID          string        // identifies the boot of the machine; empty asks the kernel
	SnapshotNeeded  func()        // called, from some goroutine, when a snapshot is needed
	Log             func(text string, err error)
}

// Store is an open directory.
type Store struct {
	dir     string
	options Options
	files   FileSystem
	lock    File
	flags   *flags

	mu         sync.Mutex
	wake       *sync.Cond
	queue      []job
	started    bool
	closing    bool
	writerDone chan struct{}

	// Owned by the writer.
	current           *segment
	nextSegment       uint64
	sinceSnapshot     [][]byte // records appended while a snapshot is written
	snapshotRunning   bool
	writeErr          error
	snapshotRequested bool // a snapshot was requested and has not arrived
	unsynced          atomic.Bool
	syncMu            sync.Mutex // held while a segment is synced or replaced
	removals          sync.WaitGroup
	stats             Stats
}

// Stats counts operations.
type Stats struct {
	Appended, Dropped, Writes, Syncs, Snapshots uint64
	Bytes                                       int64 // of the current segment
}

// job is a list of records to append, or a snapshot that replaces them.
type job struct {
	records  [][]byte
	snapshot bool
	done     func(error)
}

// ErrInUse reports that another process has locked the directory.
var ErrInUse = errors.New("the directory is in use by another process")

// ErrNotWritten reports that records were not stored: the disk is full or fails.
var ErrNotWritten = errors.New("not written")

// Open locks a directory, creates it if needed, and reads its records. The store accepts no records before Start.
func Open(dir string, o Options) (*Store, *Recovered, error) {
	if o.FileSystem == nil {
		o.FileSystem = systemFiles{}
	}
	if o.SyncInterval <= 0 {
		o.SyncInterval = 100 * time.Millisecond
	}
	if o.MaxSegmentBytes <= 0 {
		o.MaxSegmentBytes = 4 << 20
	}
	if o.BootID == "" {
		o.BootID = bootID()
	}
	if o.Log == nil {
		o.Log = func(string, error) {}
	}
	if o.SnapshotNeeded == nil {
		o.SnapshotNeeded = func() {}
	}
	fail := func(err error) (*Store, *Recovered, error) { return nil, nil, fmt.Errorf("%s: %w", dir, err) }
	if err := o.FileSystem.MkdirAll(dir); err != nil {
		return fail(err)
	}
	lock, err := o.FileSystem.Lock(filepath.Join(dir, "lock"))
	if err != nil {
		return fail(err)
	}
	r, err := Read(dir, o.FileSystem, o.BootID)
	if err == nil {
		var f *flags
		if f, err = openFlags(filepath.Join(dir, "flags"), o.FileSystem); err == nil {
			s := &Store{dir: dir, options: o, files: o.FileSystem, lock: lock, flags: f, nextSegment: r.lastSegment + 1,
				writerDone: make(chan struct{})}
			s.wake = sync.NewCond(&s.mu)
			return s, r, nil
		}
	}
	_ = lock.Close()
	return fail(err)
}

// Start writes the first snapshot and starts accepting records. It waits for the disk, so it should be called at startup.
// writeAhead promises that the caller sends no response before its records are written, or calls MarkIncomplete first.
func (s *Store) Start(snapshot [][]byte, writeAhead bool) error {
	if err := s.rotate(snapshot, nil); err != nil {
		return fmt.Errorf("%s: %w", s.dir, err)
	}
	s.flags.begin(s.options.BootID, writeAhead)
	s.started = true
	go s.write()
	go s.syncLoop()
	return nil
}

// Append queues records. done is called from the writer's goroutine once they are in the kernel's cache, or on the disk
// with Options.SyncOnAppend, or with the error that prevented it.
func (s *Store) Append(records [][]byte, done func(error)) {
	s.enqueue(job{records: records, done: done})
}

// Snapshot queues records that replace all records appended before.
func (s *Store) Snapshot(records [][]byte) { s.enqueue(job{records: records, snapshot: true}) }

func (s *Store) enqueue(j job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		if j.done != nil {
			go j.done(ErrNotWritten)
		}
		return
	}
	s.queue = append(s.queue, j)
	s.wake.Signal()
}

// MarkIncomplete records at once, without disk I/O, that a response was sent whose records are not written: if the process
// ends before ClearIncomplete is called, the directory is not complete.
func (s *Store) MarkIncomplete() { s.flags.setIncomplete(incompleteResponses, true) }

// ClearIncomplete undoes MarkIncomplete.
func (s *Store) ClearIncomplete() { s.flags.setIncomplete(incompleteResponses, false) }

// Stats returns the statistics since Open.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close writes the queued records and shuts down cleanly: the directory is complete if no record was lost before.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return nil
	}
	s.closing = true
	if !s.started {
		s.mu.Unlock()
		return errors.Join(s.flags.close(), s.lock.Close())
	}
	s.wake.Signal()
	s.mu.Unlock()
	<-s.writerDone
	s.removals.Wait()
	err := s.writeErr
	if err == nil {
		err = s.current.close()
	}
	if err == nil {
		s.flags.end()
	}
	return errors.Join(err, s.flags.close(), s.lock.Close())
}
