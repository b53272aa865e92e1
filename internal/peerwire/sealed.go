package peerwire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// MostSealed is how long a sealed message may be, in bytes: what a path takes whole almost everywhere.
const MostSealed = 1400

// sealedHead is what a sealed message begins with, big-endian.
type sealedHead struct {
	Magic        [2]byte
	Version, Key uint8
	From         uint64
	Run          uint32
	Counter      uint64
}

var (
	sealedMagic = [2]byte{'m', 'a'}
	sealedSize  = binary.Size(sealedHead{})
)

// mostSenders is how many gateways' counters are kept; past that they are forgotten, as long-gone ones would stay.
const mostSenders = 8192

// Sealer words and reads messages between gateways that are known by an ID and not by a place in a list. It is not for
// several goroutines at once.
type Sealer struct {
	from    uint64
	run     uint32
	counter uint64
	keys    []*signer
	peers   map[uint64]*senders
}

// IsSealed tells sealed messages from others that come to the same address.
func IsSealed(text []byte) bool { return len(text) >= 2 && [2]byte(text) == sealedMagic }

// NewSealer makes the sealer of a gateway. run is to be another at each start.
func NewSealer(from uint64, run uint32, keys Keys) (*Sealer, error) {
	if err := keys.Check(); err != nil {
		return nil, err
	}
	s := &Sealer{from: from, run: run, peers: map[uint64]*senders{}}
	for _, k := range keys {
		s.keys = append(s.keys, &signer{id: k.ID, mac: hmac.New(sha256.New, k.Secret)})
	}
	return s, nil
}

// Seal words a message of this gateway.
func (s *Sealer) Seal(dst, body []byte) ([]byte, error) {
	if len(body) > MostSealed-sealedSize-macSize {
		return dst, ErrMalformed
	}
	s.counter++
	from := len(dst)
	dst, err := binary.Append(dst, be, &sealedHead{Magic: sealedMagic, Version: version, Key: s.keys[0].id, From: s.from, Run: s.run, Counter: s.counter})
	if err != nil {
		return dst[:from], err
	}
	dst = append(dst, body...)
	return append(dst, s.keys[0].sum(dst[from:])...), nil
}

// Open reads a message of another gateway; body is part of text.
func (s *Sealer) Open(text []byte) (from uint64, body []byte, err error) {
	var h sealedHead
	if len(text) > MostSealed || len(text) < sealedSize+macSize || !IsSealed(text) {
		return 0, nil, ErrMalformed
	}
	if _, err := binary.Decode(text, be, &h); err != nil {
		return 0, nil, ErrMalformed
	}
	if h.Version != version {
		return 0, nil, ErrVersion
	}
	var by *signer
	for _, k := range s.keys {
		if k.id == h.Key {
			by = k
		}
	}
	if by == nil {
		return 0, nil, ErrKey
	}
	end := len(text) - macSize
	if !hmac.Equal(by.sum(text[:end]), text[end:]) {
		return 0, nil, ErrForged
	}
	if h.From == s.from {
		return 0, nil, ErrReplayed
	}
	p := s.peers[h.From]
	if p == nil {
		if len(s.peers) >= mostSenders {
			clear(s.peers)
		}
		p = new(senders)
		s.peers[h.From] = p
	}
	if !p.fresh(h.Run, h.Counter) {
		return 0, nil, ErrReplayed
	}
	return h.From, text[sealedSize:end], nil
}
