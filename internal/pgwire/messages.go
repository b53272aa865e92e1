// Package pgwire reads and writes messages of version 3 of PostgreSQL's protocol, as far as simple queries
// need them, and reads the comment in front of a statement. It knows no sockets: what it is given is what a
// connection's buffer holds, and what it finds there are parts of that buffer.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
)

var be = binary.BigEndian

// ErrMalformed is what cannot be a message, whatever follows.
var ErrMalformed = errors.New("malformed message")

// Opening is what a connection begins with.
type Opening int

const (
	Incomplete  Opening = iota
	Startup             // version 3
	Encryption          // SSLRequest or GSSENCRequest
	CancelQuery         // CancelRequest
)

// HeadSize is what Size needs of a message, ColumnHead what stands before the value in the body of a row of one column; MostOpening is the longest that a connection may begin with, as in
// PostgreSQL's own server.
const (
	HeadSize    = 5
	ColumnHead  = 6
	MostOpening = 10000
)

// mostOther is the longest message of a server but for rows; they are a few words.
const mostOther = 16 << 10

const (
	version3   = 3 << 16
	codeCancel = 1234<<16 | 5678
	codeSSL    = 1234<<16 | 5679
	codeGSS    = 1234<<16 | 5680
)

// Open reads the message that a connection begins with and tells its size.
func Open(buf []byte) (Opening, int, error) {
	if len(buf) < 4 {
		return Incomplete, 0, nil
	}
	size := int(be.Uint32(buf))
	if size < 8 || size > MostOpening {
		return Incomplete, 0, ErrMalformed
	}
	if len(buf) < 8 {
		return Incomplete, 0, nil
	}
	var kind Opening
	switch code := be.Uint32(buf[4:]); code {
	case codeSSL, codeGSS:
		kind = Encryption
	case codeCancel:
		kind = CancelQuery
	default:
		if code&^0xffff != version3 {
			return Incomplete, 0, ErrMalformed
		}
		kind = Startup
	}
	if len(buf) < size {
		return Incomplete, 0, nil
	}
	return kind, size, nil
}

// mostName is the longest name of a user or a database that is kept, as PostgreSQL's own.
const mostName = 63

// StartupNames are the user and the database that a whole startup message names; the database is the user's where
// it names none. Longer names than PostgreSQL's are cut, as its own server does.
func StartupNames(message []byte) (user, database string) {
	rest := message[8:]
	for len(rest) > 1 {
		name, behind, ok := bytes.Cut(rest, []byte{0})
		value, behind2, ok2 := bytes.Cut(behind, []byte{0})
		if !ok || !ok2 || len(name) == 0 {
			break
		}
		kept := string(value[:min(len(value), mostName)])
		switch string(name) {
		case "user":
			user = kept
		case "database":
			database = kept
		}
		rest = behind2
	}
	if database == "" {
		database = user
	}
	return user, database
}

// Size is the size of a message by its head, never under that of the head.
func Size(head []byte) int { return 1 + max(HeadSize-1, int(be.Uint32(head[1:]))) }

// Message reads one message of at most so many bytes; size is 0 while it is not whole.
func Message(buf []byte, most int) (kind byte, body []byte, size int, err error) {
	if len(buf) == 0 {
		return 0, nil, 0, nil
	}
	if kind = buf[0]; kind < 'A' || kind > 'z' {
		return 0, nil, 0, ErrMalformed
	}
	if len(buf) < 5 {
		return kind, nil, 0, nil
	}
	n := int(be.Uint32(buf[1:]))
	if n < 4 || n >= most {
		return kind, nil, 0, ErrMalformed
	}
	if len(buf) < 1+n {
		return kind, nil, 0, nil
	}
	return kind, buf[5 : 1+n], 1 + n, nil
}

// Text is the text of a message that holds one string, as Query does.
func Text(body []byte) ([]byte, bool) {
	end := len(body) - 1
	if end < 0 || bytes.IndexByte(body, 0) != end {
		return nil, false
	}
	return body[:end], true
}

// Parameter reads a ParameterStatus.
func Parameter(body []byte) (name, value []byte, ok bool) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	if !ok {
		return nil, nil, false
	}
	value, ok = Text(rest)
	return name, value, ok
}

// Column is the value of a DataRow of one column.
func Column(body []byte) ([]byte, bool) {
	if len(body) < 6 || be.Uint16(body) != 1 || int(int32(be.Uint32(body[2:]))) != len(body)-6 {
		return nil, false
	}
	return body[6:], true
}

// Columns counts what a RowDescription announces, 0 where it is none.
func Columns(body []byte) int {
	if len(body) < 2 {
		return 0
	}
	n, rest := int(be.Uint16(body)), body[2:]
	for range n { // a name and six numbers
		end := bytes.IndexByte(rest, 0)
		if end < 0 || len(rest) < end+1+18 {
			return 0
		}
		rest = rest[end+1+18:]
	}
	if len(rest) > 0 {
		return 0
	}
	return n
}

// Problem is what an ErrorResponse says.
type Problem struct {
	Code  string // SQLSTATE, empty where it is no ErrorResponse
	Fatal bool   // the connection ends with it
}

// ReadProblem reads an ErrorResponse; one that is not whole in itself says nothing.
func ReadProblem(body []byte) (p Problem) {
	for len(body) > 1 {
		field := body[0]
		value, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return Problem{}
		}
		switch field {
		case 'C':
			if p.Code != "" || len(value) != 5 {
				return Problem{}
			}
			p.Code = string(value)
		case 'S', 'V':
			p.Fatal = p.Fatal || string(value) == "FATAL" || string(value) == "PANIC"
		}
		body = rest
	}
	if len(body) != 1 || body[0] != 0 {
		return Problem{}
	}
	return p
}

// MayBegin tells of a message that may not be whole yet whether it can be one of a server's answer: a length
// that is none, or that is not that of the value within, is seen before what it promises has come.
func MayBegin(buf []byte, most int) bool {
	if len(buf) == 0 {
		return true
	}
	switch buf[0] {
	case 'Z':
		most = 5
	case 'S', 'N', 'E', 'T', 'C', 'R', 'K':
		most = min(most, mostOther)
	case 'D':
	default:
		return false
	}
	if len(buf) < HeadSize {
		return true
	}
	n := int(be.Uint32(buf[1:]))
	if n < 4 || n > most {
		return false
	}
	return buf[0] != 'D' || len(buf) < 11 || n >= 10 && be.Uint16(buf[5:]) == 1 && int(be.Uint32(buf[7:])) == n-10
}

// begin and end frame a message that is appended between them.
func begin(dst []byte, kind byte) ([]byte, int) {
	return append(dst, kind, 0, 0, 0, 0), len(dst) + 1
}

func end(dst []byte, at int) []byte {
	be.PutUint32(dst[at:], uint32(len(dst)-at))
	return dst
}

// AppendStartup asks a server for a session.
func AppendStartup(dst []byte, user, database string) []byte {
	at := len(dst)
	dst = append(dst, 0, 0, 0, 0, 0, 3, 0, 0)
	for _, s := range [...]string{"user", user, "database", database} {
		dst = append(append(dst, s...), 0)
	}
	return end(append(dst, 0), at)
}

// CancelKey is what a CancelRequest names a connection by: the number and the secret of its BackendKeyData.
type CancelKey struct{ Process, Secret uint32 }

// ReadCancelKey is that of a whole CancelRequest.
func ReadCancelKey(message []byte) (k CancelKey, ok bool) {
	if len(message) != 16 {
		return k, false
	}
	return CancelKey{be.Uint32(message[8:]), be.Uint32(message[12:])}, true
}

// AppendWelcome admits a client, which may cancel its queries by the key.
func AppendWelcome(dst []byte, key CancelKey) []byte {
	dst = append(dst, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, s := range [...][2]string{
		{"server_version", "15.0 (magpieglade)"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}, {"integer_datetimes", "on"},
	} {
		var at int
		dst, at = begin(dst, 'S')
		dst = append(append(append(append(dst, s[0]...), 0), s[1]...), 0)
		dst = end(dst, at)
	}
	dst, at := begin(dst, 'K')
	dst = be.AppendUint32(be.AppendUint32(dst, key.Process), key.Secret)
	return AppendReady(end(dst, at))
}

// AppendReady is ReadyForQuery, outside a transaction.
func AppendReady(dst []byte) []byte { return append(dst, 'Z', 0, 0, 0, 5, 'I') }

// AppendEmpty answers the empty query.
func AppendEmpty(dst []byte) []byte { return append(dst, 'I', 0, 0, 0, 4) }

// AppendParameter is a ParameterStatus.
func AppendParameter(dst []byte, name, value string) []byte {
	dst, at := begin(dst, 'S')
	return end(append(append(append(append(dst, name...), 0), value...), 0), at)
}

// AppendQuery is a simple query.
func AppendQuery(dst []byte, sql string) []byte {
	dst, at := begin(dst, 'Q')
	return end(append(append(dst, sql...), 0), at)
}

// AppendQueryHead is what stands in front of the text of a simple query of so many bytes.
func AppendQueryHead(dst []byte, text int) []byte {
	return be.AppendUint32(append(dst, 'Q'), uint32(4+text+1))
}

// AppendError is an ErrorResponse; detail may be empty.
func AppendError(dst []byte, severity, code, message, detail string) []byte {
	dst, at := begin(dst, 'E')
	for _, f := range [...]struct {
		field byte
		value string
	}{{'S', severity}, {'V', severity}, {'C', code}, {'M', message}, {'D', detail}} {
		if f.value != "" {
			dst = append(append(append(dst, f.field), f.value...), 0)
		}
	}
	return end(append(dst, 0), at)
}

// Number reads a number of a comment, a parameter or a detail.
func Number(text []byte) (float64, bool) {
	if len(text) == 0 || len(text) > 32 {
		return 0, false
	}
	x, err := strconv.ParseFloat(string(text), 64)
	return x, err == nil && x >= 0 && x < 1e15
}
