// Package httpwire formats HTTP requests to the discovery service and parses its responses and host lists. It does no
// network I/O.
package httpwire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// ErrMalformed reports input that cannot become a valid response, whatever follows.
var ErrMalformed = errors.New("malformed response")

const maxHeaderBytes = 16 << 10 // of status line and header fields

// AppendGet appends a GET request that keeps the connection open.
func AppendGet(dst []byte, host, target string) []byte {
	return fmt.Appendf(dst, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target, host)
}

// Response is one complete response.
type Response struct {
	Status   int
	Body     []byte
	Size     int  // bytes that the whole response takes in the buffer
	Close    bool // the server closes the connection after it
	UntilEOF bool // it has no length: it is complete when the server closes the connection cleanly
}

// ReadResponse parses a response with a body of at most maxBody bytes; ok is false while it is incomplete.
func ReadResponse(buf []byte, maxBody int) (r Response, ok bool, err error) {
	header, rest, complete := bytes.Cut(buf, []byte("\r\n\r\n"))
	if !complete {
		if len(buf) > maxHeaderBytes {
			return r, false, ErrMalformed
		}
		return r, false, nil
	}
	statusLine, fields, _ := bytes.Cut(header, []byte("\r\n"))
	if len(statusLine) < 12 || !bytes.HasPrefix(statusLine, []byte("HTTP/1.")) || len(header) > maxHeaderBytes {
		return r, false, ErrMalformed
	}
	if r.Status, err = strconv.Atoi(string(statusLine[9:12])); err != nil || r.Status < 200 {
		return r, false, ErrMalformed
	}
	r.Close = statusLine[7] == '0'
	length, chunked := -1, false
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte("\r\n"))
		name, value, found := bytes.Cut(field, []byte{':'})
		value = bytes.TrimSpace(value)
		switch {
		case !found:
			return r, false, ErrMalformed
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 || length > maxBody {
				return r, false, ErrMalformed
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			chunked = bytes.EqualFold(value, []byte("chunked"))
		case bytes.EqualFold(name, []byte("Connection")):
			r.Close = r.Close || bytes.EqualFold(value, []byte("close"))
		}
	}
	bodyStart := len(buf) - len(rest)
	switch {
	case chunked:
		n := 0
		if r.Body, n, err = readChunked(rest, maxBody); n == 0 || err != nil {
			return r, false, err
		}
		r.Size = bodyStart + n
	case length >= 0 || r.Status == 204 || r.Status == 304:
		length = max(length, 0)
		if len(rest) < length {
			return r, false, nil
		}
		r.Body, r.Size = rest[:length], bodyStart+length
	default:
		if len(rest) > maxBody {
			return r, false, ErrMalformed
		}
		r.Body, r.Size, r.Close, r.UntilEOF = rest, len(buf), true, true
		return r, false, nil
	}
	return r, true, nil
}

// readChunked decodes a chunked body; n is its encoded length, 0 while it is incomplete.
func readChunked(buf []byte, maxBody int) (body []byte, n int, err error) {
	for rest := buf; ; {
		line, remainder, complete := bytes.Cut(rest, []byte("\r\n"))
		if !complete {
			if len(rest) > maxHeaderBytes {
				return nil, 0, ErrMalformed
			}
			return nil, 0, nil
		}
		digits, _, _ := bytes.Cut(line, []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil || int(size) > maxBody || len(body)+int(size) > maxBody {
			return nil, 0, ErrMalformed
		}
		if size == 0 { // optional trailers follow, up to an empty line
			for {
				line, remainder, complete = bytes.Cut(remainder, []byte("\r\n"))
				if !complete {
					return nil, 0, nil
				}
				if len(line) == 0 {
					return body, len(buf) - len(remainder), nil
				}
			}
		}
		if len(remainder) < int(size)+2 {
			return nil, 0, nil
		}
		if remainder[size] != '\r' || remainder[size+1] != '\n' {
			return nil, 0, ErrMalformed
		}
		body = append(body, remainder[:size]...)
		rest = remainder[size+2:]
	}
}

// Host is one entry of a list, in the format of the discovery service.
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

// List is the full list of hosts, or only the entries that changed.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// ReadList parses a list of at most maxHosts entries.
func ReadList(body []byte, maxHosts int) (*List, error) {
	var l struct {
		List
		Seq   *int64  `json:"seq"`
		Hosts *[]Host `json:"hosts"`
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, err
	}
	if l.Seq == nil || l.Hosts == nil || len(*l.Hosts) > maxHosts {
		return nil, ErrMalformed
	}
	return &List{*l.Seq, l.Whole, *l.Hosts}, nil
}
