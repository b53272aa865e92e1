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

// Every record in a segment begins with what it is.
const (
	recordHead = 'h' // the form's version and the segment's number; the first
	recordSnap = 's' // part of the snapshot
	recordEnd  = 'e' // the snapshot is whole
	recordLate = 'r' // appended since
)

const form = 1

// Recovered is what a folder holds.
type Recovered struct {
	Records  [][]byte // the latest whole snapshot and what was appended since, in order
	Snapshot int      // how many of them are the snapshot's
	Clean    bool     // the last run ended in order
	Complete bool     // nothing that the last run answered is lacking
	Torn     int64    // bytes at the end of the latest segment that were not written whole
	Spoilt   int      // places before that which cannot be read
	Segments []Segment
	last     uint64
}

// Segment is one file of the folder.
type Segment struct {
	Name          string
	Number        uint64
	Records       int
	Bytes         int64
	Whole         bool // its snapshot is whole
	Torn          int64
	Spoilt        int
	records       [][]byte
	snapshot      int
	late          int
	unknownForm   bool
	headIsLacking bool
}

// ErrForm says that a folder is of another version of this program.
var ErrForm = errors.New("unknown form of the folder")

func segmentName(n uint64) string { return fmt.Sprintf("segment-%016x", n) }

// Read reads a folder and changes nothing. Of one that a process has, segments may go while it reads: it begins anew
// then.
func Read(folder string, files Files, boot string) (r *Recovered, err error) {
	for range readTries {
		if r, err = readOnce(folder, files, boot); !errors.Is(err, fs.ErrNotExist) {
			break
		}
	}
	return r, err
}

const readTries = 10

func readOnce(folder string, files Files, boot string) (*Recovered, error) {
	if files == nil {
		files = systemFiles{}
	}
	if boot == "" {
		boot = bootID()
	}
	names, err := files.List(folder)
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
		s, err := readSegment(folder, name, n, files)
		if err != nil {
			return nil, err
		}
		if s.unknownForm {
			return nil, fmt.Errorf("%s: %w", name, ErrForm)
		}
		r.Segments = append(r.Segments, s)
		r.last = n
	}
	found := false
	for _, s := range slices.Backward(r.Segments) {
		if s.Whole { // one without a whole snapshot was begun when the last run ended; what it was to replace stands
			r.Records, r.Snapshot, r.Torn = s.records, s.snapshot, s.Torn
			r.Spoilt += s.Spoilt
			found = true
			break
		}
		r.Spoilt += s.Spoilt + s.late
	}
	if f, err := files.Open(filepath.Join(folder, "flags")); err == nil {
		page, err := io.ReadAll(io.LimitReader(f, flagsSize))
		_ = f.Close()
		if err == nil {
			r.Clean, r.Complete = judge(page, boot)
		}
	}
	r.Complete = r.Complete && r.Spoilt == 0 && found && (!r.Clean || r.Torn == 0)
	return r, nil
}

// dropped counts what the journal's reader passes over.
type dropped struct {
	bytes int64
	n     int
}

func (d *dropped) Drop(err error) {
	d.n++
	var c *journal.ErrCorrupted
	if errors.As(err, &c) {
		d.bytes += int64(c.Size)
	}
}

// counter counts what is read.
type counter struct {
	r io.Reader
	n int64
}

func (c *counter) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

func readSegment(folder, name string, number uint64, files Files) (s Segment, err error) {
	s = Segment{Name: name, Number: number}
	f, err := files.Open(filepath.Join(folder, name))
	if err != nil {
		return s, err
	}
	defer f.Close()
	in, drops := &counter{r: f}, &dropped{}
	j := journal.NewReader(in, drops, false, true)
	spoiltAt, whole, cut := 0, 0, false // places dropped before the latest record; records that are whole
	for {
		one, err := j.Next()
		if err == io.EOF {
			break
		}
		var text []byte
		if err == nil {
			text, err = io.ReadAll(one)
		}
		if err != nil { // its rest is lacking
			if !errors.Is(err, io.ErrUnexpectedEOF) && !isCorrupted(err) {
				return s, err
			}
			cut = true
			continue
		}
		if len(text) == 0 {
			drops.n++
			continue
		}
		whole++
		if cut || drops.n > spoiltAt {
			s.Spoilt += max(1, drops.n-spoiltAt)
			spoiltAt, cut = drops.n, false
		}
		switch text[0] {
		case recordHead:
			if len(text) != 10 || text[1] != form {
				s.unknownForm = true
				return s, nil
			}
			s.headIsLacking = le.Uint64(text[2:]) != number
		case recordSnap:
			s.records = append(s.records, text[1:])
			s.snapshot++
		case recordEnd:
			s.Whole = s.Spoilt == 0 && !s.headIsLacking && len(text) == 9 && le.Uint64(text[1:]) == uint64(s.snapshot)
		case recordLate:
			s.late++
			s.records = append(s.records, text[1:])
		}
	}
	s.Bytes, s.Records = in.n, len(s.records)
	if cut || drops.n > spoiltAt { // nothing whole comes behind it
		s.Torn = max(1, drops.bytes)
	}
	return s, nil
}

func isCorrupted(err error) bool {
	var c *journal.ErrCorrupted
	return errors.As(err, &c) || strings.Contains(err.Error(), "journal")
}
