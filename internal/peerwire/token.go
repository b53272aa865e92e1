package peerwire

import (
	"crypto/hmac"
	"encoding/hex"
)

// Clients carry a token of their session: the position that the session has reached, signed with the gateways' keys, so
// that nobody can pin a session to the primary, or break its guarantee, with an invented position.

// rawTokenSize is the size of a token before hexadecimal encoding: key ID, position, authenticator.
const rawTokenSize = 1 + 8 + macSize

// TokenSize is the size of an encoded token in bytes.
const TokenSize = 2 * rawTokenSize

// AppendToken appends a token in hexadecimal.
func (c *Codec) AppendToken(dst []byte, group uint16, session uint64, position int64) []byte {
	s := c.keys[0]
	raw := make([]byte, 0, rawTokenSize)
	raw = be.AppendUint64(append(raw, s.id), uint64(position))
	raw = append(raw, s.sum(tokenMACInput(s.id, group, session, position))...)
	return hex.AppendEncode(dst, raw)
}

// ReadToken verifies the token of a session; ok is false if it belongs to another session or group, or was not signed with
// a valid key.
func (c *Codec) ReadToken(text []byte, group uint16, session uint64) (position int64, ok bool) {
	if len(text) != TokenSize {
		return 0, false
	}
	var raw [rawTokenSize]byte
	if _, err := hex.Decode(raw[:], text); err != nil {
		return 0, false
	}
	s := c.signer(raw[0])
	if s == nil {
		return 0, false
	}
	position = int64(be.Uint64(raw[1:]))
	return position, hmac.Equal(s.sum(tokenMACInput(s.id, group, session, position)), raw[9:]) && position > 0
}

// tokenMACInput returns the bytes that a token's authenticator covers; the first byte distinguishes them from messages.
func tokenMACInput(key uint8, group uint16, session uint64, position int64) []byte {
	text := append(make([]byte, 0, 20), 't', key)
	text = be.AppendUint16(text, group)
	text = be.AppendUint64(text, session)
	return be.AppendUint64(text, uint64(position))
}
