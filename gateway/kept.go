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

// ChangeStore keeps changes across restarts in a file of a folder.
type ChangeStore struct {
	Path  string
	Parse func(text []byte) (*routes.Document, error) // parses the text of a change
}

// changeFile is the only file of the folder: a checksum in hexadecimal, a newline, and this struct as JSON. It is replaced
// atomically, so that a crash leaves either the former or the new file.
type changeFile struct {
	FormatVersion  int `json:"Form"`
	State          rollout.State
	LastGeneration rollout.Generation `json:"Next"` // the highest number assigned so far
	Digest         uint64             // of Text
	Text           []byte             // of the kept change; nil if the platform's settings apply
}

const changeFileFormat = 1

var errDamagedChangeFile = errors.New("the file of kept changes is damaged or has another format version")

func (f *ChangeStore) file() string { return filepath.Join(f.Path, "kept.json") }

// load returns the saved state, an empty one if there is no file yet.
func (f *ChangeStore) load() (k changeFile, err error) {
	text, err := os.ReadFile(f.file())
	if errors.Is(err, fs.ErrNotExist) {
		return changeFile{FormatVersion: changeFileFormat}, nil
	}
	if err != nil {
		return k, err
	}
	sum, body, ok := bytes.Cut(text, []byte("\n"))
	if !ok || string(sum) != checksum(body) {
		return k, errDamagedChangeFile
	}
	if err := json.Unmarshal(body, &k); err != nil || k.FormatVersion != changeFileFormat {
		return k, errDamagedChangeFile
	}
	return k, nil
}

// checksum returns the CRC-32C of body in hexadecimal.
func checksum(body []byte) string {
	return fmt.Sprintf("%08x", crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
}

// save replaces the file; it is on disk when save returns.
func (f *ChangeStore) save(k changeFile) error {
	k.FormatVersion = changeFileFormat
	body, err := json.Marshal(k)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(f.Path, 0o700); err != nil {
		return err
	}
	return renameio.WriteFile(f.file(), append([]byte(checksum(body)+"\n"), body...), 0o600)
}

// restoreKept puts the last kept change in force at the start. If it can't be read or no longer passes the checks, the
// platform's settings apply. It returns the digest of what it put in force.
func (gs *generations) restoreKept() (digest uint64) {
	f := gs.g.config.Changes
	k, err := f.load()
	if err != nil {
		gs.g.log.Error("kept changes are not read, the platform's settings apply", "why", err)
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
			gs.g.log.Error("the kept change is not applied, the platform's settings apply", "generation", k.State.Kept, "why", err)
			k.State.Kept = 0
			kept = gs.byNo[0]
		}
	}
	kept.blockedMembers = blockedBy(kept.document)
	gs.byNo[kept.no] = kept
	gs.lastNo = max(k.LastGeneration, k.State.Kept)
	gs.module = rollout.New(k.State)
	gs.module.Clock(int64(gs.g.clock.now()))
	gs.activate(kept)
	gs.g.log.Info("kept changes are read", "generation", kept.no, "crashes", k.State.Crashes)
	return kept.digest
}

// saveState writes what a restart needs, outside the event loop. The module's decisions wait until it is written.
func (gs *generations) saveState() {
	f := gs.g.config.Changes
	if f == nil {
		return
	}
	k := changeFile{State: gs.module.State(), LastGeneration: gs.lastNo}
	if kept := gs.byNo[k.State.Kept]; kept != nil {
		k.Text, k.Digest = kept.text, kept.digest
	}
	gs.saving = true
	go func() {
		err := f.save(k)
		gs.g.post(func() { gs.stateSaved(err) })
	}()
}

// stateSaved lets the decisions continue. If the write failed, the change is undone: a restart would not know of it.
func (gs *generations) stateSaved(err error) {
	gs.saving = false
	if err == nil {
		return
	}
	gs.g.log.Error("changes are not kept", "why", err)
	gs.module.Clock(int64(gs.g.clock.now()))
	_ = gs.module.UndoNow()
}

// blockedBy returns the members that a document excludes or drains.
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
