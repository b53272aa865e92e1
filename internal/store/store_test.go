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

// disk is a file system whose writes can be cut short, refused or held, over the real one.
type disk struct {
	systemFiles
	mu      sync.Mutex
	room    int64         // bytes that may still be written; below 0 there is no bound
	held    chan struct{} // writes wait until it is closed; nil is not
	writes  int
	written map[string][]byte
}

type diskFile struct {
	File
	d    *disk
	name string
}

var errFull = errors.New("no space left on device")

func (d *disk) Create(path string) (File, error) {
	f, err := d.systemFiles.Create(path)
	return &diskFile{f, d, path}, err
}

func (f *diskFile) Write(p []byte) (int, error) {
	f.d.mu.Lock()
	held := f.d.held
	f.d.mu.Unlock()
	if held != nil {
		<-held
	}
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	f.d.writes++
	if f.d.room >= 0 {
		if f.d.room < int64(len(p)) {
			n, _ := f.File.Write(p[:f.d.room])
			f.d.room = 0
			return n, errFull
		}
		f.d.room -= int64(len(p))
	}
	if f.d.written != nil {
		f.d.written[f.name] = append(f.d.written[f.name], p...)
	}
	return f.File.Write(p)
}

func (d *disk) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func open(t testing.TB, folder string, o Options) (*Store, *Recovered) {
	t.Helper()
	if o.Boot == "" {
		o.Boot = "boot-1"
	}
	s, r, err := Open(folder, o)
	if err != nil {
		t.Fatal(err)
	}
	return s, r
}

func texts(records [][]byte) string { return string(bytes.Join(records, []byte(" "))) }

// put appends and waits until it is written.
func put(s *Store, records ...string) error {
	var all [][]byte
	for _, r := range records {
		all = append(all, []byte(r))
	}
	done := make(chan error, 1)
	s.Append(all, func(err error) { done <- err })
	return <-done
}

// crash leaves a folder as the kernel would if the process were killed now: nothing is closed.
func crash(t testing.TB, from string) string {
	t.Helper()
	for { // a former segment may go while it is copied
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

func TestKeepsOverACrashAndAnEnd(t *testing.T) {
	folder := t.TempDir()
	s, r := open(t, folder, Options{})
	if len(r.Records) > 0 || r.Complete {
		t.Fatalf("%+v", r)
	}
	if err := s.Start([][]byte{[]byte("snap")}, true); err != nil {
		t.Fatal(err)
	}
	if err := put(s, "a", "b"); err != nil {
		t.Fatal(err)
	}
	after := crash(t, folder)
	r, err := Read(after, nil, "boot-1")
	if err != nil || texts(r.Records) != "snap a b" || !r.Complete || r.Clean {
		t.Fatalf("%+v %v", r, err)
	}
	// After a loss of power nothing is sure to have reached the disk.
	if r, err = Read(after, nil, "boot-2"); err != nil || r.Complete {
		t.Fatalf("%+v %v", r, err)
	}
	s.Behind()
	if r, _ = Read(crash(t, folder), nil, "boot-1"); r.Complete {
		t.Fatal("complete, though something was answered that is not written")
	}
	s.Caught()
	if _, _, err := Open(folder, Options{}); !errors.Is(err, ErrInUse) {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if r, _ = Read(folder, nil, "boot-2"); !r.Complete || !r.Clean || texts(r.Records) != "snap a b" {
		t.Fatalf("%+v", r)
	}
}

// Who answers before it has written is complete after an orderly end alone.
func TestAnswersBeforeWriting(t *testing.T) {
	folder := t.TempDir()
	s, _ := open(t, folder, Options{})
	if err := s.Start(nil, false); err != nil {
		t.Fatal(err)
	}
	_ = put(s, "a")
	if r, _ := Read(crash(t, folder), nil, "boot-1"); r.Complete {
		t.Fatal("complete after a crash")
	}
	_ = s.Close()
	if r, _ := Read(folder, nil, "boot-1"); !r.Complete {
		t.Fatal("not complete after an end")
	}
}

const chunkHead = 7 // what is shorter holds nothing of a record, and is not told

// A segment that ends at any byte gives all records that were whole by then, and tells that the rest is lacking.
func TestTornAtEveryByte(t *testing.T) {
	folder := t.TempDir()
	d := &disk{room: -1, written: map[string][]byte{}}
	s, _ := open(t, folder, Options{Files: d})
	if err := s.Start([][]byte{[]byte("snap")}, true); err != nil {
		t.Fatal(err)
	}
	name := s.seg.name
	began := len(d.written[name])
	type point struct {
		bytes int
		sum   string
	}
	points := []point{{began, "snap"}}
	sum := "snap"
	for i := range 90 { // over the end of a block of 32 KiB
		text := strings.Repeat(string(rune('a'+i%26)), 1+i*37%900)
		if err := put(s, text); err != nil {
			t.Fatal(err)
		}
		sum += " " + text
		d.set(func() { points = append(points, point{len(d.written[name]), sum}) })
	}
	all := bytes.Clone(d.written[name])
	at := 0
	for n := began; n <= len(all); n++ {
		if n > 4000 && (n < 31<<10 || n > 33<<10) && n%97 != 0 {
			continue
		}
		for at+1 < len(points) && points[at+1].bytes <= n {
			at++
		}
		if err := os.WriteFile(name, all[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		r, err := Read(folder, nil, "boot-1")
		if err != nil || texts(r.Records) != points[at].sum || r.Spoilt > 0 || (r.Torn > 0) != (n >= points[at].bytes+chunkHead) || !r.Complete {
			t.Fatalf("%d of %d bytes: torn %d, spoilt %d, complete %v, %v, %d records", n, len(all), r.Torn, r.Spoilt, r.Complete, err, len(r.Records))
		}
	}
}

// A flipped bit anywhere is found: what is read is what was written up to there, and the folder is not complete, or
// only its last records look torn.
func TestFlippedBits(t *testing.T) {
	folder := t.TempDir()
	s, _ := open(t, folder, Options{})
	if err := s.Start([][]byte{[]byte("snap")}, true); err != nil {
		t.Fatal(err)
	}
	want := map[string]bool{"snap": true}
	for i := range 50 {
		text := fmt.Sprintf("record-%d", i)
		want[text] = true
		_ = put(s, text)
	}
	name := s.seg.name
	all, _ := os.ReadFile(name)
	rapid.Check(t, func(t *rapid.T) {
		bit := rapid.IntRange(0, len(all)*8-1).Draw(t, "bit")
		bad := bytes.Clone(all)
		bad[bit/8] ^= 1 << (bit % 8)
		if err := os.WriteFile(name, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		r, err := Read(folder, nil, "boot-1")
		if err != nil {
			return // told plainly
		}
		for _, x := range r.Records {
			if !want[string(x)] {
				t.Fatalf("a record that nobody wrote: %q", x)
			}
		}
		if len(r.Records) < 51 && r.Complete && r.Torn == 0 {
			t.Fatalf("%d records, and nothing told", len(r.Records))
		}
	})
}

// A snapshot takes the place of what was before it, what comes meanwhile is in both, and a crash at any moment of it
// loses nothing.
func TestSnapshotMeanwhile(t *testing.T) {
	folder := t.TempDir()
	d := &disk{room: -1}
	s, _ := open(t, folder, Options{Files: d, MostSegment: 1})
	if err := s.Start(nil, true); err != nil {
		t.Fatal(err)
	}
	_ = put(s, "a", "b")
	held := make(chan struct{})
	s.Snapshot([][]byte{[]byte("ab")})
	_ = put(s, "c")
	_ = put(s, "d")
	d.set(func() { d.held = held })
	s.Snapshot([][]byte{[]byte("abcd")}) // held by the disk
	if r, _ := Read(crash(t, folder), nil, "boot-1"); !strings.HasSuffix(texts(r.Records), "c d") || !r.Complete {
		t.Fatalf("%+v", r)
	}
	d.set(func() { d.held = nil })
	close(held)
	_ = put(s, "e")
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	r, _ := Read(folder, nil, "boot-1")
	if got := texts(r.Records); !r.Complete || got != "abcd e" && got != "ab c d e" {
		t.Fatalf("%q %+v", got, r)
	}
	if len(r.Segments) != 1 {
		t.Fatalf("%d segments", len(r.Segments))
	}
}

// A full disk is told to each that appends, the folder is not complete meanwhile, and a snapshot that finds room again
// makes it so.
func TestDiskFull(t *testing.T) {
	folder := t.TempDir()
	d := &disk{room: -1}
	wanted := make(chan struct{}, 10)
	s, _ := open(t, folder, Options{Files: d, Wanted: func() { wanted <- struct{}{} }})
	if err := s.Start(nil, true); err != nil {
		t.Fatal(err)
	}
	d.set(func() { d.room = 5 })
	if err := put(s, "a"); !errors.Is(err, ErrUnwritten) || !errors.Is(err, errFull) {
		t.Fatal(err)
	}
	if r, _ := Read(crash(t, folder), nil, "boot-1"); r.Complete {
		t.Fatal("complete with a record lost")
	}
	d.set(func() { d.room = -1 })
	<-wanted
	s.Snapshot([][]byte{[]byte("a")})
	for put(s, "b") != nil {
		time.Sleep(time.Millisecond)
	}
	r, _ := Read(crash(t, folder), nil, "boot-1")
	if got := texts(r.Records); !r.Complete || !strings.HasPrefix(got, "a b") {
		t.Fatalf("%q %+v", got, r)
	}
	_ = s.Close()
}

// A folder of another version is refused plainly, and not touched.
func TestUnknownForm(t *testing.T) {
	folder := t.TempDir()
	s, _ := open(t, folder, Options{})
	_ = s.Start(nil, true)
	_ = s.Close()
	f, _ := os.Create(filepath.Join(folder, segmentName(9)))
	seg := &segment{file: f, out: journal.NewWriter(f)}
	_ = seg.put(recordHead, append([]byte{77}, make([]byte, 8)...))
	_ = seg.out.Close()
	if _, _, err := Open(folder, Options{}); !errors.Is(err, ErrForm) {
		t.Fatal(err)
	}
}

// vanishing is a file system in which a segment goes between being listed and being opened.
type vanishing struct {
	systemFiles
	left int
}

func (v *vanishing) Open(path string) (io.ReadCloser, error) {
	if v.left > 0 && strings.Contains(path, "segment") {
		v.left--
		return nil, &os.PathError{Op: "open", Path: path, Err: os.ErrNotExist}
	}
	return v.systemFiles.Open(path)
}

// A folder that a process has can be read while it removes a former segment; it was told as an error.
func TestReadWhileSegmentsGo(t *testing.T) {
	folder := t.TempDir()
	s, _ := open(t, folder, Options{})
	_ = s.Start([][]byte{[]byte("snap")}, true)
	defer s.Close()
	if r, err := Read(folder, &vanishing{left: 2}, "boot-1"); err != nil || texts(r.Records) != "snap" {
		t.Fatal(r, err)
	}
	if _, err := Read(folder, &vanishing{left: 100}, "boot-1"); err == nil {
		t.Fatal("a segment that can never be opened is told")
	}
}

// Whatever a segment holds, reading it ends, and gives no record with a wrong checksum.
func FuzzReadSegment(f *testing.F) {
	folder := f.TempDir()
	s, _ := open(f, folder, Options{})
	_ = s.Start([][]byte{[]byte("snap")}, true)
	_ = put(s, "a", "b")
	all, _ := os.ReadFile(s.seg.name)
	_ = s.Close()
	f.Add(all)
	f.Add(all[:len(all)/2])
	f.Fuzz(func(t *testing.T, in []byte) {
		g, err := readSegment("", "x", 1, oneFile(in))
		if err == nil && g.Records > len(in) {
			t.Fatal(g)
		}
	})
}

type oneFile []byte

func (o oneFile) Open(string) (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(o)), nil }
func (oneFile) MkdirAll(string) error                { return nil }
func (oneFile) Create(string) (File, error)          { return nil, errFull }
func (oneFile) List(string) ([]string, error)        { return nil, nil }
func (oneFile) Remove(string) error                  { return nil }
func (oneFile) SyncFolder(string) error              { return nil }
func (oneFile) Lock(string) (File, error)            { return nil, errFull }
func (oneFile) Map(string, int) ([]byte, func() error, error) {
	return nil, nil, errFull
}

func BenchmarkAppend(b *testing.B) {
	for _, each := range []int{1, 50} {
		b.Run(fmt.Sprint(each), func(b *testing.B) {
			s, _ := open(b, b.TempDir(), Options{MostSegment: 1 << 40})
			_ = s.Start(nil, true)
			records := make([][]byte, each)
			for i := range records {
				records[i] = make([]byte, 44)
			}
			for b.Loop() {
				done := make(chan error, 1)
				s.Append(records, func(err error) { done <- err })
				<-done
			}
			b.ReportMetric(float64(each)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
			_ = s.Close()
		})
	}
}
