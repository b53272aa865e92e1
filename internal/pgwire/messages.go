// Package pgwire encodes and decodes messages of version 3 of the PostgreSQL protocol, as far as simple queries need them,
// and parses the comment in front of a statement. It does no network I/O: its input is the content of a connection's
// buffer, and its results are slices of that buffer.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
)

var be = binary.BigEndian

// ErrMalformed reports input that cannot become a valid message, whatever follows.
var ErrMalformed = errors.New("malformed message")

// StartupPacketKind is the kind of the first message on a connection.
type StartupPacketKind int

const (
	Incomplete        StartupPacketKind = iota
	Startup                             // StartupMessage of version 3
	EncryptionRequest                   // SSLRequest or GSSENCRequest
	CancelRequest
)

// Sizes in bytes.
const (
	HeaderSize           = 5     // type and length of a message
	ColumnHeaderSize     = 6     // column count and length before the value in the body of a DataRow of one column
	MaxStartupPacketSize = 10000 // as in PostgreSQL's own server
)

// maxNonRowSize is the maximum size of a server's messages other than DataRow; they are short.
const maxNonRowSize = 16 << 10

// Protocol version and request codes of startup packets.
const (
	version3   = 3 << 16
	codeCancel = 1234<<16 | 5678
	codeSSL    = 1234<<16 | 5679
	codeGSS    = 1234<<16 | 5680
)

// ReadStartupPacket decodes the first message on a connection and returns its kind and size.
func ReadStartupPacket(buf []byte) (StartupPacketKind, int, error) {
	if len(buf) < 4 {
		return Incomplete, 0, nil
	}
	size := int(be.Uint32(buf))
	if size < 8 || size > MaxStartupPacketSize {
		return Incomplete, 0, ErrMalformed
	}
	if len(buf) < 8 {
		return Incomplete, 0, nil
	}
	var kind StartupPacketKind
	switch code := be.Uint32(buf[4:]); code {
	case codeSSL, codeGSS:
		kind = EncryptionRequest
	case codeCancel:
		kind = CancelRequest
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

// maxNameLength is the maximum length of a user or database name, as in PostgreSQL.
const maxNameLength = 63

// StartupNames returns the user and the database of a complete startup message; the database defaults to the user's name.
// Longer names than PostgreSQL's are truncated, as its own server does.
func StartupNames(message []byte) (user, database string) {
	rest := message[8:]
	for len(rest) > 1 {
		name, afterName, ok := bytes.Cut(rest, []byte{0})
		value, afterValue, ok2 := bytes.Cut(afterName, []byte{0})
		if !ok || !ok2 || len(name) == 0 {
			break
		}
		truncated := string(value[:min(len(value), maxNameLength)])
		switch string(name) {
		case "user":
			user = truncated
		case "database":
			database = truncated
		}
		rest = afterValue
	}
	if database == "" {
		database = user
	}
	return user, database
}

// MessageSize returns the size of a message from its header, at least that of the header.
func MessageSize(header []byte) int { return 1 + max(HeaderSize-1, int(be.Uint32(header[1:]))) }

// ReadMessage decodes one message of at most maxSize bytes; size is 0 while it is incomplete.
func ReadMessage(buf []byte, maxSize int) (kind byte, body []byte, size int, err error) {
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
	if n < 4 || n >= maxSize {
		return kind, nil, 0, ErrMalformed
	}
	if len(buf) < 1+n {
		return kind, nil, 0, nil
	}
	return kind, buf[5 : 1+n], 1 + n, nil
}

// Scanner follows a stream of messages without keeping them. Its zero value is at the beginning of a message.
type Scanner struct {
	header     [HeaderSize]byte
	headerSize int // bytes of the header that have been seen
	bodyLeft   int // bytes of the body that have not been seen
}

// Scan passes over the next part of the stream and appends the kind of each message that ends in it.
func (s *Scanner) Scan(kinds, data []byte, maxSize int) ([]byte, error) {
	for len(data) > 0 {
		if s.headerSize < HeaderSize {
			n := copy(s.header[s.headerSize:], data)
			s.headerSize += n
			data = data[n:]
			if _, _, _, err := ReadMessage(s.header[:s.headerSize], maxSize); err != nil {
				return kinds, err
			}
			if s.headerSize < HeaderSize {
				break
			}
			s.bodyLeft = MessageSize(s.header[:]) - HeaderSize
		}
		n := min(s.bodyLeft, len(data))
		s.bodyLeft -= n
		data = data[n:]
		if s.bodyLeft == 0 {
			kinds = append(kinds, s.header[0])
			s.headerSize = 0
		}
	}
	return kinds, nil
}

// InMessage reports whether a message has begun that has not ended.
func (s *Scanner) InMessage() bool { return s.headerSize > 0 }

// ReadString decodes the body of a message that holds one string, such as Query.
func ReadString(body []byte) ([]byte, bool) {
	end := len(body) - 1
	if end < 0 || bytes.IndexByte(body, 0) != end {
		return nil, false
	}
	return body[:end], true
}

// ReadParameterStatus decodes the body of a ParameterStatus.
func ReadParameterStatus(body []byte) (name, value []byte, ok bool) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	if !ok {
		return nil, nil, false
	}
	value, ok = ReadString(rest)
	return name, value, ok
}

// ReadColumn returns the value of a DataRow of one column.
func ReadColumn(body []byte) ([]byte, bool) {
	if len(body) < 6 || be.Uint16(body) != 1 || int(int32(be.Uint32(body[2:]))) != len(body)-6 {
		return nil, false
	}
	return body[6:], true
}

// CountColumns returns the number of columns of a RowDescription, 0 if it is malformed.
func CountColumns(body []byte) int {
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

// ErrorResponse holds the fields of an ErrorResponse.
type ErrorResponse struct {
	Code  string // SQLSTATE, empty if the message is malformed
	Fatal bool   // the server closes the connection after it
}

// ReadErrorResponse decodes the body of an ErrorResponse; for a malformed one it returns the zero value.
func ReadErrorResponse(body []byte) (e ErrorResponse) {
	for len(body) > 1 {
		field := body[0]
		value, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return ErrorResponse{}
		}
		switch field {
		case 'C':
			if e.Code != "" || len(value) != 5 {
				return ErrorResponse{}
			}
			e.Code = string(value)
		case 'S', 'V':
			e.Fatal = e.Fatal || string(value) == "FATAL" || string(value) == "PANIC"
		}
		body = rest
	}
	if len(body) != 1 || body[0] != 0 {
		return ErrorResponse{}
	}
	return e
}

// MayBeResponse reports whether a message, which may be incomplete, can belong to a server's response. An invalid length,
// or one that contradicts the length of the value within, is detected before the announced bytes arrive.
func MayBeResponse(buf []byte, maxSize int) bool {
	if len(buf) == 0 {
		return true
	}
	switch buf[0] {
	case 'Z':
		maxSize = 5
	case 'S', 'N', 'E', 'T', 'C', 'R', 'K':
		maxSize = min(maxSize, maxNonRowSize)
	case 'D':
	default:
		return false
	}
	if len(buf) < HeaderSize {
		return true
	}
	n := int(be.Uint32(buf[1:]))
	if n < 4 || n > maxSize {
		return false
	}
	return buf[0] != 'D' || len(buf) < 11 || n >= 10 && be.Uint16(buf[5:]) == 1 && int(be.Uint32(buf[7:])) == n-10
}

// beginMessage appends a message's type and space for its length, whose offset it returns. endMessage sets the length once
// the body was appended.
func beginMessage(dst []byte, kind byte) ([]byte, int) {
	return append(dst, kind, 0, 0, 0, 0), len(dst) + 1
}

func endMessage(dst []byte, lengthOffset int) []byte {
	be.PutUint32(dst[lengthOffset:], uint32(len(dst)-lengthOffset))
	return dst
}

// AppendStartup appends a StartupMessage.
func AppendStartup(dst []byte, user, database string) []byte {
	lengthOffset := len(dst)
	dst = append(dst, 0, 0, 0, 0, 0, 3, 0, 0)
	for _, s := range [...]string{"user", user, "database", database} {
		dst = append(append(dst, s...), 0)
	}
	return endMessage(append(dst, 0), lengthOffset)
}

// CancelKey identifies a connection in a CancelRequest: the process number and the secret of its BackendKeyData.
type CancelKey struct{ Process, Secret uint32 }

// ReadCancelKey returns the key of a complete CancelRequest.
func ReadCancelKey(message []byte) (k CancelKey, ok bool) {
	if len(message) != 16 {
		return k, false
	}
	return CancelKey{be.Uint32(message[8:]), be.Uint32(message[12:])}, true
}

// AppendAuthenticationOK appends the messages that admit a client: AuthenticationOk, the parameters, the key by which it
// may cancel its queries, and ReadyForQuery.
func AppendAuthenticationOK(dst []byte, key CancelKey) []byte {
	dst = append(dst, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, s := range [...][2]string{
		{"server_version", "15.0 (magpieglade)"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}, {"integer_datetimes", "on"},
	} {
		var lengthOffset int
		dst, lengthOffset = beginMessage(dst, 'S')
		dst = append(append(append(append(dst, s[0]...), 0), s[1]...), 0)
		dst = endMessage(dst, lengthOffset)
	}
	dst, lengthOffset := beginMessage(dst, 'K')
	dst = be.AppendUint32(be.AppendUint32(dst, key.Process), key.Secret)
	return AppendReadyForQuery(endMessage(dst, lengthOffset))
}

// AppendReadyForQuery appends a ReadyForQuery, outside a transaction.
func AppendReadyForQuery(dst []byte) []byte { return append(dst, 'Z', 0, 0, 0, 5, 'I') }

// AppendEmptyQueryResponse appends an EmptyQueryResponse.
func AppendEmptyQueryResponse(dst []byte) []byte { return append(dst, 'I', 0, 0, 0, 4) }

// AppendParameterStatus appends a ParameterStatus.
func AppendParameterStatus(dst []byte, name, value string) []byte {
	dst, lengthOffset := beginMessage(dst, 'S')
	return endMessage(append(append(append(append(dst, name...), 0), value...), 0), lengthOffset)
}

// AppendQuery appends a simple Query.
func AppendQuery(dst []byte, sql string) []byte {
	dst, lengthOffset := beginMessage(dst, 'Q')
	return endMessage(append(append(dst, sql...), 0), lengthOffset)
}

// AppendQueryHeader appends the header of a simple Query whose text has textSize bytes.
func AppendQueryHeader(dst []byte, textSize int) []byte {
	return be.AppendUint32(append(dst, 'Q'), uint32(4+textSize+1))
}

// AppendError appends an ErrorResponse; detail may be empty.
func AppendError(dst []byte, severity, code, message, detail string) []byte {
	dst, lengthOffset := beginMessage(dst, 'E')
	for _, f := range [...]struct {
		field byte
		value string
	}{{'S', severity}, {'V', severity}, {'C', code}, {'M', message}, {'D', detail}} {
		if f.value != "" {
			dst = append(append(append(dst, f.field), f.value...), 0)
		}
	}
	return endMessage(append(dst, 0), lengthOffset)
}

// ParseNumber parses a non-negative number of a comment, a parameter or an error detail.
func ParseNumber(text []byte) (float64, bool) {
	if len(text) == 0 || len(text) > 32 {
		return 0, false
	}
	x, err := strconv.ParseFloat(string(text), 64)
	return x, err == nil && x >= 0 && x < 1e15
}
