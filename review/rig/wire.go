package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// message returns one message of PostgreSQL's protocol.
func message(kind byte, body string) []byte {
	out := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return append(out, body...)
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var header [5]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(header[1:])) - 4
	if n < 0 || n > 1<<22 {
		return 0, nil, fmt.Errorf("message of %d bytes", n)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

// startup returns the startup message of the users' page.
func startup() []byte {
	body := "\x00\x03\x00\x00user\x00portal\x00database\x00crm\x00\x00"
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

// errorFields returns the fields of an ErrorResponse.
func errorFields(body []byte) map[byte]string {
	fields := map[byte]string{}
	for len(body) > 1 {
		kind, start := body[0], 1
		end := start
		for end < len(body) && body[end] != 0 {
			end++
		}
		fields[kind] = string(body[start:end])
		body = body[min(end+1, len(body)):]
	}
	return fields
}

// errorMessage returns an ErrorResponse.
func errorMessage(code, text string) []byte {
	return message('E', "SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00")
}

var readyForQuery = message('Z', "I")

// clientConn is a client's connection.
type clientConn struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

// dialGateway connects a client and reads up to the first ReadyForQuery.
func dialGateway(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &clientConn{conn: conn.(*net.TCPConn), reader: bufio.NewReaderSize(conn, 1<<16)}
	if _, err := conn.Write(startup()); err != nil {
		c.close()
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	defer conn.SetReadDeadline(time.Time{})
	for {
		kind, _, err := readMessage(c.reader)
		if err == nil && kind == 'E' {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			c.close()
			return nil, err
		}
		if kind == 'Z' {
			return c, nil
		}
	}
}

func (c *clientConn) close() { _ = c.conn.Close() }

// answer is what a client got for a request.
type answer struct {
	code  string // SQLSTATE of an ErrorResponse, empty for a row
	text  string // its message
	fatal bool
	value []byte
	err   error // the connection ended before the answer was whole
}

// readAnswer reads the answer to one request.
func (c *clientConn) readAnswer(until time.Time) (a answer) {
	_ = c.conn.SetReadDeadline(until)
	whole := false
	for {
		kind, body, err := readMessage(c.reader)
		if err != nil {
			if !whole {
				a.err = err
			}
			return a
		}
		switch kind {
		case 'D':
			a.value = body[6:]
		case 'C':
			whole = true
		case 'E':
			f := errorFields(body)
			a.code, a.text, a.fatal, whole = f['C'], f['M'], f['S'] == "FATAL", true
			if a.fatal {
				return a
			}
		case 'Z':
			if whole {
				return a
			}
		}
	}
}

func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.code != "":
		return fmt.Sprintf("error %s fatal=%v %q", a.code, a.fatal, a.text)
	}
	return fmt.Sprintf("served, %d bytes", len(a.value))
}

// errConnectionEnded is for requests behind one whose connection the gateway ended.
var errConnectionEnded = errors.New("the gateway ended the connection")
