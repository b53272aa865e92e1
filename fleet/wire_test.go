package fleet

import (
	"reflect"
	"testing"

	"magpieglade/agreement"
)

// Every field of a message goes over the wire but its sender, which is said around it: one that is forgotten there would
// be there on the virtual clock alone.
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
	text, err := appendMessage(nil, &m)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeMessage(text); err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("%+v came as %+v, %v", m, got, err)
	}
	for n := range wireMessageSize {
		if _, err := decodeMessage(text[:n]); err == nil {
			t.Fatal("half a message")
		}
	}
}
