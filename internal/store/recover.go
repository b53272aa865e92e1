package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"github.com/syndtr/goleveldb/leveldb/journal"
)

var (
	le         = binary.LittleEndian
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// The first byte of every record in a segment is its type.
const (
	recordHeader      = 'h' // the format version and the segment's number; the first record
	recordSnapshot    = 's' // a record of the snapshot
	recordSnapshotEnd = 'e' // the snapshot is complete
	recordAppended    = 'r' // appended after the snapshot
)

const formatVersion = 1

// Recovered holds the contents of a directory.
type Recovered struct {
	Records         [][]byte // the latest complete snapshot and the records appended after it, in order
	SnapshotRecords int      // how many of the records belong to the snapshot
	Clean           bool     // the last run was shut down cleanly
	Complete        bool     // no record is missing for which the last run sent a response
	Torn            int64    // bytes of a partial write at the end of the latest segment
	Corrupt         int      // unreadable places before that
	Segments        []Segment
	lastSegment     uint64
}

// Segment is one file of the directory.
type Segment struct {
	Name             string
	Number           uint64
	Records          int
	Bytes            int64
	SnapshotComplete bool
	Torn             int64 // bytes of a partial write at its end
	Corrupt          int   // unreadable places before that
	records          [][]byte
	snapshotRecords  int
	appendedRecords  int
	unknownFormat    bool
	wrongNumber      bool // its header has another number than its name
}

// ErrUnknownFormat reports that another version of this program wrote the directory, whose segments are then left as they
// are.
var ErrUnknownFormat = errors.New("unknown format version")

func segmentName(n uint64) string { return fmt.Sprintf("segment-%016x", n) }

// Read reads a directory and changes nothing. Another process that has the directory open may remove segments meanwhile;
// reading then starts over.
func Read(dir string, files FileSystem, boot string) (r *Recovered, err error) {
	for range maxReadAttempts {
		if r, err = readOnce(dir, files, boot); !errors.Is(err, fs.ErrNotExist) {
			break
		}
	}
	return r, err
}

const maxReadAttempts = 10

func readOnce(dir string, files FileSystem, boot string) (*Recovered, error) {
	if files == nil {
		files = systemFiles{}
	}
	if boot == "" {
		boot = bootID()
	}
	names, err := files.List(dir)
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	r := new(Recovered)
	for _, name := range names {
		var n uint64
		if _, err := fmt.Sscanf(name, "segment-%016x", &n); err != nil || name != segmentName(n) {
			continue
		}
		s, err := readSegment(dir, name, n, files)
		if err != nil {
			return nil, err
		}
		if s.unknownFormat {
			return nil, fmt.Errorf("%s: %w", name, ErrUnknownFormat)
		}
		r.Segments = append(r.Segments, s)
		r.lastSegment = n
	}
	found := false
	for _, s := range slices.Backward(r.Segments) {
		// The last run ended before it finished a segment without a complete snapshot; the segment before that is still valid.
		if s.SnapshotComplete {
			r.Records, r.SnapshotRecords, r.Torn = s.records, s.snapshotRecords, s.Torn
			r.Corrupt += s.Corrupt
			found = true
			break
		}
		r.Corrupt += s.Corrupt + s.appendedRecords
	}
	if f, err := files.Open(filepath.Join(dir, "flags")); err == nil {
		page, err := io.ReadAll(io.LimitReader(f, flagsSize))
		_ = f.Close()
		if err == nil {
			r.Clean, r.Complete = lastRun(page, boot)
		}
	}
	r.Complete = r.Complete && r.Corrupt == 0 && found && (!r.Clean || r.Torn == 0)
	return r, nil
}

// dropCounter counts what the journal's reader skips.
type dropCounter struct {
	bytes int64
	n     int
}

func (d *dropCounter) Drop(err error) {
	d.n++
	var c *journal.ErrCorrupted
	if errors.As(err, &c) {
		d.bytes += int64(c.Size)
	}
}

// countingReader counts the bytes read.
type countingReader struct {
	r io.Reader
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

func readSegment(dir, name string, number uint64, files FileSystem) (s Segment, err error) {
	s = Segment{Name: name, Number: number}
	f, err := files.Open(filepath.Join(dir, name))
	if err != nil {
		return s, err
	}
	defer f.Close()
	in, drops := &countingReader{r: f}, &dropCounter{}
	j := journal.NewReader(in, drops, false, true)
	reportedDrops, truncated := 0, false // drops before the latest complete record; a partial record since then
	for {
		record, err := j.Next()
		if err == io.EOF {
			break
		}
		var text []byte
		if err == nil {
			text, err = io.ReadAll(record)
		}
		if err != nil { // the rest of the record is missing
			if !errors.Is(err, io.ErrUnexpectedEOF) && !isCorrupted(err) {
				return s, err
			}
			truncated = true
			continue
		}
		if len(text) == 0 {
			drops.n++
			continue
		}
		if truncated || drops.n > reportedDrops {
			s.Corrupt += max(1, drops.n-reportedDrops)
			reportedDrops, truncated = drops.n, false
		}
		switch text[0] {
		case recordHeader:
			if len(text) != 10 || text[1] != formatVersion {
				s.unknownFormat = true
				return s, nil
			}
			s.wrongNumber = le.Uint64(text[2:]) != number
		case recordSnapshot:
			s.records = append(s.records, text[1:])
			s.snapshotRecords++
		case recordSnapshotEnd:
			s.SnapshotComplete = s.Corrupt == 0 && !s.wrongNumber && len(text) == 9 && le.Uint64(text[1:]) == uint64(s.snapshotRecords)
		case recordAppended:
			s.appendedRecords++
			s.records = append(s.records, text[1:])
		}
	}
	s.Bytes, s.Records = in.n, len(s.records)
	if truncated || drops.n > reportedDrops { // no complete record follows
		s.Torn = max(1, drops.bytes)
	}
	return s, nil
}

func isCorrupted(err error) bool {
	var c *journal.ErrCorrupted
	return errors.As(err, &c) || strings.Contains(err.Error(), "journal")
}
