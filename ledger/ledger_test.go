package ledger

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"magpieglade/session"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func discardLog(string, error) {}

// Changes are decoded as they were encoded, with the time since then added to their ages.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wallTime, bootTime := int64(1e18), int64(1e12)
		l := &Ledger{readClocks: func() (int64, int64) { return wallTime, bootTime }}
		var changes []session.Change
		for range rapid.IntRange(0, 1200).Draw(t, "changes") {
			changes = append(changes, session.Change{Kind: session.ChangeKind(rapid.IntRange(0, int(session.EntriesLost)).Draw(t, "kind")),
				Peer: rapid.IntRange(0, 4095).Draw(t, "peer"), Sequence: rapid.Uint64().Draw(t, "no"), Epoch: rapid.Uint64().Draw(t, "epoch"),
				Entry: session.Entry{Kind: session.KeyedWriteEntry, Group: rapid.IntRange(0, 1<<16-1).Draw(t, "group"), Key: rapid.Uint64().Draw(t, "key"),
					Position: session.Position(rapid.Int64().Draw(t, "position")), Age: rapid.Int64Range(0, 1e11).Draw(t, "age")}})
		}
		var got []session.Change
		for _, r := range l.encode(changes) {
			changes, err := decode(r, wallTime+5e9, bootTime+5e9)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, changes...)
		}
		for i := range changes {
			changes[i].Entry.Age += 5e9
		}
		if len(changes) > 0 && !reflect.DeepEqual(changes, got) {
			t.Fatal("decoded changes differ from the encoded ones")
		}
	})
}

// The longer of two ages counts: after a reboot or after the wall clock was set back, a keyed write is not taken for younger
// than it is; after both, its age is lost.
func Example_ages() {
	l := &Ledger{readClocks: func() (int64, int64) { return 1000e9, 500e9 }}
	record := l.encode([]session.Change{{Kind: session.EntryReceived}})[0]
	for _, now := range [][2]int64{{1010e9, 510e9}, {900e9, 510e9}, {1010e9, 3e9}, {900e9, 3e9}} {
		decoded, _ := decode(record, now[0], now[1])
		fmt.Println(decoded[0].Entry.Age / 1e9)
	}
	_, err := decode(record[1:], 0, 0)
	fmt.Println(err)
	// Output:
	// 10
	// 10
	// 10
	// 0
	// unknown record format
}

// A session module restored from a directory after the process was killed serves answered writes without a fence.
func TestRestoreAfterKill(t *testing.T) {
	folder := t.TempDir()
	l, f, err := Open(folder, nil, func() {}, discardLog)
	if err != nil || f.Complete {
		t.Fatal(f, err)
	}
	s, _ := session.New(session.DefaultConfig(), 1, 7)
	s.TrackChanges()
	s.SetTime(1e9)
	if err := l.Start(s.Snapshot(), true); err != nil {
		t.Fatal(err)
	}
	s.AddRead(1, 0, 5, 0, false, 2e9)
	for d, ok := s.Next(); ok; d, ok = s.Next() {
		if d.Kind == session.Fence {
			s.FenceCompleted(0, d.RequestID, 100)
		}
	}
	s.RecordCommit(0, 5, 300)
	done := make(chan error)
	l.Append(s.TakeChanges(), func(err error) { done <- err })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	crashCopy := filepath.Join(t.TempDir(), "after")
	if err := os.CopyFS(crashCopy, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	for _, directory := range []string{crashCopy, folder} {
		f, err = Read(directory)
		if err != nil || !f.Complete || f.Clean != (directory == folder) {
			t.Fatalf("%+v %v", f, err)
		}
		restored, _ := session.New(session.DefaultConfig(), 2, 8)
		restored.SetTime(50e9)
		restored.Restore(f.Changes)
		restored.AddRead(2, 0, 5, 0, false, 60e9)
		if d, ok := restored.Next(); !ok || d.Kind != session.Serve || d.Floor != 300 {
			t.Fatalf("%+v", d)
		}
	}
}

// BenchmarkRecover measures the time to read a million watermarks, and their size on disk.
func BenchmarkRecover(b *testing.B) {
	folder := b.TempDir()
	l, _, err := Open(folder, nil, func() {}, discardLog)
	if err != nil {
		b.Fatal(err)
	}
	all := make([]session.Change, 1_000_000)
	for i := range all {
		all[i] = session.Change{Kind: session.EntryReceived, Entry: session.Entry{Key: uint64(i), Position: session.Position(i + 1)}}
	}
	if err := l.Start(all, true); err != nil {
		b.Fatal(err)
	}
	_ = l.Close()
	for b.Loop() {
		f, err := Read(folder)
		if err != nil || len(f.Changes) != len(all) {
			b.Fatal(err)
		}
		b.ReportMetric(float64(f.Segments[0].Bytes)/float64(len(all)), "bytes/mark")
	}
}

func BenchmarkAppend(b *testing.B) {
	for _, each := range []int{1, 50} {
		b.Run(fmt.Sprint(each), func(b *testing.B) {
			l, _, err := Open(b.TempDir(), nil, func() {}, discardLog)
			if err != nil {
				b.Fatal(err)
			}
			_ = l.Start(nil, true)
			all := make([]session.Change, each)
			b.ReportAllocs()
			for b.Loop() {
				done := make(chan error, 1)
				l.Append(all, func(err error) { done <- err })
				<-done
			}
			b.ReportMetric(float64(each)*float64(b.N)/b.Elapsed().Seconds(), "marks/s")
			_ = l.Close()
		})
	}
}
