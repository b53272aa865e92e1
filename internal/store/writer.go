package store

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/syndtr/goleveldb/leveldb/journal"
)

// segment is the file that is appended to.
type segment struct {
	name   string
	number uint64
	file   File
	out    *journal.Writer
	bytes  int64
}

// newSegment begins a segment with a snapshot that is on the disk when it returns.
func (s *Store) newSegment(number uint64, snapshot [][]byte) (*segment, error) {
	g := &segment{name: filepath.Join(s.folder, segmentName(number)), number: number}
	var err error
	if g.file, err = s.files.Create(g.name); err != nil {
		return nil, err
	}
	g.out = journal.NewWriter(g.file)
	put := func(kind byte, text []byte) {
		if err == nil {
			err = g.put(kind, text)
		}
	}
	put(recordHead, le.AppendUint64([]byte{form}, number))
	for _, r := range snapshot {
		put(recordSnap, r)
	}
	put(recordEnd, le.AppendUint64(nil, uint64(len(snapshot))))
	if err == nil {
		err = g.out.Flush()
	}
	if err == nil {
		err = g.file.Sync()
	}
	if err == nil {
		err = s.files.SyncFolder(s.folder)
	}
	if err != nil {
		_ = g.file.Close()
		_ = s.files.Remove(g.name)
		return nil, err
	}
	g.bytes = 0
	return g, nil
}

func (g *segment) put(kind byte, text []byte) error {
	w, err := g.out.Next()
	if err != nil {
		return err
	}
	if _, err = w.Write([]byte{kind}); err == nil {
		_, err = w.Write(text)
	}
	g.bytes += int64(len(text)) + 8
	return err
}

func (g *segment) close() error {
	return errors.Join(g.out.Close(), g.file.Sync(), g.file.Close())
}

// rotate puts a new segment in the place of the present one; late is what was appended since its snapshot was made.
func (s *Store) rotate(snapshot, late [][]byte) error {
	g, err := s.newSegment(s.nextSeq, snapshot)
	s.nextSeq++
	if err != nil {
		return err
	}
	return s.changeTo(g, late)
}

// changeTo goes on in a segment and removes those before it.
func (s *Store) changeTo(g *segment, late [][]byte) error {
	for _, r := range late {
		if err := g.put(recordLate, r); err != nil {
			return err
		}
	}
	if err := g.out.Flush(); err != nil {
		return err
	}
	s.syncMu.Lock()
	old := s.seg
	s.seg = g
	s.syncMu.Unlock()
	if old != nil {
		_ = old.file.Close()
	}
	// Those before it go once all of it is on the disk, for which nobody waits.
	s.cleaning.Add(1)
	go func() {
		defer s.cleaning.Done()
		err := g.file.Sync()
		if err == nil {
			err = s.removeBefore(g.number)
		}
		if err != nil && !errors.Is(err, os.ErrClosed) {
			s.o.Log("former segments stay", err)
		}
	}()
	return nil
}

func (s *Store) removeBefore(number uint64) error {
	names, err := s.files.List(s.folder)
	for _, name := range names {
		if len(name) == len(segmentName(0)) && name[:8] == "segment-" && name < segmentName(number) {
			err = errors.Join(err, s.files.Remove(filepath.Join(s.folder, name)))
		}
	}
	return err
}

// write is the writer: it takes what is queued, all at once, until the store is closed.
func (s *Store) write() {
	defer close(s.ended)
	snapped := make(chan snapped, 1)
	for {
		s.mu.Lock()
		for len(s.queue) == 0 && !s.closing && len(snapped) == 0 {
			s.wake.Wait()
		}
		jobs, closing := s.queue, s.closing
		s.queue = nil
		s.mu.Unlock()
		select {
		case n := <-snapped:
			s.takeSnapshot(n)
		default:
		}
		s.carryOut(jobs, snapped, closing)
		if closing && len(jobs) == 0 {
			if s.snapping {
				s.takeSnapshot(<-snapped)
			}
			return
		}
	}
}

// carryOut appends records and begins snapshots in the order in which they came: what comes behind a snapshot belongs
// to both segments.
func (s *Store) carryOut(jobs []job, to chan<- snapped, closing bool) {
	wrote, n := false, uint64(0)
	for _, j := range jobs {
		if j.snapshot && !s.snapping && !closing {
			s.beginSnapshot(j.records, to)
		}
		if j.snapshot {
			continue
		}
		for _, r := range j.records {
			if s.snapping {
				s.since = append(s.since, r)
			}
			if s.failed == nil {
				s.failed = s.seg.put(recordLate, r)
				wrote = true
			}
			n++
		}
	}
	if wrote && s.failed == nil {
		if s.failed = s.seg.out.Flush(); s.failed == nil && s.o.SyncAll {
			s.failed = s.seg.file.Sync()
		}
		s.unsynced.Store(!s.o.SyncAll)
	}
	s.mu.Lock()
	if s.failed != nil {
		s.stats.Dropped += n
	} else {
		s.stats.Appended += n
	}
	if wrote {
		s.stats.Writes++
	}
	s.stats.Bytes = s.seg.bytes
	s.mu.Unlock()
	var err error
	if s.failed != nil {
		s.flags.setBehind(behindDisk, true) // before anybody hears of it
		err = errors.Join(ErrUnwritten, s.failed)
		if wrote {
			s.o.Log("records are not kept", s.failed)
		}
	}
	for _, j := range jobs {
		if j.done != nil {
			j.done(err)
		}
	}
	if (s.seg.bytes > s.o.MostSegment || s.failed != nil) && !s.snapping && !s.asked {
		s.asked = true
		if s.failed != nil {
			time.AfterFunc(time.Second, s.o.Wanted) // a full disk may have room again
		} else {
			s.o.Wanted()
		}
	}
}

// snapped is a segment that was begun beside the present one.
type snapped struct {
	g   *segment
	err error
}

func (s *Store) beginSnapshot(records [][]byte, to chan<- snapped) {
	s.snapping, s.asked = true, false
	number := s.nextSeq
	s.nextSeq++
	go func() {
		g, err := s.newSegment(number, records)
		to <- snapped{g, err}
		s.mu.Lock()
		s.wake.Signal()
		s.mu.Unlock()
	}()
}

func (s *Store) takeSnapshot(n snapped) {
	late := s.since
	s.snapping, s.since = false, nil
	err := n.err
	if err == nil {
		err = s.changeTo(n.g, late)
	}
	if err != nil {
		s.o.Log("no snapshot", err)
		if !s.asked {
			s.asked = true
			time.AfterFunc(time.Second, s.o.Wanted)
		}
		return
	}
	if s.failed != nil {
		s.failed = nil
		s.flags.setBehind(behindDisk, false) // the snapshot has all that was dropped
		s.o.Log("records are kept again", nil)
	}
	s.mu.Lock()
	s.stats.Snapshots++
	s.mu.Unlock()
}

// syncLoop brings what was written to the disk from time to time.
func (s *Store) syncLoop() {
	t := time.NewTicker(s.o.SyncEvery)
	defer t.Stop()
	for {
		select {
		case <-s.ended:
			return
		case <-t.C:
		}
		s.syncMu.Lock()
		if s.unsynced.Swap(false) {
			err := s.seg.file.Sync()
			s.mu.Lock()
			s.stats.Syncs++
			s.mu.Unlock()
			if err != nil {
				s.o.Log("not synced", err)
			}
		}
		s.syncMu.Unlock()
	}
}
