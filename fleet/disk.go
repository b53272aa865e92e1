package fleet

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"

	"magpieglade/agreement"
	"magpieglade/internal/store"
)

// identity is who a gateway is as long as its disk lasts, and how often it has started.
type identity struct {
	ID    agreement.ID `json:"id"`
	Epoch uint64       `json:"epoch"`
}

// newID is one that no other gateway has, by chance of 2^62.
func newID() (agreement.ID, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return agreement.ID(binary.BigEndian.Uint64(b[:])>>2 | 1), nil
}

// identify reads who this gateway is, or has it be another: one without its disk never comes back under its old ID.
func identify(folder string, now uint64) (identity, error) {
	var me identity
	if folder == "" {
		id, err := newID()
		return identity{id, now}, err
	}
	path := filepath.Join(folder, "identity")
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if me.ID, err = newID(); err != nil {
			return me, err
		}
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return me, err
		}
	case err != nil:
		return me, err
	default:
		if err := json.Unmarshal(text, &me); err != nil || me.ID == 0 {
			return me, fmt.Errorf("%s can't be read: move the folder away, and this gateway joins as another one", path)
		}
	}
	me.Epoch = max(me.Epoch+1, now) // later than any before, wherever the clock stands
	if text, err = json.Marshal(me); err != nil {
		return me, err
	}
	return me, renameio.WriteFile(path, text, 0o600)
}

// disk keeps the log of a voter. A record is on the disk when done is called: what a voter has said must outlast power.
type disk struct {
	store *store.Store
}

// openDisk gives what a former run left.
func openDisk(folder string, files store.FileSystem, log func(string, error), wanted func()) (*disk, [][]byte, error) {
	if folder == "" {
		return &disk{}, nil, nil
	}
	s, r, err := store.Open(filepath.Join(folder, "log"), store.Options{FileSystem: files, SyncOnAppend: true, Log: log, SnapshotNeeded: wanted})
	if err != nil {
		return nil, nil, err
	}
	if r.Corrupt > 0 {
		_ = s.Close()
		return nil, nil, fmt.Errorf("the log in %s is damaged in %d places: move the folder away, and this gateway joins as another one", folder, r.Corrupt)
	}
	if err := s.Start(r.Records, true); err != nil {
		return nil, nil, err
	}
	return &disk{s}, r.Records, nil
}

func (d *disk) close() error {
	if d.store == nil {
		return nil
	}
	return d.store.Close()
}
