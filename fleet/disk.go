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

// identity is the persistent identity of a gateway, kept as long as its disk, and the epoch of its current start.
type identity struct {
	ID    agreement.ID `json:"id"`
	Epoch uint64       `json:"epoch"`
}

// newID returns a random ID of 62 bits, so that a collision with another gateway is improbable.
func newID() (agreement.ID, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return agreement.ID(binary.BigEndian.Uint64(b[:])>>2 | 1), nil
}

// loadIdentity reads the identity of this gateway, or creates one: a gateway that lost its disk never returns under its
// old ID.
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
			return id, fmt.Errorf("identity file %s is unreadable: move the folder away, and this gateway joins as a new one", path)
		}
	}
	id.Epoch = max(id.Epoch+1, now) // greater than any before, whatever the clock says
	if text, err = json.Marshal(id); err != nil {
		return id, err
	}
	return id, renameio.WriteFile(path, text, 0o600)
}

// voterLog stores the log of a voter. Each record is synced to disk before its callback runs: what a voter has sent must
// survive a loss of power.
type voterLog struct {
	store *store.Store
}

// openVoterLog opens the log and returns the records of earlier runs.
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
		return nil, nil, fmt.Errorf("the log in %s is corrupt in %d places: move the folder away, and this gateway joins as a new one", folder, r.Corrupt)
	}
	if err := s.Start(r.Records, true); err != nil {
		return nil, nil, err
	}
	return &voterLog{s}, r.Records, nil
}

func (l *voterLog) close() error {
	if l.store == nil {
		return nil
	}
	return l.store.Close()
}
