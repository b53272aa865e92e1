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

func quiet(string, error) {}

// What is written is read as it was, and as long ago as it is.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		day, machine := int64(1e18), int64(1e12)
		l := &Ledger{now: func() (int64, int64) { return day, machine }}
		var all []session.Change
		for range rapid.IntRange(0, 1200).Draw(t, "changes") {
			all = append(all, session.Change{Kind: session.ChangeKind(rapid.IntRange(0, int(session.EntriesLost)).Draw(t, "kind")),
				Peer: rapid.IntRange(0, 4095).Draw(t, "peer"), Sequence: rapid.Uint64().Draw(t, "no"), Epoch: rapid.Uint64().Draw(t, "epoch"),
				Entry: session.Entry{Kind: session.KeyedWriteEntry, Group: rapid.IntRange(0, 1<<16-1).Draw(t, "group"), Key: rapid.Uint64().Draw(t, "key"),
					Position: session.Position(rapid.Int64().Draw(t, "position")), Age: rapid.Int64Range(0, 1e11).Draw(t, "age")}})
		}
		var got []session.Change
		for _, r := range l.word(all) {
			changes, err := read(r, day+5e9, machine+5e9)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, changes...)
		}
		for i := range all {
			all[i].Entry.Age += 5e9
		}
		if len(all) > 0 && !reflect.DeepEqual(all, got) {
			t.Fatal("not what was written")
		}
	})
}

// The longer of two ages counts: where the machine started anew, or where its day was set back, a keyed write is not
// taken for younger than it is; where both happened, its age is lost.
func Example_ages() {
	l := &Ledger{now: func() (int64, int64) { return 1000e9, 500e9 }}
	text := l.word([]session.Change{{Kind: session.EntryReceived}})[0]
	for _, now := range [][2]int64{{1010e9, 510e9}, {900e9, 510e9}, {1010e9, 3e9}, {900e9, 3e9}} {
		c, _ := read(text, now[0], now[1])
		fmt.Println(c[0].Entry.Age / 1e9)
	}
	_, err := read(text[1:], 0, 0)
	fmt.Println(err)
	// Output:
	// 10
	// 10
	// 10
	// 0
	// a record of another version
}

// A module that is restored from a folder after the process was killed serves what was answered, without a fence.
func TestRestoresAModule(t *testing.T) {
	folder := t.TempDir()
	l, f, err := Open(folder, nil, func() {}, quiet)
	if err != nil || f.Complete {
		t.Fatal(f, err)
	}
	s, _ := session.New(session.DefaultConfig(), 1, 7)
	s.TrackChanges()
	s.SetTime(1e9)
	if err := l.Began(s.Snapshot(), true); err != nil {
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
	after := filepath.Join(t.TempDir(), "after")
	if err := os.CopyFS(after, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	for _, where := range []string{after, folder} {
		f, err = Look(where)
		if err != nil || !f.Complete || f.Clean != (where == folder) {
			t.Fatalf("%+v %v", f, err)
		}
		again, _ := session.New(session.DefaultConfig(), 2, 8)
		again.SetTime(50e9)
		again.Restore(f.Changes)
		again.AddRead(2, 0, 5, 0, false, 60e9)
		if d, ok := again.Next(); !ok || d.Kind != session.Serve || d.Floor != 300 {
			t.Fatalf("%+v", d)
		}
	}
}

// A million marks: how long it takes to read them, and what they take on the disk.
func BenchmarkRecover(b *testing.B) {
	folder := b.TempDir()
	l, _, err := Open(folder, nil, func() {}, quiet)
	if err != nil {
		b.Fatal(err)
	}
	all := make([]session.Change, 1_000_000)
	for i := range all {
		all[i] = session.Change{Kind: session.EntryReceived, Entry: session.Entry{Key: uint64(i), Position: session.Position(i + 1)}}
	}
	if err := l.Began(all, true); err != nil {
		b.Fatal(err)
	}
	_ = l.Close()
	for b.Loop() {
		f, err := Look(folder)
		if err != nil || len(f.Changes) != len(all) {
			b.Fatal(err)
		}
		b.ReportMetric(float64(f.Segments[0].Bytes)/float64(len(all)), "bytes/mark")
	}
}

func BenchmarkAppend(b *testing.B) {
	for _, each := range []int{1, 50} {
		b.Run(fmt.Sprint(each), func(b *testing.B) {
			l, _, err := Open(b.TempDir(), nil, func() {}, quiet)
			if err != nil {
				b.Fatal(err)
			}
			_ = l.Began(nil, true)
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
