package store

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/syndtr/goleveldb/leveldb/journal"
)

// snapshotRetryDelay is the delay before a snapshot is requested again after a failed write or snapshot.
const snapshotRetryDelay = time.Second

// recordOverhead is the size of a record's type byte and of a journal chunk's header, in bytes.
const recordOverhead = 8

// segment is a file that is appended to.
type segment struct {
	name   string
	number uint64
	file   File
	out    *journal.Writer
	bytes  int64
}

// newSegment creates a segment with a snapshot, which is synced to the disk when newSegment returns.
func (s *Store) newSegment(number uint64, snapshot [][]byte) (*segment, error) {
	g := &segment{name: filepath.Join(s.dir, segmentName(number)), number: number}
	var err error
	if g.file, err = s.files.Create(g.name); err != nil {
		return nil, err
	}
	g.out = journal.NewWriter(g.file)
	write := func(kind byte, text []byte) {
		if err == nil {
			err = g.appendRecord(kind, text)
		}
	}
	write(recordHeader, le.AppendUint64([]byte{formatVersion}, number))
	for _, r := range snapshot {
		write(recordSnapshot, r)
	}
	write(recordSnapshotEnd, le.AppendUint64(nil, uint64(len(snapshot))))
	if err == nil {
		err = g.out.Flush()
	}
	if err == nil {
		err = g.file.Sync()
	}
	if err == nil {
		err = s.files.SyncDir(s.dir)
	}
	if err != nil {
		_ = g.file.Close()
		_ = s.files.Remove(g.name)
		return nil, err
	}
	g.bytes = 0
	return g, nil
}

func (g *segment) appendRecord(kind byte, text []byte) error {
	w, err := g.out.Next()
	if err != nil {
		return err
	}
	if _, err = w.Write([]byte{kind}); err == nil {
		_, err = w.Write(text)
	}
	g.bytes += int64(len(text)) + recordOverhead
	return err
}

func (g *segment) close() error {
	return errors.Join(g.out.Close(), g.file.Sync(), g.file.Close())
}

// rotate replaces the current segment with a new one; sinceSnapshot holds the records appended after its snapshot was taken.
func (s *Store) rotate(snapshot, sinceSnapshot [][]byte) error {
	g, err := s.newSegment(s.nextSegment, snapshot)
	s.nextSegment++
	if err != nil {
		return err
	}
	return s.switchTo(g, sinceSnapshot)
}

// switchTo makes a segment the current one and removes earlier segments.
func (s *Store) switchTo(g *segment, sinceSnapshot [][]byte) error {
	for _, r := range sinceSnapshot {
		if err := g.appendRecord(recordAppended, r); err != nil {
			return err
		}
	}
	if err := g.out.Flush(); err != nil {
		return err
	}
	s.syncMu.Lock()
	old := s.current
	s.current = g
	s.syncMu.Unlock()
	if old != nil {
		_ = old.file.Close()
	}
	// Earlier segments are removed once the new one is synced. This happens in the background, as nothing waits for it.
	s.removals.Add(1)
	go func() {
		defer s.removals.Done()
		err := g.file.Sync()
		if err == nil {
			err = s.removeBefore(g.number)
		}
		if err != nil && !errors.Is(err, os.ErrClosed) {
			s.options.Log("cannot remove old segments", err)
		}
	}()
	return nil
}

func (s *Store) removeBefore(number uint64) error {
	names, err := s.files.List(s.dir)
	for _, name := range names {
		if len(name) == len(segmentName(0)) && name[:8] == "segment-" && name < segmentName(number) {
			err = errors.Join(err, s.files.Remove(filepath.Join(s.dir, name)))
		}
	}
	return err
}

// write is the writer's loop: it processes all queued jobs at once, until the store is closed.
func (s *Store) write() {
	defer close(s.writerDone)
	results := make(chan snapshotResult, 1)
	for {
		s.mu.Lock()
		for len(s.queue) == 0 && !s.closing && len(results) == 0 {
			s.wake.Wait()
		}
		jobs, closing := s.queue, s.closing
		s.queue = nil
		s.mu.Unlock()
		select {
		case r := <-results:
			s.finishSnapshot(r)
		default:
		}
		s.process(jobs, results, closing)
		if closing && len(jobs) == 0 {
			if s.snapshotRunning {
				s.finishSnapshot(<-results)
			}
			return
		}
	}
}

// process appends records and starts snapshots in the order of the queue. Records that follow a snapshot are written to
// both the current segment and the new one.
func (s *Store) process(jobs []job, results chan<- snapshotResult, closing bool) {
	wrote, n := false, uint64(0)
	for _, j := range jobs {
		if j.snapshot && !s.snapshotRunning && !closing {
			s.startSnapshot(j.records, results)
		}
		if j.snapshot {
			continue
		}
		for _, r := range j.records {
			if s.snapshotRunning {
				s.sinceSnapshot = append(s.sinceSnapshot, r)
			}
			if s.writeErr == nil {
				s.writeErr = s.current.appendRecord(recordAppended, r)
				wrote = true
			}
			n++
		}
	}
	if wrote && s.writeErr == nil {
		if s.writeErr = s.current.out.Flush(); s.writeErr == nil && s.options.SyncOnAppend {
			s.writeErr = s.current.file.Sync()
		}
		s.unsynced.Store(!s.options.SyncOnAppend)
	}
	s.mu.Lock()
	if s.writeErr != nil {
		s.stats.Dropped += n
	} else {
		s.stats.Appended += n
	}
	if wrote {
		s.stats.Writes++
	}
	s.stats.Bytes = s.current.bytes
	s.mu.Unlock()
	var err error
	if s.writeErr != nil {
		s.flags.setIncomplete(incompleteWrites, true) // before any caller is notified
		err = errors.Join(ErrNotWritten, s.writeErr)
		if wrote {
			s.options.Log("records are not kept", s.writeErr)
		}
	}
	for _, j := range jobs {
		if j.done != nil {
			j.done(err)
		}
	}
	if (s.current.bytes > s.options.MaxSegmentBytes || s.writeErr != nil) && !s.snapshotRunning && !s.snapshotRequested {
		s.snapshotRequested = true
		if s.writeErr != nil {
			time.AfterFunc(snapshotRetryDelay, s.options.SnapshotNeeded) // a full disk may have space again by then
		} else {
			s.options.SnapshotNeeded()
		}
	}
}

// snapshotResult is a segment that was created while the current one was written to.
type snapshotResult struct {
	segment *segment
	err     error
}

func (s *Store) startSnapshot(records [][]byte, results chan<- snapshotResult) {
	s.snapshotRunning, s.snapshotRequested = true, false
	number := s.nextSegment
	s.nextSegment++
	go func() {
		g, err := s.newSegment(number, records)
		results <- snapshotResult{g, err}
		s.mu.Lock()
		s.wake.Signal()
		s.mu.Unlock()
	}()
}

func (s *Store) finishSnapshot(r snapshotResult) {
	sinceSnapshot := s.sinceSnapshot
	s.snapshotRunning, s.sinceSnapshot = false, nil
	err := r.err
	if err == nil {
		err = s.switchTo(r.segment, sinceSnapshot)
	}
	if err != nil {
		s.options.Log("snapshot failed", err)
		if !s.snapshotRequested {
			s.snapshotRequested = true
			time.AfterFunc(snapshotRetryDelay, s.options.SnapshotNeeded)
		}
		return
	}
	if s.writeErr != nil {
		s.writeErr = nil
		s.flags.setIncomplete(incompleteWrites, false) // the snapshot includes all dropped records
		s.options.Log("records are kept again", nil)
	}
	s.mu.Lock()
	s.stats.Snapshots++
	s.mu.Unlock()
}

// syncLoop syncs written records to the disk at the sync interval.
func (s *Store) syncLoop() {
	t := time.NewTicker(s.options.SyncInterval)
	defer t.Stop()
	for {
		select {
		case <-s.writerDone:
			return
		case <-t.C:
		}
		s.syncMu.Lock()
		if s.unsynced.Swap(false) {
			err := s.current.file.Sync()
			s.mu.Lock()
			s.stats.Syncs++
			s.mu.Unlock()
			if err != nil {
				s.options.Log("sync failed", err)
			}
		}
		s.syncMu.Unlock()
	}
}
