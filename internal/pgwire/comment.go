package pgwire

import (
	"bytes"
	"fmt"
	"strconv"
)

// Comment holds the attributes of a txn from the comment in front of a statement. Its byte slices are parts of the
// statement.
type Comment struct {
	ID             uint64
	Class          []byte
	IdempotencyKey []byte  // identifies repeated submissions
	Session        []byte  // the first quoted string after the comment
	Budget         float64 // how long the client will wait, in milliseconds
	After          float64 // the minimum position that a read must see, in Unix milliseconds; 0 is none
	Group          int
	Retry          bool
	Token          []byte // a signed position, in hexadecimal

	// Offsets in the statement.
	budgetStart, budgetEnd int // of the digits of Budget
	afterStart, afterEnd   int // of the attribute after without its commas; an end of 0 means that it is absent
	commentEnd             int // of the mark that closes the comment
}

var commentOpen, commentClose = []byte("/*"), []byte("*/")

// ReadComment parses the comment of a statement and returns the first error in it.
func ReadComment(text []byte) (c Comment, err error) {
	rest, ok := bytes.CutPrefix(text, commentOpen)
	if !ok {
		return c, fmt.Errorf("the statement does not begin with a comment")
	}
	length := bytes.Index(rest, commentClose)
	if length < 0 {
		return c, fmt.Errorf("the comment does not end")
	}
	c.Group, c.commentEnd = -1, len(commentOpen)+length
	for start, limit := len(commentOpen), len(commentOpen)+length; start < limit; {
		end := limit
		if i := bytes.IndexByte(text[start:limit], ','); i >= 0 {
			end = start + i
		}
		name, value, ok := bytes.Cut(text[start:end], []byte{'='})
		name, trimmed := bytes.TrimLeft(name, " "), bytes.TrimRight(value, " ")
		if !ok || len(trimmed) == 0 {
			return c, fmt.Errorf("the comment has a part without name or value")
		}
		offset := end - len(value)
		if string(name) == "after" {
			c.afterStart, c.afterEnd = start, end
		}
		if err := c.set(name, trimmed, offset); err != nil {
			return c, err
		}
		start = end + 1
	}
	switch {
	case c.ID == 0:
		return c, fmt.Errorf("the comment lacks id")
	case c.Class == nil:
		return c, fmt.Errorf("the comment lacks c")
	case c.budgetEnd == 0:
		return c, fmt.Errorf("the comment lacks d")
	case c.Group < 0:
		return c, fmt.Errorf("the comment lacks cluster")
	}
	rest = rest[length+len(commentClose):]
	if i := bytes.IndexByte(rest, '\''); i >= 0 {
		if j := bytes.IndexByte(rest[i+1:], '\''); j >= 0 {
			c.Session = rest[i+1 : i+1+j]
		}
	}
	return c, nil
}

// set sets the attribute with a name; offset is that of its value in the statement.
func (c *Comment) set(name, value []byte, offset int) error {
	ok := true
	switch string(name) {
	case "id":
		var err error
		c.ID, err = strconv.ParseUint(string(value), 16, 64)
		ok = err == nil && c.ID != 0
	case "c":
		c.Class = value
	case "d":
		c.Budget, ok = ParseNumber(value)
		ok = ok && c.Budget > 0
		c.budgetStart, c.budgetEnd = offset, offset+len(value)
	case "k":
		c.IdempotencyKey = value
	case "r":
		c.Retry = len(value) == 1 && value[0] == '1'
	case "cluster":
		n, err := strconv.ParseUint(string(value), 10, 16)
		c.Group, ok = int(n), err == nil
	case "at":
		c.Token = value
	case "after":
		c.After, ok = ParseNumber(value)
	}
	if !ok {
		return fmt.Errorf("the comment has a bad value for %s", name)
	}
	return nil
}

// TableName returns the table that a statement names first, after FROM, INTO or UPDATE, without quotes and schema. It
// returns nil if there is none.
func TableName(text []byte) []byte {
	if _, statement, ok := bytes.Cut(text, commentClose); ok && bytes.HasPrefix(text, commentOpen) {
		text = statement
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

// AppendWithAfter appends the statement to dst with another After, in Unix milliseconds, and another Budget in its comment.
func (c *Comment) AppendWithAfter(dst, text []byte, budget int64, after float64) []byte {
	afterStart, afterEnd := c.afterStart, c.afterEnd
	if afterEnd == 0 {
		afterStart, afterEnd = c.commentEnd, c.commentEnd
	}
	attribute := append([]byte(",after="), strconv.AppendFloat(nil, after, 'f', -1, 64)...)
	if afterStart == len(commentOpen) || text[afterStart-1] == ',' {
		attribute = attribute[1:]
	}
	replacements := [...]struct {
		start, end int
		text       []byte
	}{{c.budgetStart, c.budgetEnd, strconv.AppendInt(nil, budget, 10)}, {afterStart, afterEnd, attribute}}
	if replacements[0].start > replacements[1].start {
		replacements[0], replacements[1] = replacements[1], replacements[0]
	}
	copied := 0
	for _, r := range replacements {
		dst = append(append(dst, text[copied:r.start]...), r.text...)
		copied = r.end
	}
	return append(dst, text[copied:]...)
}

// SplitAtBudget returns the text before and after the digits of Budget.
func (c *Comment) SplitAtBudget(text []byte) (before, after []byte) {
	return text[:c.budgetStart], text[c.budgetEnd:]
}
