package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/syndtr/goleveldb/leveldb/journal"
	"pgregory.net/rapid"
)

// faultyDisk wraps the real file system; its writes can be truncated, rejected or blocked.
type faultyDisk struct {
	systemFiles
	mu      sync.Mutex
	free    int64         // bytes that may still be written; negative is unlimited
	blocked chan struct{} // writes wait until it is closed; nil doesn't block
	writes  int
	written map[string][]byte
}

type faultyFile struct {
	File
	d    *faultyDisk
	name string
}

var errFull = errors.New("no space left on device")

func (d *faultyDisk) Create(path string) (File, error) {
	f, err := d.systemFiles.Create(path)
	return &faultyFile{f, d, path}, err
}

func (f *faultyFile) Write(p []byte) (int, error) {
	f.d.mu.Lock()
	blocked := f.d.blocked
	f.d.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	f.d.writes++
	if f.d.free >= 0 {
		if f.d.free < int64(len(p)) {
			n, _ := f.File.Write(p[:f.d.free])
			f.d.free = 0
			return n, errFull
		}
		f.d.free -= int64(len(p))
	}
	if f.d.written != nil {
		f.d.written[f.name] = append(f.d.written[f.name], p...)
	}
	return f.File.Write(p)
}

func (d *faultyDisk) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func open(t testing.TB, dir string, o Options) (*Store, *Recovered) {
	t.Helper()
	if o.BootID == "" {
		o.BootID = "boot-1"
	}
	s, r, err := Open(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	return s, r
}

func joined(records [][]byte) string { return string(bytes.Join(records, []byte(" "))) }

// appendAndWait appends records and waits until they are written.
func appendAndWait(s *Store, records ...string) error {
	var all [][]byte
	for _, r := range records {
		all = append(all, []byte(r))
	}
	done := make(chan error, 1)
	s.Append(all, func(err error) { done <- err })
	return <-done
}

// copyAsAfterCrash copies a directory in the state that it would have if the process were killed now: nothing is closed.
func copyAsAfterCrash(t testing.TB, from string) string {
	t.Helper()
	for { // an old segment may be removed while it is copied
		to := filepath.Join(t.TempDir(), "after")
		err := os.CopyFS(to, os.DirFS(from))
		if err == nil {
			return to
		}
		if !errors.Is(err, os.ErrNotExist) {
			t.Fatal(err)
		}
	}
}

func TestRecordsSurviveCrashAndClose(t *testing.T) {
	dir := t.TempDir()
	s, r := open(t, dir, Options{})
	if len(r.Records) > 0 || r.Complete {
		t.Fatalf("%+v", r)
	}
	if err := s.Start([][]byte{[]byte("snap")}, true); err != nil {
		t.Fatal(err)
	}
	if err := appendAndWait(s, "a", "b"); err != nil {
		t.Fatal(err)
	}
	after := copyAsAfterCrash(t, dir)
	r, err := Read(after, nil, "boot-1")
	if err != nil || joined(r.Records) != "snap a b" || !r.Complete || r.Clean {
		t.Fatalf("%+v %v", r, err)
	}
	// After a power failure nothing is guaranteed to have reached the disk.
	if r, err = Read(after, nil, "boot-2"); err != nil || r.Complete {
		t.Fatalf("%+v %v", r, err)
	}
	s.MarkIncomplete()
	if r, _ = Read(copyAsAfterCrash(t, dir), nil, "boot-1"); r.Complete {
		t.Fatal("complete, though a response was sent whose records are not written")
	}
	s.ClearIncomplete()
	if _, _, err := Open(dir, Options{}); !errors.Is(err, ErrInUse) {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if r, _ = Read(dir, nil, "boot-2"); !r.Complete || !r.Clean || joined(r.Records) != "snap a b" {
		t.Fatalf("%+v", r)
	}
}

// A caller that responds before its records are written has a complete directory only after a clean shutdown.
func TestWriteBehindIsCompleteOnlyAfterClose(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir, Options{})
	if err := s.Start(nil, false); err != nil {
		t.Fatal(err)
	}
	_ = appendAndWait(s, "a")
	if r, _ := Read(copyAsAfterCrash(t, dir), nil, "boot-1"); r.Complete {
		t.Fatal("complete after a crash")
	}
	_ = s.Close()
	if r, _ := Read(dir, nil, "boot-1"); !r.Complete {
		t.Fatal("not complete after a clean shutdown")
	}
}

const chunkHeaderSize = 7 // in bytes; a shorter torn write holds no part of a record and is not reported

// A segment truncated at any byte yields all records that were complete by then, and reports the torn rest.
func TestTornAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	d := &faultyDisk{free: -1, written: map[string][]byte{}}
	s, _ := open(t, dir, Options{FileSystem: d})
	if err := s.Start([][]byte{[]byte("snap")}, true); err != nil {
		t.Fatal(err)
	}
	name := s.current.name
	start := len(d.written[name])
	type point struct {
		bytes   int
		records string // all records up to there
	}
	points := []point{{start, "snap"}}
	records := "snap"
	for i := range 90 { // crosses the end of a 32 KiB block
		text := strings.Repeat(string(rune('a'+i%26)), 1+i*37%900)
		if err := appendAndWait(s, text); err != nil {
			t.Fatal(err)
		}
		records += " " + text
		d.set(func() { points = append(points, point{len(d.written[name]), records}) })
	}
	all := bytes.Clone(d.written[name])
	at := 0
	for n := start; n <= len(all); n++ {
		if n > 4000 && (n < 31<<10 || n > 33<<10) && n%97 != 0 {
			continue
		}
		for at+1 < len(points) && points[at+1].bytes <= n {
			at++
		}
		if err := os.WriteFile(name, all[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		r, err := Read(dir, nil, "boot-1")
		if err != nil || joined(r.Records) != points[at].records || r.Corrupt > 0 || (r.Torn > 0) != (n >= points[at].bytes+chunkHeaderSize) || !r.Complete {
			t.Fatalf("%d of %d bytes: torn %d, corrupt %d, complete %v, %v, %d records", n, len(all), r.Torn, r.Corrupt, r.Complete, err, len(r.Records))
		}
	}
}

// A flipped bit anywhere is detected: only written records are read, and if some are missing, the directory is reported as
// incomplete or its end as torn.
func TestFlippedBits(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir, Options{})
	if err := s.Start([][]byte{[]byte("snap")}, true); err != nil {
		t.Fatal(err)
	}
	want := map[string]bool{"snap": true}
	for i := range 50 {
		text := fmt.Sprintf("record-%d", i)
		want[text] = true
		_ = appendAndWait(s, text)
	}
	name := s.current.name
	all, _ := os.ReadFile(name)
	rapid.Check(t, func(t *rapid.T) {
		bit := rapid.IntRange(0, len(all)*8-1).Draw(t, "bit")
		bad := bytes.Clone(all)
		bad[bit/8] ^= 1 << (bit % 8)
		if err := os.WriteFile(name, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		r, err := Read(dir, nil, "boot-1")
		if err != nil {
			return // reported as an error
		}
		for _, x := range r.Records {
			if !want[string(x)] {
				t.Fatalf("a record that was never written: %q", x)
			}
		}
		if len(r.Records) < 51 && r.Complete && r.Torn == 0 {
			t.Fatalf("%d records, and the loss is not reported", len(r.Records))
		}
	})
}

// A snapshot replaces all records before it. Records appended while it is written are in both segments, so that a crash
// during the snapshot loses nothing.
func TestAppendDuringSnapshot(t *testing.T) {
	dir := t.TempDir()
	d := &faultyDisk{free: -1}
	s, _ := open(t, dir, Options{FileSystem: d, MaxSegmentBytes: 1})
	if err := s.Start(nil, true); err != nil {
		t.Fatal(err)
	}
	_ = appendAndWait(s, "a", "b")
	blocked := make(chan struct{})
	s.Snapshot([][]byte{[]byte("ab")})
	_ = appendAndWait(s, "c")
	_ = appendAndWait(s, "d")
	d.set(func() { d.blocked = blocked })
	s.Snapshot([][]byte{[]byte("abcd")}) // blocked by the disk
	if r, _ := Read(copyAsAfterCrash(t, dir), nil, "boot-1"); !strings.HasSuffix(joined(r.Records), "c d") || !r.Complete {
		t.Fatalf("%+v", r)
	}
	d.set(func() { d.blocked = nil })
	close(blocked)
	_ = appendAndWait(s, "e")
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	r, _ := Read(dir, nil, "boot-1")
	if got := joined(r.Records); !r.Complete || got != "abcd e" && got != "ab c d e" {
		t.Fatalf("%q %+v", got, r)
	}
	if len(r.Segments) != 1 {
		t.Fatalf("%d segments", len(r.Segments))
	}
}

// While the disk is full, each append fails and the directory is incomplete; a snapshot that finds space again makes it
// complete.
func TestDiskFull(t *testing.T) {
	dir := t.TempDir()
	d := &faultyDisk{free: -1}
	needed := make(chan struct{}, 10)
	s, _ := open(t, dir, Options{FileSystem: d, SnapshotNeeded: func() { needed <- struct{}{} }})
	if err := s.Start(nil, true); err != nil {
		t.Fatal(err)
	}
	d.set(func() { d.free = 5 })
	if err := appendAndWait(s, "a"); !errors.Is(err, ErrNotWritten) || !errors.Is(err, errFull) {
		t.Fatal(err)
	}
	if r, _ := Read(copyAsAfterCrash(t, dir), nil, "boot-1"); r.Complete {
		t.Fatal("complete with a record lost")
	}
	d.set(func() { d.free = -1 })
	<-needed
	s.Snapshot([][]byte{[]byte("a")})
	for appendAndWait(s, "b") != nil {
		time.Sleep(time.Millisecond)
	}
	r, _ := Read(copyAsAfterCrash(t, dir), nil, "boot-1")
	if got := joined(r.Records); !r.Complete || !strings.HasPrefix(got, "a b") {
		t.Fatalf("%q %+v", got, r)
	}
	_ = s.Close()
}

// A directory of another format version is rejected with ErrUnknownFormat.
func TestUnknownFormat(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir, Options{})
	_ = s.Start(nil, true)
	_ = s.Close()
	f, _ := os.Create(filepath.Join(dir, segmentName(9)))
	seg := &segment{file: f, out: journal.NewWriter(f)}
	_ = seg.appendRecord(recordHeader, append([]byte{77}, make([]byte, 8)...))
	_ = seg.out.Close()
	if _, _, err := Open(dir, Options{}); !errors.Is(err, ErrUnknownFormat) {
		t.Fatal(err)
	}
}

// removingFiles is a file system in which a segment is removed after it was listed and before it is opened.
type removingFiles struct {
	systemFiles
	removals int // how often this still happens
}

func (v *removingFiles) Open(path string) (io.ReadCloser, error) {
	if v.removals > 0 && strings.Contains(path, "segment") {
		v.removals--
		return nil, &os.PathError{Op: "open", Path: path, Err: os.ErrNotExist}
	}
	return v.systemFiles.Open(path)
}

// Reading a directory while another process removes an old segment used to fail; it starts over instead.
func TestReadDuringSegmentRemoval(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir, Options{})
	_ = s.Start([][]byte{[]byte("snap")}, true)
	defer s.Close()
	if r, err := Read(dir, &removingFiles{removals: 2}, "boot-1"); err != nil || joined(r.Records) != "snap" {
		t.Fatal(r, err)
	}
	if _, err := Read(dir, &removingFiles{removals: 100}, "boot-1"); err == nil {
		t.Fatal("a segment that can never be opened is not reported")
	}
}

// Reading a segment terminates for any content, with no more records than bytes.
func FuzzReadSegment(f *testing.F) {
	dir := f.TempDir()
	s, _ := open(f, dir, Options{})
	_ = s.Start([][]byte{[]byte("snap")}, true)
	_ = appendAndWait(s, "a", "b")
	all, _ := os.ReadFile(s.current.name)
	_ = s.Close()
	f.Add(all)
	f.Add(all[:len(all)/2])
	f.Fuzz(func(t *testing.T, in []byte) {
		g, err := readSegment("", "x", 1, singleFile(in))
		if err == nil && g.Records > len(in) {
			t.Fatal(g)
		}
	})
}

// singleFile is a file system that reads the same content from every path and rejects writes.
type singleFile []byte

func (o singleFile) Open(string) (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(o)), nil }
func (singleFile) MkdirAll(string) error                { return nil }
func (singleFile) Create(string) (File, error)          { return nil, errFull }
func (singleFile) List(string) ([]string, error)        { return nil, nil }
func (singleFile) Remove(string) error                  { return nil }
func (singleFile) SyncDir(string) error                 { return nil }
func (singleFile) Lock(string) (File, error)            { return nil, errFull }
func (singleFile) Map(string, int) ([]byte, func() error, error) {
	return nil, nil, errFull
}

func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 50} {
		b.Run(fmt.Sprint(batch), func(b *testing.B) {
			s, _ := open(b, b.TempDir(), Options{MaxSegmentBytes: 1 << 40})
			_ = s.Start(nil, true)
			records := make([][]byte, batch)
			for i := range records {
				records[i] = make([]byte, 44)
			}
			for b.Loop() {
				done := make(chan error, 1)
				s.Append(records, func(err error) { done <- err })
				<-done
			}
			b.ReportMetric(float64(batch)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
			_ = s.Close()
		})
	}
}
