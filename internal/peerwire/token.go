package peerwire

import (
	"crypto/hmac"
	"encoding/hex"
)

// Tokens are what clients carry of a session: the position that it has reached, signed by the keys of the gateways,
// so that nobody pins a session to the primary, or loses its guarantee, by a position that was made up.

// tokenSize is that of a token before it is worded: key, position, authenticator.
const tokenSize = 1 + 8 + macSize

// TokenSize is how long a worded token is.
const TokenSize = 2 * tokenSize

// AppendToken words a token, in hexadecimal.
func (w *Wire) AppendToken(dst []byte, group uint16, session uint64, position int64) []byte {
	s := w.keys[0]
	raw := make([]byte, 0, tokenSize)
	raw = be.AppendUint64(append(raw, s.id), uint64(position))
	raw = append(raw, s.sum(tokenText(s.id, group, session, position))...)
	return hex.AppendEncode(dst, raw)
}

// ReadToken reads the token of a session; one that is not its own, or not of a key that is valid, is none.
func (w *Wire) ReadToken(text []byte, group uint16, session uint64) (position int64, ok bool) {
	if len(text) != TokenSize {
		return 0, false
	}
	var raw [tokenSize]byte
	if _, err := hex.Decode(raw[:], text); err != nil {
		return 0, false
	}
	s := w.signer(raw[0])
	if s == nil {
		return 0, false
	}
	position = int64(be.Uint64(raw[1:]))
	return position, hmac.Equal(s.sum(tokenText(s.id, group, session, position)), raw[9:]) && position > 0
}

// tokenText is what a token's authenticator is made of; its first byte keeps it apart from messages.
func tokenText(key uint8, group uint16, session uint64, position int64) []byte {
	text := append(make([]byte, 0, 20), 't', key)
	text = be.AppendUint16(text, group)
	text = be.AppendUint64(text, session)
	return be.AppendUint64(text, uint64(position))
}
