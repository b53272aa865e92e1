package peerwire

import (
	"fmt"
	"testing"
)

// A sealed message is opened once, by a gateway with the key; altered, forged and replayed messages are rejected.
func ExampleSealer() {
	keys := Keys{{ID: 1, Secret: []byte("0123456789abcdef")}}
	a, _ := NewSealer(7, 1, keys)
	b, _ := NewSealer(8, 1, keys)
	other, _ := NewSealer(9, 1, Keys{{ID: 1, Secret: []byte("fedcba9876543210")}})
	text, _ := a.Seal(nil, []byte("a heartbeat"))
	from, body, err := b.Open(text)
	fmt.Println(from, string(body), err)
	_, _, err = b.Open(text)
	fmt.Println(err)
	_, _, err = other.Open(text)
	fmt.Println(err)
	text, _ = a.Seal(nil, []byte("another"))
	text[len(text)/2] ^= 1
	_, _, err = b.Open(text)
	fmt.Println(err)
	_, err = a.Seal(nil, make([]byte, MaxSealedSize))
	fmt.Println(err)
	again, _ := NewSealer(7, 2, keys) // a new incarnation counts from the start
	text, _ = again.Seal(nil, nil)
	from, _, err = b.Open(text)
	fmt.Println(from, err)
	// Output:
	// 7 a heartbeat <nil>
	// replayed message
	// bad authenticator
	// bad authenticator
	// malformed message
	// 7 <nil>
}

func FuzzOpen(f *testing.F) {
	keys := Keys{{ID: 1, Secret: []byte("0123456789abcdef")}}
	a, _ := NewSealer(7, 1, keys)
	text, _ := a.Seal(nil, []byte("seed"))
	f.Add(text)
	f.Add([]byte("ma"))
	f.Fuzz(func(t *testing.T, text []byte) {
		b, _ := NewSealer(8, 1, keys)
		if from, _, err := b.Open(text); err == nil && from != 7 {
			t.Fatal("accepted a message from a gateway that sealed none")
		}
	})
}
