package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"

	"magpieglade/rollout"
	"magpieglade/routes"
)

// ChangeFolder says where changes outlive the process.
type ChangeStore struct {
	Path  string
	Parse func(text []byte) (*routes.Document, error) // of a change's text
}

// keptFile is the one file of the folder: a checksum in hexadecimal, a line's end, and this as JSON. It is replaced as
// a whole, so that any end of the process leaves the former or the new one.
type changeFile struct {
	Form   int
	State  rollout.State
	Next   rollout.Generation // the highest number that was given
	Digest uint64             // of the kept text
	Text   []byte             // of the kept change; nil is all as the platform says
}

const changeFileFormat = 1

var errDamagedChangeFile = errors.New("the file of kept changes is damaged or of another version")

func (f *ChangeStore) file() string { return filepath.Join(f.Path, "kept.json") }

// read gives what the last run left; nothing at a first start.
func (f *ChangeStore) load() (k changeFile, err error) {
	text, err := os.ReadFile(f.file())
	if errors.Is(err, fs.ErrNotExist) {
		return changeFile{Form: changeFileFormat}, nil
	}
	if err != nil {
		return k, err
	}
	sum, body, ok := bytes.Cut(text, []byte("\n"))
	if !ok || string(sum) != checksum(body) {
		return k, errDamagedChangeFile
	}
	if err := json.Unmarshal(body, &k); err != nil || k.Form != changeFileFormat {
		return k, errDamagedChangeFile
	}
	return k, nil
}

func checksum(body []byte) string {
	return fmt.Sprintf("%08x", crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
}

// write replaces the file; it is on the disk when it returns.
func (f *ChangeStore) save(k changeFile) error {
	k.Form = changeFileFormat
	body, err := json.Marshal(k)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(f.Path, 0o700); err != nil {
		return err
	}
	return renameio.WriteFile(f.file(), append([]byte(checksum(body)+"\n"), body...), 0o600)
}

// recall puts the last kept change in force at the start; without one that can be read and still passes the checks all
// is as the platform says. It gives the digest of what it put in force.
func (gs *generations) restoreKept() (digest uint64) {
	f := gs.g.config.Changes
	k, err := f.load()
	if err != nil {
		gs.g.log.Error("kept changes are not read, all is as the platform says", "why", err)
		return 0
	}
	kept := &generation{no: k.State.Kept, text: k.Text, digest: k.Digest}
	if k.Text != nil {
		d, err := f.Parse(k.Text)
		if err == nil {
			kept.document = d
			var findings []routes.Finding
			if kept.table, findings = routes.Compile(d, gs.environment()); kept.table == nil {
				err = fmt.Errorf("%v", findings[0])
			}
		}
		if err != nil {
			gs.g.log.Error("the kept change is not applied, all is as the platform says", "generation", k.State.Kept, "why", err)
			k.State.Kept = 0
			kept = gs.byNo[0]
		}
	}
	kept.blockedMembers = blockedBy(kept.document)
	gs.byNo[kept.no] = kept
	gs.lastNo = max(k.Next, k.State.Kept)
	gs.module = rollout.New(k.State)
	gs.module.Clock(int64(gs.g.clock.now()))
	gs.activate(kept)
	gs.g.log.Info("kept changes are read", "generation", kept.no, "crashes", k.State.Crashes)
	return kept.digest
}

// save writes what a restart needs, beside the loop, which goes on with the module's decisions once it is written.
func (gs *generations) saveState() {
	f := gs.g.config.Changes
	if f == nil {
		return
	}
	k := changeFile{State: gs.module.State(), Next: gs.lastNo}
	if kept := gs.byNo[k.State.Kept]; kept != nil {
		k.Text, k.Digest = kept.text, kept.digest
	}
	gs.saving = true
	go func() {
		err := f.save(k)
		gs.g.post(func() { gs.stateSaved(err) })
	}()
}

// saved goes on. A change that a restart would not know of is not left in force.
func (gs *generations) stateSaved(err error) {
	gs.saving = false
	if err == nil {
		return
	}
	gs.g.log.Error("changes are not kept", "why", err)
	gs.module.Clock(int64(gs.g.clock.now()))
	_ = gs.module.UndoNow()
}

func blockedBy(d *routes.Document) map[string]bool {
	blocked := map[string]bool{}
	if d != nil {
		for _, list := range [...][]routes.Member{d.Excluded, d.Drained} {
			for _, m := range list {
				blocked[m.Name] = true
			}
		}
	}
	return blocked
}
