// Package httpwire writes requests to discovery and reads its answers and lists. It knows no sockets.
package httpwire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// ErrMalformed is what cannot be an answer, whatever follows.
var ErrMalformed = errors.New("malformed answer")

const mostHead = 16 << 10 // bytes of status line and header fields

// AppendGet is a request on a connection that stays open.
func AppendGet(dst []byte, host, target string) []byte {
	return fmt.Appendf(dst, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target, host)
}

// Answer is one whole answer.
type Answer struct {
	Status int
	Body   []byte
	Size   int  // of all of it, in the buffer
	Last   bool // the connection ends with it
	ToEnd  bool // it has no length: it is whole when the connection ends in order
}

// Read reads an answer of at most so many bytes; ok is false while it is not whole.
func Read(buf []byte, most int) (a Answer, ok bool, err error) {
	head, rest, whole := bytes.Cut(buf, []byte("\r\n\r\n"))
	if !whole {
		if len(buf) > mostHead {
			return a, false, ErrMalformed
		}
		return a, false, nil
	}
	line, fields, _ := bytes.Cut(head, []byte("\r\n"))
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || len(head) > mostHead {
		return a, false, ErrMalformed
	}
	if a.Status, err = strconv.Atoi(string(line[9:12])); err != nil || a.Status < 200 {
		return a, false, ErrMalformed
	}
	a.Last = line[7] == '0'
	length, chunked := -1, false
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte("\r\n"))
		name, value, found := bytes.Cut(field, []byte{':'})
		value = bytes.TrimSpace(value)
		switch {
		case !found:
			return a, false, ErrMalformed
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 || length > most {
				return a, false, ErrMalformed
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			chunked = bytes.EqualFold(value, []byte("chunked"))
		case bytes.EqualFold(name, []byte("Connection")):
			a.Last = a.Last || bytes.EqualFold(value, []byte("close"))
		}
	}
	from := len(buf) - len(rest)
	switch {
	case chunked:
		n := 0
		if a.Body, n, err = chunks(rest, most); n == 0 || err != nil {
			return a, false, err
		}
		a.Size = from + n
	case length >= 0 || a.Status == 204 || a.Status == 304:
		length = max(length, 0)
		if len(rest) < length {
			return a, false, nil
		}
		a.Body, a.Size = rest[:length], from+length
	default:
		if len(rest) > most {
			return a, false, ErrMalformed
		}
		a.Body, a.Size, a.Last, a.ToEnd = rest, len(buf), true, true
		return a, false, nil
	}
	return a, true, nil
}

// chunks joins a chunked body; n, its length as sent, is 0 while it is not whole.
func chunks(buf []byte, most int) (body []byte, n int, err error) {
	for rest := buf; ; {
		line, behind, whole := bytes.Cut(rest, []byte("\r\n"))
		if !whole {
			if len(rest) > mostHead {
				return nil, 0, ErrMalformed
			}
			return nil, 0, nil
		}
		digits, _, _ := bytes.Cut(line, []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil || int(size) > most || len(body)+int(size) > most {
			return nil, 0, ErrMalformed
		}
		if size == 0 { // what may follow are trailers, up to an empty line
			for {
				line, behind, whole = bytes.Cut(behind, []byte("\r\n"))
				if !whole {
					return nil, 0, nil
				}
				if len(line) == 0 {
					return body, len(buf) - len(behind), nil
				}
			}
		}
		if len(behind) < int(size)+2 {
			return nil, 0, nil
		}
		if behind[size] != '\r' || behind[size+1] != '\n' {
			return nil, 0, ErrMalformed
		}
		body = append(body, behind[:size]...)
		rest = behind[size+2:]
	}
}

// Host is one entry of a list, as discovery words it.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
	Mode   string  `json:"mode"`
}

// List is the whole list, or what changed of it.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// ReadList reads a list of at most so many entries.
func ReadList(body []byte, most int) (*List, error) {
	var l struct {
		List
		Seq   *int64  `json:"seq"`
		Hosts *[]Host `json:"hosts"`
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, err
	}
	if l.Seq == nil || l.Hosts == nil || len(*l.Hosts) > most {
		return nil, ErrMalformed
	}
	return &List{*l.Seq, l.Whole, *l.Hosts}, nil
}
