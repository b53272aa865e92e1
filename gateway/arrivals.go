package gateway

import (
	"golang.org/x/sys/unix"

	"magpieglade/decide"
	"magpieglade/internal/pgwire"
)

// A client's time runs from when it sends its query. The loop reads a query within a moment, unless it was stalled or the
// connection waited to be accepted: then the time that the query has been in the socket counts too.

// arrival is the time by which a client's bytes up to an offset had arrived.
type arrival struct {
	upTo int64
	at   decide.Nanos
}

// maxArrivals is how many arrivals are kept per client; later bytes count as having arrived with the last of them.
const maxArrivals = 32

// recordArrival records the arrival time of the bytes that are new in the buffer, which now holds waiting bytes.
func (c *client) recordArrival(waiting int, now decide.Nanos) {
	total := c.consumedBytes + int64(waiting)
	switch n := len(c.arrivals); {
	case n > 0 && c.arrivals[n-1].upTo >= total:
	case n == maxArrivals:
		c.arrivals[n-1].upTo = total
	default:
		c.arrivals = append(c.arrivals, arrival{total, now})
	}
}

// dateInput dates what a client has sent if it may have been in the socket for long. After a stall more is read before the
// turn in which it is processed, so its memory is limited here too.
func (cs *clients) dateInput(o *owner) {
	c := cs.conns.Get(o.ref)
	now := cs.g.clock.now()
	switch {
	case c == nil || c.stage == stageClosing:
	case cs.g.recovery.active:
		c.recordUnreadArrival(cs.g.recovery.stalledFrom, now)
		if cs.limitInput(o.ref, c) {
			cs.updateReading(c)
		}
	case o.connectedAfter > 0:
		c.recordUnreadArrival(o.connectedAfter, now)
		o.connectedAfter = 0
	case c.unreadSince > 0:
		c.recordBacklog(now)
	}
}

// recordBacklog dates what a client sent while reading from it was stopped, read or not. What comes later came after now.
func (c *client) recordBacklog(now decide.Nanos) {
	earliest, unread := c.unreadSince, c.conn.Unread()
	c.unreadSince = 0
	switch {
	case unread == 0:
		c.recordUnreadArrival(earliest, now)
	case c.dropped == nil:
		c.recordArrival(c.unprocessed()+unread, earliest)
		c.unreadSince = now
	}
}

// recordUnreadArrival dates input that may have been in the socket since a given time. Only the time of the last bytes is
// known, which are those of the last message: all before it counts as having arrived at the earliest time.
func (c *client) recordUnreadArrival(earliest, now decide.Nanos) {
	if c.dropped != nil {
		return
	}
	waiting := c.conn.InboundBuffered()
	if waiting > maxMessageSize { // more than one message, and the end of another: not worth the search for where that begins
		c.recordArrival(waiting, earliest)
		return
	}
	if input, err := c.conn.Peek(-1); err == nil {
		if last := startOfLastMessage(input, c.admitted); last > 0 {
			c.recordArrival(last, earliest)
		}
	}
	c.recordArrival(waiting, lastArrival(c.conn.Fd(), earliest, now))
}

// lastArrival is when the latest bytes of a connection arrived, as the kernel tells it, or else the earliest time at which
// they can have arrived.
func lastArrival(fd int, earliest, now decide.Nanos) decide.Nanos {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return earliest
	}
	return max(earliest, now-decide.Nanos(info.Last_data_recv)*decide.Millisecond)
}

// startOfLastMessage returns where the last message of a client's input begins, whether or not it is whole.
func startOfLastMessage(input []byte, admitted bool) (start int) {
	if !admitted {
		_, size, err := pgwire.ReadStartupPacket(input)
		if err != nil || size == 0 || size == len(input) {
			return 0
		}
		start = size
	}
	for {
		_, _, size, err := pgwire.ReadMessage(input[start:], maxMessageSize)
		if err != nil || size == 0 || start+size == len(input) {
			return start
		}
		start += size
	}
}

// queuedFor returns how long the first size bytes of the buffer have been waiting: in the socket, behind another query, or
// behind its response.
func (c *client) queuedFor(size int, now decide.Nanos) decide.Nanos {
	for _, a := range c.arrivals {
		if a.upTo >= c.consumedBytes+int64(size) {
			return now - a.at
		}
	}
	return 0
}
