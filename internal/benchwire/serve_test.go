package benchwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
)

// batch builds a frame of records, whose number the caller gives, at time 0.
func batch(records uint32, body ...byte) []byte {
	head := binary.LittleEndian.AppendUint32(nil, records)
	head = binary.LittleEndian.AppendUint32(head, uint32(8+len(body)))
	return append(append(head, make([]byte, 8)...), body...)
}

// Malformed input ends the adapter with a single plain message, whatever else the frame contains.
func ExampleServe_malformed() {
	forOne := []byte{25, 1, 0, 0, 0}
	settings := func(text string) []byte {
		open := append(append([]byte{}, forOne...), 26, 0, 0, 0, 0, 0, 0, 0, 0)
		open = binary.LittleEndian.AppendUint32(open, uint32(len(text)))
		return append(open, text...)
	}
	for _, in := range [][]byte{
		batch(0),
		batch(0)[:5],
		batch(1, forOne...)[:18],
		batch(2, forOne...),
		batch(2, append(forOne, 99)...),
		batch(2, append(forOne, 16)...),
		batch(2, settings("{")...),
		batch(2, settings("{}")...),
		batch(1, 20, 0, 0, 0, 0, 255, 255, 255, 255),
		batch(0, 1),
	} {
		var out bytes.Buffer
		fmt.Println(Serve(bytes.NewReader(in), &out), out.Len())
	}
	// Output:
	// <nil> 8
	// frame header: unexpected EOF 0
	// frame of 13 bytes ends after 10 0
	// batch: 2 records announced, 1 found 0
	// record 1 has the unknown code 99 0
	// record 1: event 16 for instance 1, which is not open 0
	// record 1: settings: unexpected end of JSON input 0
	// record 1: settings: classes is lacking or out of range 0
	// record 0 (code 20) is cut short 0
	// batch: 1 bytes after the last of 0 records 0
}

// FuzzServe checks that no frame causes a panic or a message of more than one line.
func FuzzServe(f *testing.F) {
	f.Add(batch(1, 25, 1, 0, 0, 0))
	f.Fuzz(func(t *testing.T, in []byte) {
		if err := Serve(bytes.NewReader(in), &bytes.Buffer{}); err != nil && strings.Contains(err.Error(), "\n") {
			t.Error("a message of more than one line:", err)
		}
	})
}
