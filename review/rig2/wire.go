package main

import (
	"encoding/binary"
	"io"
)

// Messages of version 3 of PostgreSQL's protocol, as far as simple queries need them.

// appendMessage appends a message of a kind.
func appendMessage(dst []byte, kind byte, body []byte) []byte {
	dst = append(dst, kind)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

// appendStartup appends the startup message of a client.
func appendStartup(dst []byte) []byte {
	body := binary.BigEndian.AppendUint32(nil, 3<<16)
	body = append(body, "user\x00portal\x00database\x00crm\x00\x00"...)
	return append(binary.BigEndian.AppendUint32(dst, uint32(len(body)+4)), body...)
}

func appendQuery(dst []byte, text string) []byte {
	return appendMessage(dst, 'Q', append([]byte(text), 0))
}

func appendStatus(dst []byte, name, value string) []byte {
	return appendMessage(dst, 'S', []byte(name+"\x00"+value+"\x00"))
}

func appendReady(dst []byte) []byte { return appendMessage(dst, 'Z', []byte{'I'}) }

func appendError(dst []byte, code, text string) []byte {
	return appendMessage(dst, 'E', []byte("SERROR\x00C"+code+"\x00M"+text+"\x00\x00"))
}

// appendRow appends an answer of one row with one binary column.
func appendRow(dst, value []byte) []byte {
	description := []byte{0, 1}
	description = append(description, "data\x00"...)
	description = append(description, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	dst = appendMessage(dst, 'T', description)
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	dst = appendMessage(dst, 'D', append(row, value...))
	return appendMessage(dst, 'C', []byte("SELECT 1\x00"))
}

// readStartup reads a startup packet and returns its code.
func readStartup(in io.Reader) (code uint32, err error) {
	var header [4]byte
	if _, err = io.ReadFull(in, header[:]); err != nil {
		return 0, err
	}
	body := make([]byte, max(4, int(binary.BigEndian.Uint32(header[:]))-4))
	if _, err = io.ReadFull(in, body); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint32(body), nil
}

// readMessage reads one message.
func readMessage(in io.Reader) (kind byte, body []byte, err error) {
	var header [5]byte
	if _, err = io.ReadFull(in, header[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, max(0, int(binary.BigEndian.Uint32(header[1:]))-4))
	_, err = io.ReadFull(in, body)
	return header[0], body, err
}

// errorCode returns the SQLSTATE of an ErrorResponse.
func errorCode(body []byte) (code string) {
	for len(body) > 1 {
		end := 1
		for end < len(body) && body[end] != 0 {
			end++
		}
		if body[0] == 'C' {
			code = string(body[1:end])
		}
		body = body[min(len(body), end+1):]
	}
	return code
}
