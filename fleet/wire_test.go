package fleet

import (
	"reflect"
	"testing"

	"magpieglade/agreement"
)

// Every field of a message except its sender is encoded; the sealed envelope names the sender. A field that the encoding
// omits would work only in simulations, which pass messages without encoding them.
func TestMessageRoundTrip(t *testing.T) {
	var m agreement.Message
	v := reflect.ValueOf(&m).Elem()
	for i := range v.NumField() {
		switch f := v.Field(i); f.Kind() {
		case reflect.Array:
			f.Index(3).SetUint(7)
		case reflect.Slice:
			f.SetBytes([]byte("data"))
		case reflect.Int, reflect.Int64:
			f.SetInt(int64(i + 1))
		default:
			f.SetUint(uint64(i + 1))
		}
	}
	m.From = 0
	data, err := appendMessage(nil, &m)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeMessage(data); err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("%+v decoded as %+v, %v", m, got, err)
	}
	for n := range wireMessageSize {
		if _, err := decodeMessage(data[:n]); err == nil {
			t.Fatal("truncated message accepted")
		}
	}
}
