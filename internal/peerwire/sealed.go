package peerwire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// MaxSealedSize is the maximum size of a sealed message in bytes: almost every network path carries it unfragmented.
const MaxSealedSize = 1400

// sealedHeader precedes the body of a sealed message, big-endian.
type sealedHeader struct {
	Magic        [2]byte
	Version, Key uint8
	From         uint64
	Incarnation  uint32
	Counter      uint64
}

var (
	sealedMagic      = [2]byte{'m', 'a'}
	sealedHeaderSize = binary.Size(sealedHeader{})
)

// maxPeers is the maximum number of gateways whose replay filters are kept. Beyond it all are dropped, as those of gateways
// that left long ago would otherwise stay.
const maxPeers = 8192

// Sealer encodes and decodes messages between gateways that are identified by an ID instead of a number in a list. The
// messages are authenticated, not encrypted. It is not safe for concurrent use.
type Sealer struct {
	from        uint64
	incarnation uint32
	counter     uint64
	keys        []*signer
	peers       map[uint64]*replayFilter
}

// IsSealed distinguishes sealed messages from other messages received at the same address.
func IsSealed(text []byte) bool { return len(text) >= 2 && [2]byte(text) == sealedMagic }

// NewSealer returns the sealer of a gateway. The incarnation must differ at each start of the process.
func NewSealer(from uint64, incarnation uint32, keys Keys) (*Sealer, error) {
	if err := keys.Check(); err != nil {
		return nil, err
	}
	s := &Sealer{from: from, incarnation: incarnation, peers: map[uint64]*replayFilter{}}
	for _, k := range keys {
		s.keys = append(s.keys, &signer{id: k.ID, mac: hmac.New(sha256.New, k.Secret)})
	}
	return s, nil
}

// Seal appends an authenticated message of this gateway to dst.
func (s *Sealer) Seal(dst, body []byte) ([]byte, error) {
	if len(body) > MaxSealedSize-sealedHeaderSize-macSize {
		return dst, ErrMalformed
	}
	s.counter++
	start := len(dst)
	dst, err := binary.Append(dst, be, &sealedHeader{Magic: sealedMagic, Version: version, Key: s.keys[0].id, From: s.from,
		Incarnation: s.incarnation, Counter: s.counter})
	if err != nil {
		return dst[:start], err
	}
	dst = append(dst, body...)
	return append(dst, s.keys[0].sum(dst[start:])...), nil
}

// Open verifies a message of another gateway and returns its sender and body; body is a slice of text.
func (s *Sealer) Open(text []byte) (from uint64, body []byte, err error) {
	var h sealedHeader
	if len(text) > MaxSealedSize || len(text) < sealedHeaderSize+macSize || !IsSealed(text) {
		return 0, nil, ErrMalformed
	}
	if _, err := binary.Decode(text, be, &h); err != nil {
		return 0, nil, ErrMalformed
	}
	if h.Version != version {
		return 0, nil, ErrVersion
	}
	var verifier *signer
	for _, k := range s.keys {
		if k.id == h.Key {
			verifier = k
		}
	}
	if verifier == nil {
		return 0, nil, ErrKey
	}
	end := len(text) - macSize
	if !hmac.Equal(verifier.sum(text[:end]), text[end:]) {
		return 0, nil, ErrForged
	}
	if h.From == s.from {
		return 0, nil, ErrReplayed
	}
	f := s.peers[h.From]
	if f == nil {
		if len(s.peers) >= maxPeers {
			clear(s.peers)
		}
		f = new(replayFilter)
		s.peers[h.From] = f
	}
	if !f.accept(h.Incarnation, h.Counter) {
		return 0, nil, ErrReplayed
	}
	return h.From, text[sealedHeaderSize:end], nil
}
