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

// kindOfCounts begins a sealed message that tells what contracts were used.
const countsMessageKind = 66

// countsIn is how many counts a message takes.
const maxCountsPerMessage = 12

var errMalformedCounts = errors.New("malformed message of counts")

// Voters are the other gateways that vote, who keep accounts, and whether this one does.
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

// Run is this gateway's start, of which there is no other.
func (f *Fleet) Epoch() uint64 { return f.identity.Epoch }

// TellCounts tells another gateway of counts, and may ask it for all that it has.
func (f *Fleet) SendCounts(to agreement.ID, counts []contracts.Count, requestAll bool) {
	address, ok := f.addresses[to]
	for ok && (len(counts) > 0 || requestAll) {
		body := []byte{countsMessageKind, 0}
		if requestAll {
			body[1], requestAll = 1, false
		}
		n := min(maxCountsPerMessage, len(counts))
		body, _ = binary.Append(body, binary.BigEndian, counts[:n]) // of numbers alone
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

// countsFile is where a gateway that votes keeps its account.
func (f *Fleet) countsPath() string { return filepath.Join(f.config.Folder, "usage.json") }

// KeptCounts are those that a former run kept; none where it kept none.
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

// KeepCounts keeps an account. It waits for the disk, so it is not for the loop.
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
