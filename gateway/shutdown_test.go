package gateway

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"magpieglade/fleet"
	"magpieglade/internal/store"
	"magpieglade/session"
)

// blockedDisk is the operating system's file system, whose writes, once blocked is set, wait until release is closed.
type blockedDisk struct {
	store.FileSystem
	blocked atomic.Bool
	release chan bool
}

type blockedFile struct {
	store.File
	disk *blockedDisk
}

func (d *blockedDisk) Create(path string) (store.File, error) {
	f, err := d.FileSystem.Create(path)
	return &blockedFile{f, d}, err
}

func (f *blockedFile) Write(data []byte) (int, error) {
	if f.disk.blocked.Load() {
		<-f.disk.release
	}
	return f.File.Write(data)
}

// sessionTestSettings are testSettings with reads and writes of sessions, and load reports.
var sessionTestSettings = strings.NewReplacer(`"name":"once"}]`, `"name":"once"},{"effect":"repeatable","promiseMs":3000,"hardLimitMs":10000,"worth":1,"name":"session"}]`,
	`["eventual","mutate"]`, `["eventual","mutate","causal"]`, `[0,0]`, `[0,0,0]`, `"probes":false`, `"probes":true`,
	`"loadReport":{"how":"none","fields":[]}`, `"loadReport":{"how":"answers","fields":["x0","x1"]}`).Replace(testSettings)

// TestShutdownAnswersWhatWaits guards against requests that are lost at the end of a shutdown: the time by which all is to be
// answered reached only those in the decision module, not reads that wait for their floor, reads that came later, or writes
// that wait for the ledger.
func TestShutdownAnswersWhatWaits(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, class    string
		beforeShutdown bool
		floorKnown     bool
		want           string // 53300 where nothing answers, the member's row where only the disk hangs
	}{
		{"read that waits for its floor", "session", true, false, "53300"},
		{"read that comes during the shutdown and waits for its floor", "session", false, false, "53300"},
		{"read that waits for its member", "session", true, true, "53300"},
		{"read that comes during the shutdown and waits for its member", "session", false, true, "53300"},
		{"write that waits for the ledger", "once", true, false, "served by m"},
		{"write that comes during the shutdown and waits for the ledger", "once", false, false, "served by m"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			disk := &blockedDisk{FileSystem: store.System(), release: make(chan bool)}
			d, m := newScriptedServer(t), newScriptedServer(t)
			g, ended, stop := startTestGatewayWith(t, func(c *Config) {
				c.Settings = json.RawMessage(sessionTestSettings)
				c.Sessions = &fleet.SessionConfig{Session: session.DefaultConfig()}
				if test.class == "once" {
					c.Sessions.Ledger = fleet.LedgerConfig{Folder: t.TempDir(), BeforeAnswer: fleet.DurableProcess, MaxWait: int64(time.Minute), FileSystem: disk}
				}
			}, d, m.listEntry("m", "active"))
			disk.blocked.Store(true)
			hang := make(chan bool)
			t.Cleanup(func() { close(hang) })
			go m.serveUntil(hang, test.floorKnown || test.class == "once", test.floorKnown)
			c := connectClient(t, g)
			if test.floorKnown {
				c.sendTxn("session", 9000)
				if got := c.readResponse(); got != "served by m" {
					t.Fatal(got)
				}
			}
			begin := func() {
				stop()
				for shuttingDown := false; !shuttingDown; {
					g.runOnLoop(func() { shuttingDown = g.shuttingDown })
				}
			}
			if !test.beforeShutdown {
				begin()
			}
			c.sendTxn(test.class, 60000)
			if test.beforeShutdown {
				for open := 0; open == 0; {
					g.runOnLoop(func() { open = g.txns.Len() })
				}
				begin()
			}
			if got := c.readResponse(); got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
			close(disk.release) // the gateway closes its ledger before it ends
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// serveUntil answers as the primary m, with a load report, until hang is closed; then connections end. With answers false it
// answers nothing; with once true it answers one txn and no more.
func (s *scriptedServer) serveUntil(hang chan bool, answers, once bool) {
	served := make(chan bool, 1)
	for {
		select {
		case <-hang:
			return
		case e := <-s.accepted:
			go func() {
				e.readStartup()
				e.sendReady()
				for text, ok := e.readQuery(); ok && answers; text, ok = e.readQuery() {
					if text == "SHOW stats" {
						e.sendRow(fmt.Sprintf("x0=%d,x1=1", time.Now().Unix()), "read-write")
						continue
					}
					if once {
						select {
						case served <- true:
						default:
							return // it and all later ones hang
						}
					}
					e.sendRow("m", "read-write")
				}
			}()
		}
	}
}
