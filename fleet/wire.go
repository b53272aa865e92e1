package fleet

import (
	"encoding/binary"
	"errors"

	"magpieglade/agreement"
)

// wireMessage is the wire format of an agreement message without its data, big-endian. The sealed envelope names the sender.
type wireMessage struct {
	Kind                    uint8
	To, Term, Epoch         uint64
	SentAt, Echo, Remaining int64
	Revision, KnownRevision uint64
	HealthyVersion          uint64
	Digest                  agreement.Digest
	Size, Offset            uint32
}

var wireMessageSize = binary.Size(wireMessage{})

var errMalformedMessage = errors.New("malformed agreement message")

func appendMessage(dst []byte, m *agreement.Message) ([]byte, error) {
	dst, err := binary.Append(dst, binary.BigEndian, &wireMessage{uint8(m.Kind), uint64(m.To), m.Term, m.Epoch, m.SentAt, m.Echo, m.Remaining,
		m.Revision, m.KnownRevision, m.HealthyVersion, m.Digest, uint32(m.Size), uint32(m.Offset)})
	return append(dst, m.Data...), err
}

func decodeMessage(data []byte) (m agreement.Message, err error) {
	var w wireMessage
	if len(data) < wireMessageSize {
		return m, errMalformedMessage
	}
	if _, err := binary.Decode(data, binary.BigEndian, &w); err != nil {
		return m, errMalformedMessage
	}
	m = agreement.Message{Kind: agreement.Kind(w.Kind), To: agreement.ID(w.To), Term: w.Term, Epoch: w.Epoch, SentAt: w.SentAt, Echo: w.Echo, Remaining: w.Remaining,
		Revision: w.Revision, KnownRevision: w.KnownRevision, HealthyVersion: w.HealthyVersion, Digest: w.Digest, Size: int(w.Size), Offset: int(w.Offset)}
	if len(data) > wireMessageSize {
		m.Data = append([]byte(nil), data[wireMessageSize:]...)
	}
	return m, nil
}
