package fleet

import (
	"encoding/binary"
	"errors"

	"magpieglade/agreement"
)

// wired is a message of the agreement between gateways but for its data, big-endian. Who sent it is said around it.
type wired struct {
	Kind           uint8
	To, Term, Run  uint64
	No, Echo, Left int64
	Stamp, Known   uint64
	Well           uint64
	Digest         agreement.Digest
	Size, Offset   uint32
}

var wiredSize = binary.Size(wired{})

var errMessage = errors.New("malformed message of the agreement")

func appendMessage(dst []byte, m *agreement.Message) ([]byte, error) {
	dst, err := binary.Append(dst, binary.BigEndian, &wired{uint8(m.Kind), uint64(m.To), m.Term, m.Epoch, m.SentAt, m.Echo, m.Remaining,
		m.Revision, m.KnownRevision, m.HealthyVersion, m.Digest, uint32(m.Size), uint32(m.Offset)})
	return append(dst, m.Data...), err
}

func readMessage(text []byte) (m agreement.Message, err error) {
	var w wired
	if len(text) < wiredSize {
		return m, errMessage
	}
	if _, err := binary.Decode(text, binary.BigEndian, &w); err != nil {
		return m, errMessage
	}
	m = agreement.Message{Kind: agreement.Kind(w.Kind), To: agreement.ID(w.To), Term: w.Term, Epoch: w.Run, SentAt: w.No, Echo: w.Echo, Remaining: w.Left,
		Revision: w.Stamp, KnownRevision: w.Known, HealthyVersion: w.Well, Digest: w.Digest, Size: int(w.Size), Offset: int(w.Offset)}
	if len(text) > wiredSize {
		m.Data = append([]byte(nil), text[wiredSize:]...)
	}
	return m, nil
}
