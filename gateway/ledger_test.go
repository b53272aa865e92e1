package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	hosted "magpieglade/fleet"
	"magpieglade/gateway"
	"magpieglade/internal/store"
	"magpieglade/ledger"
	"magpieglade/session"
	"magpieglade/standin"
)

// blockingDisk is the operating system's file system with writes that block or fail on demand.
type blockingDisk struct {
	store.FileSystem
	mu      sync.Mutex
	blocked chan struct{}
	full    bool
}

type blockingFile struct {
	store.File
	d *blockingDisk
}

func (d *blockingDisk) Create(path string) (store.File, error) {
	f, err := d.FileSystem.Create(path)
	return blockingFile{f, d}, err
}

func (f blockingFile) Write(p []byte) (int, error) {
	f.d.mu.Lock()
	held, full := f.d.blocked, f.d.full
	f.d.mu.Unlock()
	if held != nil {
		<-held
	}
	if full {
		return 0, fmt.Errorf("no space left on device")
	}
	return f.File.Write(p)
}

func (d *blockingDisk) update(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// captureLog returns a logger and the lines that are logged to it.
func captureLog() (*slog.Logger, <-chan string) {
	r, w := io.Pipe()
	lines := make(chan string, 10000)
	go func() {
		for s := bufio.NewScanner(r); s.Scan(); {
			lines <- s.Text()
		}
	}()
	return slog.New(slog.NewTextHandler(w, nil)), lines
}

func awaitLine(t *testing.T, lines <-chan string, text string) {
	t.Helper()
	for {
		select {
		case l := <-lines:
			if strings.Contains(l, text) {
				return
			}
		case <-time.After(eventTimeout):
			t.Fatalf("%q was not logged", text)
		}
	}
}

// runInProcess runs a gateway in the test's process.
func runInProcess(t *testing.T, log *slog.Logger, plan *hosted.SessionConfig, members ...*standin.Member) (address string) {
	address, _, _ = runInProcessWith(t, func(c *gateway.Config) { c.Sessions, c.Log = plan, log }, members...)
	return address
}

func runInProcessWith(t testing.TB, change func(*gateway.Config), members ...*standin.Member) (address string, g *gateway.Gateway, list *standin.List) {
	var hosts []standin.Host
	for _, m := range members {
		hosts = append(hosts, m.ListEntry("active"))
	}
	list = standin.NewList(hosts...)
	t.Cleanup(list.Close)
	var c gateway.Config
	text, err := json.Marshal(map[string]any{"name": "e", "listen": freePort("tcp4", "127.0.0.4"), "discovery": list.Address(),
		"seed": "1", "limits": map[string]any{"memory_mb": 192, "sockets": 256}, "known": list.Snapshot(),
		"settings": json.RawMessage(settings)})
	must(err)
	must(json.Unmarshal(text, &c))
	change(&c)
	g, err = gateway.New(c)
	must(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return c.Listen.String(), g, list
}

func ledgerComplete(t *testing.T, folder string) bool {
	t.Helper()
	for { // an old segment may be deleted while the folder is copied
		after := t.TempDir() + "/after"
		if err := os.CopyFS(after, os.DirFS(folder)); errors.Is(err, os.ErrNotExist) {
			continue
		} else {
			must(err)
		}
		f, err := ledger.Read(after)
		must(err)
		return f.Complete
	}
}

// A slow disk delays an answer for MaxWait and no longer; from then on the ledger is incomplete, which it records without
// writing to the disk, until it has caught up. A full disk has the same effect, and is logged.
func TestSlowAndFullDisk(t *testing.T) {
	log, lines := captureLog()
	_, members := newGroup(0, 1)
	d := &blockingDisk{FileSystem: store.System()}
	plan := &hosted.SessionConfig{Session: session.DefaultConfig(), Ledger: hosted.LedgerConfig{Folder: t.TempDir(),
		BeforeAnswer: hosted.DurableProcess, MaxWait: int64(50 * time.Millisecond)}}
	plan.Ledger.FileSystem = d
	address := runInProcess(t, log, plan, members...)
	awaitLine(t, lines, "listening")
	c := standin.NewClientPool(address).NewClient("fe01", txnTypes)
	defer c.Close()
	if a := c.Write(0, "s1", "1"); a.String() != "served 1" || !ledgerComplete(t, plan.Ledger.Folder) {
		t.Fatal(a)
	}
	held := make(chan struct{})
	d.update(func() { d.blocked = held })
	a := c.Write(0, "s2", "2")
	if a.String() != "served 2" || a.Latency < 50*time.Millisecond || a.Latency > time.Second {
		t.Fatal(a, a.Latency)
	}
	awaitLine(t, lines, "now=true span_ms")
	if ledgerComplete(t, plan.Ledger.Folder) {
		t.Fatal("complete, though an answer went out that is not written")
	}
	d.update(func() { d.blocked = nil })
	close(held)
	awaitLine(t, lines, "now=false span_ms")
	if !ledgerComplete(t, plan.Ledger.Folder) {
		t.Fatal("not complete, though all is written")
	}
	d.update(func() { d.full = true })
	if a := c.Write(0, "s3", "3"); a.String() != "served 3" {
		t.Fatal(a)
	}
	awaitLine(t, lines, "records are not kept")
	if ledgerComplete(t, plan.Ledger.Folder) {
		t.Fatal("complete with a full disk")
	}
	d.update(func() { d.full = false })
	awaitLine(t, lines, "records are kept again")
	if !ledgerComplete(t, plan.Ledger.Folder) {
		t.Fatal("not complete after the snapshot")
	}
	if a := c.Read(0); a.String() != "served 3" {
		t.Fatal(a)
	}
	// The record of an early answer fails to be written: the snapshot that contains it must end the state "behind" as well, which
	// once stayed forever.
	held = make(chan struct{})
	d.update(func() { d.blocked, d.full = held, true })
	if a := c.Write(0, "s4", "4"); a.String() != "served 4" {
		t.Fatal(a)
	}
	awaitLine(t, lines, "now=true span_ms")
	d.update(func() { d.blocked = nil })
	close(held)
	awaitLine(t, lines, "records are not kept")
	d.update(func() { d.full = false })
	awaitLine(t, lines, "now=false span_ms")
	pollUntil(func() bool { return ledgerComplete(t, plan.Ledger.Folder) })
}

// A gateway does not start with a ledger folder that another process uses.
func TestLedgerInUse(t *testing.T) {
	folder := t.TempDir()
	l, _, err := ledger.Open(folder, nil, func() {}, func(string, error) {})
	must(err)
	defer l.Close()
	var c gateway.Config
	must(json.Unmarshal([]byte(`{"name":"e","listen":"127.0.0.4:1","discovery":"127.0.0.1:1","seed":"1","limits":{"memory_mb":192,"sockets":256}}`), &c))
	c.Settings = json.RawMessage(settings)
	c.Listen = netip.MustParseAddrPort(freePort("tcp4", "127.0.0.4"))
	c.Sessions = &hosted.SessionConfig{Session: session.DefaultConfig(), Ledger: hosted.LedgerConfig{Folder: folder}}
	g, err := gateway.New(c)
	must(err)
	if err := g.Run(context.Background()); err == nil || !strings.Contains(err.Error(), "in use by another process") {
		t.Fatal(err)
	}
}
