// Package store keeps records in a folder so that they outlive the process and, up to the latest sync, the machine's
// power. Records are appended to a segment in LevelDB's log format (goleveldb's journal: each chunk has a CRC-32C); a
// new segment begins with a snapshot that takes the place of all before it. Whoever appends never waits: one goroutine
// writes, another syncs, a third snapshots, and they call back.
//
// store.go has the folder, writer.go appending and snapshots, recover.go reading, flags.go what is known of the last
// run, files.go the file system, which tests replace.
package store

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Options are how a store is kept.
type Options struct {
	SyncEvery   time.Duration // how long what is appended may be without being synced
	SyncAll     bool          // what is appended is on the disk, not with the kernel alone, when done is called
	MostSegment int64         // bytes appended after which a snapshot is wanted
	Files       Files         // nil is the operating system's
	Boot        string        // what tells one run of the machine from another; empty asks the kernel
	Wanted      func()        // called, from some goroutine, when a snapshot is wanted
	Log         func(text string, err error)
}

// Store is an open folder.
type Store struct {
	folder string
	o      Options
	files  Files
	lock   File
	flags  *flags

	mu      sync.Mutex
	wake    *sync.Cond
	queue   []job
	started bool
	closing bool
	ended   chan struct{}

	// Of the writer.
	seg      *segment
	nextSeq  uint64
	since    [][]byte // appended while a snapshot is written
	snapping bool
	failed   error
	asked    bool // a snapshot was asked for and has not come
	unsynced atomic.Bool
	syncMu   sync.Mutex // held while a segment is synced or left
	cleaning sync.WaitGroup
	stats    Stats
}

// Stats count what was done.
type Stats struct {
	Appended, Dropped, Writes, Syncs, Snapshots uint64
	Bytes                                       int64 // of the present segment
}

// job is records to append, or a snapshot to take their place.
type job struct {
	records  [][]byte
	snapshot bool
	done     func(error)
}

// ErrInUse says that another process has the folder.
var ErrInUse = errors.New("the folder is in use by another process")

// ErrUnwritten says that records were not kept: the disk is full or fails.
var ErrUnwritten = errors.New("not written")

// Open takes a folder, makes it if needed, and reads what it holds. The store takes nothing before Start has given it
// a first snapshot.
func Open(folder string, o Options) (*Store, *Recovered, error) {
	if o.Files == nil {
		o.Files = systemFiles{}
	}
	if o.SyncEvery <= 0 {
		o.SyncEvery = 100 * time.Millisecond
	}
	if o.MostSegment <= 0 {
		o.MostSegment = 4 << 20
	}
	if o.Boot == "" {
		o.Boot = bootID()
	}
	if o.Log == nil {
		o.Log = func(string, error) {}
	}
	if o.Wanted == nil {
		o.Wanted = func() {}
	}
	fail := func(err error) (*Store, *Recovered, error) { return nil, nil, fmt.Errorf("%s: %w", folder, err) }
	if err := o.Files.MkdirAll(folder); err != nil {
		return fail(err)
	}
	lock, err := o.Files.Lock(filepath.Join(folder, "lock"))
	if err != nil {
		return fail(err)
	}
	r, err := Read(folder, o.Files, o.Boot)
	if err == nil {
		var f *flags
		if f, err = openFlags(filepath.Join(folder, "flags"), o.Files); err == nil {
			s := &Store{folder: folder, o: o, files: o.Files, lock: lock, flags: f, nextSeq: r.last + 1,
				ended: make(chan struct{})}
			s.wake = sync.NewCond(&s.mu)
			return s, r, nil
		}
	}
	_ = lock.Close()
	return fail(err)
}

// Start writes the first snapshot and begins to take records. It waits for the disk, so it belongs to a start. keeps
// says that whoever appends answers nothing before it is written, or says Behind.
func (s *Store) Start(snapshot [][]byte, keeps bool) error {
	if err := s.rotate(snapshot, nil); err != nil {
		return fmt.Errorf("%s: %w", s.folder, err)
	}
	s.flags.begin(s.o.Boot, keeps)
	s.started = true
	go s.write()
	go s.syncLoop()
	return nil
}

// Append queues records. done is called from the writer's goroutine once they are with the kernel, or on the disk where
// Options.SyncAll says so, or with why they are not.
func (s *Store) Append(records [][]byte, done func(error)) {
	s.enqueue(job{records: records, done: done})
}

// Snapshot queues records that take the place of all that were appended before.
func (s *Store) Snapshot(records [][]byte) { s.enqueue(job{records: records, snapshot: true}) }

func (s *Store) enqueue(j job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		if j.done != nil {
			go j.done(ErrUnwritten)
		}
		return
	}
	s.queue = append(s.queue, j)
	s.wake.Signal()
}

// Behind says at once, without the disk, that something was answered that is not written: should the process end
// before Caught is called, its folder is not complete.
func (s *Store) Behind() { s.flags.setBehind(behindAnswers, true) }

// Caught takes Behind back.
func (s *Store) Caught() { s.flags.setBehind(behindAnswers, false) }

// Counts gives what was done so far.
func (s *Store) Counts() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close writes what is queued and ends in order: the folder is complete if nothing was lost on the way.
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
	<-s.ended
	s.cleaning.Wait()
	err := s.failed
	if err == nil {
		err = s.seg.close()
	}
	if err == nil {
		s.flags.end()
	}
	return errors.Join(err, s.flags.close(), s.lock.Close())
}
