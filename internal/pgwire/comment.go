package pgwire

import (
	"bytes"
	"fmt"
	"strconv"
)

// Comment is what the comment in front of a statement says of a txn. Class, Key and Session are parts of the
// statement.
type Comment struct {
	ID           uint64
	Class        []byte
	Key          []byte  // the mark against repeats
	Session      []byte  // the first quoted text behind the comment
	Budget       float64 // how long the client will wait, in milliseconds
	After        float64 // the position that a read must see, in Unix milliseconds; 0 is none
	Group        int
	Retry        bool
	Token        []byte // a signed position, in hexadecimal
	dFrom, dUpto int    // where the digits of Budget stand
	aFrom, aUpto int    // where After and the comma before it stand; nothing is behind an end of 0
	end          int    // where the comment's last mark begins
}

var open, shut = []byte("/*"), []byte("*/")

// ReadComment reads the comment of a statement and names what is wrong with it.
func ReadComment(text []byte) (c Comment, err error) {
	rest, ok := bytes.CutPrefix(text, open)
	if !ok {
		return c, fmt.Errorf("the statement does not begin with a comment")
	}
	length := bytes.Index(rest, shut)
	if length < 0 {
		return c, fmt.Errorf("the comment does not end")
	}
	c.Group, c.end = -1, len(open)+length
	for from, upto := len(open), len(open)+length; from < upto; {
		end := upto
		if i := bytes.IndexByte(text[from:upto], ','); i >= 0 {
			end = from + i
		}
		name, value, ok := bytes.Cut(text[from:end], []byte{'='})
		name, trimmed := bytes.TrimLeft(name, " "), bytes.TrimRight(value, " ")
		if !ok || len(trimmed) == 0 {
			return c, fmt.Errorf("the comment has a part without name or value")
		}
		at := end - len(value)
		if string(name) == "after" {
			c.aFrom, c.aUpto = from, end
		}
		if err := c.set(name, trimmed, at); err != nil {
			return c, err
		}
		from = end + 1
	}
	switch {
	case c.ID == 0:
		return c, fmt.Errorf("the comment lacks id")
	case c.Class == nil:
		return c, fmt.Errorf("the comment lacks c")
	case c.dUpto == 0:
		return c, fmt.Errorf("the comment lacks d")
	case c.Group < 0:
		return c, fmt.Errorf("the comment lacks cluster")
	}
	rest = rest[length+len(shut):]
	if i := bytes.IndexByte(rest, '\''); i >= 0 {
		if j := bytes.IndexByte(rest[i+1:], '\''); j >= 0 {
			c.Session = rest[i+1 : i+1+j]
		}
	}
	return c, nil
}

// set takes one name and its value, which stands at a place of the statement.
func (c *Comment) set(name, value []byte, at int) error {
	ok := true
	switch string(name) {
	case "id":
		var err error
		c.ID, err = strconv.ParseUint(string(value), 16, 64)
		ok = err == nil && c.ID != 0
	case "c":
		c.Class = value
	case "d":
		c.Budget, ok = Number(value)
		ok = ok && c.Budget > 0
		c.dFrom, c.dUpto = at, at+len(value)
	case "k":
		c.Key = value
	case "r":
		c.Retry = len(value) == 1 && value[0] == '1'
	case "cluster":
		n, err := strconv.ParseUint(string(value), 10, 16)
		c.Group, ok = int(n), err == nil
	case "at":
		c.Token = value
	case "after":
		c.After, ok = Number(value)
	}
	if !ok {
		return fmt.Errorf("the comment has a bad value for %s", name)
	}
	return nil
}

// Table is the table that a statement names first, behind FROM, INTO or UPDATE; nil where there is none. Quotes and a
// schema before it are left out.
func Table(text []byte) []byte {
	if _, behind, ok := bytes.Cut(text, shut); ok && bytes.HasPrefix(text, open) {
		text = behind
	}
	for rest := text; ; {
		i := bytes.IndexAny(rest, " \t\n\r")
		if i < 0 {
			return nil
		}
		word := rest[:i]
		rest = bytes.TrimLeft(rest[i:], " \t\n\r")
		if !bytes.EqualFold(word, []byte("FROM")) && !bytes.EqualFold(word, []byte("INTO")) && !bytes.EqualFold(word, []byte("UPDATE")) {
			continue
		}
		if end := bytes.IndexAny(rest, " \t\n\r(;,"); end >= 0 {
			rest = rest[:end]
		}
		if dot := bytes.LastIndexByte(rest, '.'); dot >= 0 {
			rest = rest[dot+1:]
		}
		return bytes.Trim(rest, "\"")
	}
}

// Raise gives a statement whose comment says that the read must see another position, in Unix milliseconds, and this
// Budget; it is appended to dst.
func (c *Comment) Raise(dst, text []byte, budget int64, after float64) []byte {
	from, upto := c.aFrom, c.aUpto
	if upto == 0 {
		from, upto = c.end, c.end
	}
	word := append([]byte(",after="), strconv.AppendFloat(nil, after, 'f', -1, 64)...)
	if from == len(open) || text[from-1] == ',' {
		word = word[1:]
	}
	parts := [...]struct {
		from, upto int
		word       []byte
	}{{c.dFrom, c.dUpto, strconv.AppendInt(nil, budget, 10)}, {from, upto, word}}
	if parts[0].from > parts[1].from {
		parts[0], parts[1] = parts[1], parts[0]
	}
	at := 0
	for _, p := range parts {
		dst = append(append(dst, text[at:p.from]...), p.word...)
		at = p.upto
	}
	return append(dst, text[at:]...)
}

// Around gives what stands before and behind the digits of Budget.
func (c *Comment) Around(text []byte) (before, behind []byte) { return text[:c.dFrom], text[c.dUpto:] }
