package fleet

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"

	"magpieglade/agreement"
	"magpieglade/contracts"
)

// countsMessageKind is the first byte of a sealed message that carries contract usage counts.
const countsMessageKind = 66

// maxCountsPerMessage bounds the counts in one message.
const maxCountsPerMessage = 12

var errMalformedCounts = errors.New("malformed counts message")

// Voters returns the other voting gateways, which keep the usage accounts, and whether this gateway votes.
func (f *Fleet) Voters() (others []agreement.ID, self bool) {
	for _, g := range f.Manifest().Gateways {
		if g.Vote && g.ID == f.identity.ID {
			self = true
		} else if g.Vote {
			others = append(others, g.ID)
		}
	}
	return others, self
}

// Epoch identifies this start of the gateway; each start has another epoch.
func (f *Fleet) Epoch() uint64 { return f.identity.Epoch }

// SendCounts sends counts to another gateway; requestAll also requests all counts that it has.
func (f *Fleet) SendCounts(to agreement.ID, counts []contracts.Count, requestAll bool) {
	address, ok := f.addresses[to]
	for ok && (len(counts) > 0 || requestAll) {
		body := []byte{countsMessageKind, 0}
		if requestAll {
			body[1], requestAll = 1, false
		}
		n := min(maxCountsPerMessage, len(counts))
		body, _ = binary.Append(body, binary.BigEndian, counts[:n]) // cannot fail: Count has only fixed-size numbers
		f.sendSealed(body, address)
		counts = counts[n:]
	}
}

func decodeCounts(body []byte) (counts []contracts.Count, requestsAll bool, err error) {
	size := binary.Size(contracts.Count{})
	if len(body) < 2 || (len(body)-2)%size != 0 {
		return nil, false, errMalformedCounts
	}
	counts = make([]contracts.Count, (len(body)-2)/size)
	if binary.Read(bytes.NewReader(body[2:]), binary.BigEndian, counts) != nil {
		return nil, false, errMalformedCounts
	}
	return counts, body[1] == 1, nil
}

// countsPath is the file in which a voting gateway stores its usage account.
func (f *Fleet) countsPath() string { return filepath.Join(f.config.Folder, "usage.json") }

// LoadCounts reads the counts that an earlier run saved; without a file there are none.
func (f *Fleet) LoadCounts() (counts []contracts.Count, err error) {
	if f.config.Folder == "" {
		return nil, nil
	}
	text, err := os.ReadFile(f.countsPath())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &counts)
	}
	return counts, err
}

// SaveCounts writes the counts to disk. It blocks, so it must not be called on the event loop.
func (f *Fleet) SaveCounts(counts []contracts.Count) error {
	if f.config.Folder == "" {
		return nil
	}
	text, err := json.Marshal(counts)
	if err != nil {
		return err
	}
	return renameio.WriteFile(f.countsPath(), text, 0o600)
}
