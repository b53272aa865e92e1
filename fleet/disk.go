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
func loadIdentity(folder string, now uint64) (identity, error) {
	var id identity
	if folder == "" {
		id, err := newID()
		return identity{id, now}, err
	}
	path := filepath.Join(folder, "identity")
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if id.ID, err = newID(); err != nil {
			return id, err
		}
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return id, err
		}
	case err != nil:
		return id, err
	default:
		if err := json.Unmarshal(text, &id); err != nil || id.ID == 0 {
			return id, fmt.Errorf("%s can't be read: move the folder away, and this gateway joins as another one", path)
		}
	}
	id.Epoch = max(id.Epoch+1, now) // later than any before, wherever the clock stands
	if text, err = json.Marshal(id); err != nil {
		return id, err
	}
	return id, renameio.WriteFile(path, text, 0o600)
}

// disk keeps the log of a voter. A record is on the disk when done is called: what a voter has said must outlast power.
type voterLog struct {
	store *store.Store
}

// openDisk gives what a former run left.
func openVoterLog(folder string, fileSystem store.FileSystem, log func(string, error), snapshotNeeded func()) (*voterLog, [][]byte, error) {
	if folder == "" {
		return &voterLog{}, nil, nil
	}
	s, r, err := store.Open(filepath.Join(folder, "log"), store.Options{FileSystem: fileSystem, SyncOnAppend: true, Log: log, SnapshotNeeded: snapshotNeeded})
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
	return &voterLog{s}, r.Records, nil
}

func (d *voterLog) close() error {
	if d.store == nil {
		return nil
	}
	return d.store.Close()
}
