package peerwire

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var (
	oldKey = Key{1, bytes.Repeat([]byte("o"), 32)}
	newKey = Key{2, bytes.Repeat([]byte("n"), 32)}
)

func newCodec(from int, keys ...Key) *Codec {
	c, err := NewCodec(from, FleetHash([]string{"a", "b"}), uint32(from)+7, keys)
	if err != nil {
		panic(err)
	}
	return c
}

// A message is read as it was written, fits into 256 bytes, and is rejected if any bit of it changes.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Message{Type: rapid.SampledFrom([]Type{TypeRequest, TypeReport, TypePositions}).Draw(t, "type"), From: 0, Fleet: FleetHash([]string{"a", "b"}),
			RequestNumber: rapid.Uint64().Draw(t, "no"), Epoch: rapid.Uint64().Draw(t, "epoch"),
			Last: rapid.Uint64().Draw(t, "last"), First: rapid.Uint64().Draw(t, "first")}
		for range rapid.IntRange(0, MaxEntries).Draw(t, "entries") {
			m.Entries = append(m.Entries, Entry{rapid.Uint8().Draw(t, "kind"), rapid.Uint16().Draw(t, "group"),
				rapid.Uint64().Draw(t, "key"), rapid.Int64().Draw(t, "position"), rapid.Uint32().Draw(t, "age")})
		}
		text, err := newCodec(0, oldKey).Append(nil, &m)
		if err != nil || len(text) > MaxMessageSize {
			t.Fatal(len(text), err)
		}
		got, err := newCodec(1, oldKey).Read(text)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v %+v %v", m, got, err)
		}
		bit := rapid.IntRange(0, 8*len(text)-1).Draw(t, "bit")
		text[bit/8] ^= 1 << (bit % 8)
		if _, err := newCodec(1, oldKey).Read(text); err == nil {
			t.Fatal("a changed bit was not detected")
		}
	})
}

// Keys are rotated without interruption: first all gateways accept the new key, then all sign with it, then the old one is
// removed. Gateways that are one stage apart understand each other.
func Example_keyRotation() {
	stages := []Keys{{oldKey}, {oldKey, newKey}, {newKey, oldKey}, {newKey}}
	for i, from := range stages {
		for j, to := range stages {
			text, _ := newCodec(0, from...).Append(nil, &Message{Type: TypeRequest})
			_, err := newCodec(1, to...).Read(text)
			token := newCodec(0, from...).AppendToken(nil, 3, 7, 99)
			_, ok := newCodec(1, to...).ReadToken(token, 3, 7)
			if i-j <= 1 && j-i <= 1 && (err != nil || !ok) || ok != (err == nil) {
				fmt.Println(i, j, err, ok)
			}
		}
	}
	// Output:
}

// Messages that are replayed, the gateway's own, from another fleet, of another version or forged are rejected, each with its
// reason, and counted.
func Example_rejected() {
	a, b := newCodec(0, oldKey), newCodec(1, oldKey)
	var texts [][]byte
	for range 70 {
		text, _ := a.Append(nil, &Message{Type: TypeReport, Entries: []Entry{{Key: 1}}})
		texts = append(texts, text)
	}
	read := func(text []byte) { _, err := b.Read(text); fmt.Println(err) }
	read(texts[1])
	read(texts[1])
	read(texts[0]) // reordered
	read(texts[0])
	read(texts[69])
	read(texts[5]) // too far behind for the replay window
	read(texts[50])
	own, _ := b.Append(nil, &Message{Type: TypeRequest})
	read(own)
	b2 := newCodec(1, oldKey)
	b2.fleet++
	other, _ := b2.Append(nil, &Message{Type: TypeRequest})
	read(other)
	forged, _ := newCodec(0, Key{1, bytes.Repeat([]byte("x"), 32)}).Append(nil, &Message{Type: TypeRequest})
	read(forged)
	unknown, _ := newCodec(0, newKey).Append(nil, &Message{Type: TypeRequest})
	read(unknown)
	later := bytes.Clone(texts[60])
	later[2] = 9
	read(later)
	read([]byte("mg"))
	read(bytes.Repeat([]byte("mg"), 200))
	restarted, _ := NewCodec(0, b.fleet, 99, Keys{oldKey}) // a new incarnation counts from the start
	again, _ := restarted.Append(nil, &Message{Type: TypeRequest})
	read(again)
	fmt.Printf("%+v\n", b.Counts)
	// Output:
	// <nil>
	// replayed message
	// <nil>
	// replayed message
	// <nil>
	// replayed message
	// <nil>
	// replayed message
	// different list of gateways
	// bad authenticator
	// unknown key
	// unknown version
	// malformed message
	// malformed message
	// <nil>
	// {Read:5 Malformed:2 Version:1 Key:1 Forged:1 Replayed:4 Fleet:1}
}

// A token is valid only for its own session and group.
func Example_token() {
	c := newCodec(0, oldKey)
	token := c.AppendToken(nil, 3, 7, 1767225600123e6)
	fmt.Println(len(token) == TokenSize)
	fmt.Println(newCodec(1, newKey, oldKey).ReadToken(token, 3, 7))
	for _, bad := range []string{"", "zz", string(token[:len(token)-1]), strings.Replace(string(token), string(token[10:12]), "ff", 1)} {
		_, ok := c.ReadToken([]byte(bad), 3, 7)
		fmt.Print(ok, " ")
	}
	_, other := c.ReadToken(token, 3, 8)
	_, group := c.ReadToken(token, 2, 7)
	fmt.Println(other, group)
	// Output:
	// true
	// 1767225600123000000 true
	// false false false false false false
}

func Example_keys() {
	for _, k := range []Keys{nil, {oldKey, newKey, oldKey}, {oldKey, oldKey}, {{1, []byte("short")}}, {oldKey}} {
		fmt.Println(k.Check())
	}
	// Output:
	// no key
	// more than two keys
	// duplicate key 1
	// key 1 is shorter than 16 bytes
	// <nil>
}

// Reading terminates for any input, and never accepts more entries than allowed or a message in the gateway's own name.
func FuzzRead(f *testing.F) {
	text, _ := newCodec(0, oldKey).Append(nil, &Message{Type: TypeReport, Entries: []Entry{{Key: 1}}})
	f.Add(text)
	f.Add(text[:40])
	f.Fuzz(func(t *testing.T, in []byte) {
		c := newCodec(1, oldKey)
		m, err := c.Read(in)
		if err == nil && (len(m.Entries) > MaxEntries || m.From == 1) {
			t.Fatal(m)
		}
		c.ReadToken(in, 1, 2)
	})
}

func BenchmarkAppendAndRead(b *testing.B) {
	sender, receiver := newCodec(0, oldKey), newCodec(1, oldKey)
	m := Message{Type: TypeReport, Entries: make([]Entry, MaxEntries)}
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = sender.Append(buf[:0], &m)
		if _, err := receiver.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
}
