// Package peerwire encodes and decodes messages between gateways: one datagram of at most 256 bytes each, authenticated by
// an HMAC-SHA-256 (RFC 2104) truncated to 128 bits. It does no network I/O and doesn't interpret the messages.
package peerwire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
)

// Sizes in bytes, and the number of entries of a message.
const (
	MaxMessageSize = 256
	MaxEntries     = 8
	macSize        = 16
	minKeySize     = 16
)

// version is that of the message format. Other versions are rejected, so a fleet upgrades by first accepting both.
const version = 1

// Type is the type of a message.
type Type uint8

const (
	TypeRequest   Type = 1 // asks for the entries after number Last of Epoch
	TypeReport    Type = 2 // carries entries, in response to a request or unsolicited
	TypePositions Type = 3 // positions of members; a build that does not know this type rejects it as malformed
)

// Entry is one event that a gateway recorded.
type Entry struct {
	Kind     uint8
	Group    uint16
	Key      uint64
	Position int64  // nanoseconds of Unix time
	Age      uint32 // microseconds; higher ages are clamped to the maximum
}

// Message is one datagram.
type Message struct {
	Type               Type
	From               int // the sender's number in the fleet
	Fleet              uint32
	RequestNumber      uint64 // of the request, or of the one that is answered; 0 for an unsolicited report
	Epoch, Last, First uint64
	Entries            []Entry
}

// header precedes the entries of every message, in this field order and big-endian.
type header struct {
	Magic              [2]byte
	Version, Type, Key uint8
	From               uint16
	Fleet              uint32
	Incarnation        uint32
	Counter            uint64
	RequestNumber      uint64
	Epoch, Last, First uint64
	EntryCount         uint8
}

var (
	magic      = [2]byte{'m', 'g'}
	headerSize = binary.Size(header{})
	entrySize  = binary.Size(Entry{})
	be         = binary.BigEndian
)

// Reasons for rejecting a message. Nothing in a rejected message can be trusted, not even the sender's number.
var (
	ErrMalformed = errors.New("malformed message")
	ErrVersion   = errors.New("unknown version")
	ErrKey       = errors.New("unknown key")
	ErrForged    = errors.New("bad authenticator")
	ErrReplayed  = errors.New("replayed message")
	ErrFleet     = errors.New("different list of gateways")
)

// Key authenticates messages and tokens. Keys are rotated without interruption: each gateway gets the new key as its
// second, then as its first, then the old key is removed.
type Key struct {
	ID     uint8
	Secret []byte
}

// Keys are the valid keys; the first one signs.
type Keys []Key

// Check returns an error if the keys are unusable.
func (k Keys) Check() error {
	if len(k) == 0 {
		return errors.New("no key")
	}
	if len(k) > 2 {
		return errors.New("more than two keys")
	}
	for i, key := range k {
		if len(key.Secret) < minKeySize {
			return fmt.Errorf("key %d is shorter than %d bytes", key.ID, minKeySize)
		}
		if i > 0 && k[0].ID == key.ID {
			return fmt.Errorf("duplicate key %d", key.ID)
		}
	}
	return nil
}

// FleetHash returns a hash of the list of gateways, by which gateways with different lists reject each other's messages.
func FleetHash(addresses []string) uint32 {
	h := fnv.New32a()
	for _, a := range addresses {
		_, _ = h.Write(append([]byte(a), 0))
	}
	return h.Sum32()
}

// signer computes authenticators with one key; it is not safe for concurrent use.
type signer struct {
	id     uint8
	mac    hash.Hash
	buffer [sha256.Size]byte
}

func (s *signer) sum(parts ...[]byte) []byte {
	s.mac.Reset()
	for _, p := range parts {
		_, _ = s.mac.Write(p)
	}
	return s.mac.Sum(s.buffer[:0])[:macSize]
}

// Codec encodes and decodes the messages of one gateway. It is not safe for concurrent use.
type Codec struct {
	from        int
	fleet       uint32
	incarnation uint32
	counter     uint64
	keys        []*signer
	peers       map[int]*replayFilter
	Counts      Counts
}

// Counts are the numbers of messages that were accepted (Read) and rejected, by reason.
type Counts struct{ Read, Malformed, Version, Key, Forged, Replayed, Fleet uint64 }

// NewCodec returns the codec of a gateway. The incarnation must differ at each start of the process.
func NewCodec(from int, fleet uint32, incarnation uint32, keys Keys) (*Codec, error) {
	if err := keys.Check(); err != nil {
		return nil, err
	}
	c := &Codec{from: from, fleet: fleet, incarnation: incarnation, peers: map[int]*replayFilter{}}
	for _, k := range keys {
		c.keys = append(c.keys, &signer{id: k.ID, mac: hmac.New(sha256.New, k.Secret)})
	}
	return c, nil
}

// SetSender changes the number of this gateway, which its messages carry.
func (c *Codec) SetSender(from int) { c.from = from }

// Append encodes a message of this gateway.
func (c *Codec) Append(dst []byte, m *Message) ([]byte, error) {
	if len(m.Entries) > MaxEntries || m.Type < TypeRequest || m.Type > TypePositions {
		return dst, ErrMalformed
	}
	c.counter++
	start := len(dst)
	h := header{Magic: magic, Version: version, Type: uint8(m.Type), Key: c.keys[0].id, From: uint16(c.from),
		Fleet: c.fleet, Incarnation: c.incarnation, Counter: c.counter, RequestNumber: m.RequestNumber, Epoch: m.Epoch, Last: m.Last,
		First: m.First, EntryCount: uint8(len(m.Entries))}
	dst, err := binary.Append(dst, be, &h)
	if err == nil {
		dst, err = binary.Append(dst, be, m.Entries)
	}
	if err != nil {
		return dst[:start], err
	}
	return append(dst, c.keys[0].sum(dst[start:])...), nil
}

// Read decodes a message of another gateway and counts the outcome.
func (c *Codec) Read(text []byte) (m Message, err error) {
	m, err = c.read(text)
	count := &c.Counts.Read
	switch err {
	case ErrMalformed:
		count = &c.Counts.Malformed
	case ErrVersion:
		count = &c.Counts.Version
	case ErrKey:
		count = &c.Counts.Key
	case ErrForged:
		count = &c.Counts.Forged
	case ErrReplayed:
		count = &c.Counts.Replayed
	case ErrFleet:
		count = &c.Counts.Fleet
	}
	*count++
	return m, err
}

func (c *Codec) read(text []byte) (m Message, err error) {
	var h header
	if len(text) > MaxMessageSize || len(text) < headerSize+macSize || [2]byte(text) != magic {
		return m, ErrMalformed
	}
	if _, err := binary.Decode(text, be, &h); err != nil {
		return m, ErrMalformed
	}
	body := text[:len(text)-macSize]
	switch {
	case h.Version != version:
		return m, ErrVersion
	case h.Type < uint8(TypeRequest) || h.Type > uint8(TypePositions):
		return m, ErrMalformed
	case h.EntryCount > MaxEntries || len(body) != headerSize+int(h.EntryCount)*entrySize:
		return m, ErrMalformed
	}
	s := c.signer(h.Key)
	if s == nil {
		return m, ErrKey
	}
	if !hmac.Equal(s.sum(body), text[len(body):]) {
		return m, ErrForged
	}
	if h.Fleet != c.fleet {
		return m, ErrFleet
	}
	if int(h.From) == c.from || !c.accept(int(h.From), h.Incarnation, h.Counter) {
		return m, ErrReplayed
	}
	m = Message{Type: Type(h.Type), From: int(h.From), Fleet: h.Fleet, RequestNumber: h.RequestNumber, Epoch: h.Epoch, Last: h.Last,
		First: h.First}
	if h.EntryCount > 0 {
		m.Entries = make([]Entry, h.EntryCount)
		if _, err := binary.Decode(body[headerSize:], be, m.Entries); err != nil {
			return m, ErrMalformed
		}
	}
	return m, nil
}

// signer returns the signer with a key ID, nil if there is none.
func (c *Codec) signer(id uint8) *signer {
	for _, s := range c.keys {
		if s.id == id {
			return s
		}
	}
	return nil
}

// AgeMicros converts an age in nanoseconds to the microseconds of an entry.
func AgeMicros(ns int64) uint32 { return uint32(min(max(ns/1000, 0), math.MaxUint32)) }

// replayFilter rejects repeated messages of one gateway. It holds the windows of its most recent incarnations, latest first.
type replayFilter struct {
	windows [4]replayWindow
	n       int
}

// replayWindow records which of the latest 64 counters of an incarnation were received.
type replayWindow struct {
	incarnation uint32
	highest     uint64
	seen        uint64 // bit i stands for counter highest-i
}

// accept reports whether a counter of a gateway is received for the first time, and records it.
func (c *Codec) accept(from int, incarnation uint32, counter uint64) bool {
	f := c.peers[from]
	if f == nil {
		f = new(replayFilter)
		c.peers[from] = f
	}
	return f.accept(incarnation, counter)
}

// accept reports whether a counter is received for the first time, and records it. Messages may be reordered, so a late
// counter is accepted while it is less than 64 behind the highest.
func (f *replayFilter) accept(incarnation uint32, counter uint64) bool {
	for i := range f.n {
		if f.windows[i].incarnation == incarnation {
			return f.windows[i].accept(counter)
		}
	}
	copy(f.windows[1:], f.windows[:])
	f.windows[0] = replayWindow{incarnation: incarnation, highest: counter, seen: 1}
	f.n = min(f.n+1, len(f.windows))
	return true
}

func (w *replayWindow) accept(counter uint64) bool {
	if counter > w.highest {
		if advance := counter - w.highest; advance < 64 {
			w.seen = w.seen<<advance | 1
		} else {
			w.seen = 1
		}
		w.highest = counter
		return true
	}
	behind := w.highest - counter
	if behind >= 64 || w.seen>>behind&1 == 1 {
		return false
	}
	w.seen |= 1 << behind
	return true
}
