package gateway

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"github.com/panjf2000/gnet/v2"

	"magpieglade/decide"
	"magpieglade/fleet"
	"magpieglade/internal/deadlines"
	"magpieglade/internal/httpwire"
)

const (
	maxListBytes   = 1 << 20 // bytes of an answer
	maxListEntries = 4096
	// A change counts as told six seconds after discovery had it and could be reached. So a watch that fell silent, the
	// pause after it and the call that brings what it missed take less: 2.5 + 1.0 + 0.4 + 1.9 s; and so do a call
	// that is given up, the longest pause and the next call: 1.9 + 1.9 + 1.9 s. docs/design.md has the sum.
	watchWaitMs   = 2500                      // how long a watch waits
	watchMargin   = 1000 * decide.Millisecond // beyond that: calls are handled in turn
	callTimeout   = 1900 * decide.Millisecond // of a call that need not wait, with its dial
	unreadGrace   = 20 * decide.Millisecond   // for what has come, unread, when a call's time is up
	noListVersion = math.MinInt64             // the version of a list that this discovery did not give
)

// discoveryClient is the list and the calls for it. It belongs to the loop.
type discoveryClient struct {
	g        *Gateway
	list     memberList
	calls    [2]call                // by callKind
	draining map[decide.Server]bool // that get nothing new
}

// callKind tells the calls apart; each has a connection of its own, as a watch holds up what is behind it.
type callKind int

const (
	callWatch callKind = iota
	callFetch
)

// call is a connection to discovery and what is asked on it. It is given back in hangUpCall.
type call struct {
	kind             callKind
	conn             gnet.Conn
	connNo           uint64 // of the connection; late events of a former one have another
	dialing          bool
	awaitingResponse bool  // an answer is awaited
	afterVersion     int64 // the version that was in force when it was made
	waitMs           int   // milliseconds that the call may wait
	graceUsed        bool  // its time is up, and what has come is still read
	timeout          *deadlines.Entry[timerEvent]
	lastFailure      string    // why the last one failed
	lateConn         gnet.Conn // of the call before, given up: what still comes on it counts as told
	lateConnNo       uint64
}

// roster is what discovery told.
type memberList struct {
	seq           int64 // of discovery where it is now
	received      bool  // there is one
	hosts         map[string]host
	knownGroups   map[int]bool    // that were ever named
	loggedUnknown map[string]bool // names that were logged as unknown
}

type host struct {
	server decide.Server
	entry  httpwire.Host
	key    uint64 // by which other gateways know it
}

// news is a list to tell the module.
type listUpdate struct {
	list  *httpwire.List
	scope decide.Scope
}

// call asks discovery for changes, or for the whole list.
func (ds *discoveryClient) startCall(kind callKind) {
	c := &ds.calls[kind]
	if c.awaitingResponse || c.dialing {
		return
	}
	if x := ds.g.coordination; x != nil && x.holds(kind, c.lastFailure != "") {
		return
	}
	c.waitMs = 0 // the first answer of a watch comes at once, so that it is known to run
	ds.sendCall(c)
}

func (ds *discoveryClient) sendCall(c *call) {
	timeout := callTimeout
	if c.waitMs > 0 {
		timeout = decide.Nanos(c.waitMs)*decide.Millisecond + watchMargin
	}
	c.timeout = ds.g.deadlines.Add(int64(ds.g.clock.now()+timeout), timerEvent{kind: timerCall, call: c})
	c.graceUsed = false
	if c.conn != nil {
		ds.writeRequest(c)
		return
	}
	c.dialing = true
	c.connNo++
	if !ds.g.dial(ds.g.config.Discovery.String(), callTimeout, &owner{kind: ownerDiscovery, call: c, connNo: c.connNo}) {
		ds.callFailed(c, "no descriptor")
	}
}

func (ds *discoveryClient) writeRequest(c *call) {
	target := "/api/targets"
	if c.kind == callWatch && ds.list.seq != noListVersion {
		target = fmt.Sprintf("/api/targets?after=%d&wait_ms=%d", ds.list.seq, c.waitMs)
	}
	c.awaitingResponse, c.afterVersion = true, ds.list.seq
	_, _ = c.conn.Write(httpwire.AppendGet(nil, ds.g.config.Discovery.String(), target))
}

func (ds *discoveryClient) connOpened(conn gnet.Conn, o *owner) ([]byte, gnet.Action) {
	c := o.call
	if c.connNo != o.connNo || !c.dialing {
		return nil, gnet.Close
	}
	c.conn, c.dialing = conn, false
	ds.writeRequest(c)
	return nil, gnet.None
}

// hangUpCall is the one place where a connection to discovery is given back.
func (ds *discoveryClient) closeCall(c *call) {
	ds.g.deadlines.Remove(c.timeout)
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.timeout, c.dialing, c.awaitingResponse = nil, nil, false, false
	c.connNo++
}

// discoveryClosed comes when a connection ended, or could not be had. An answer without a length is whole where it
// ended in order; a reset is no end.
func (ds *discoveryClient) connClosed(o *owner, conn gnet.Conn, cleanEOF bool) {
	c := o.call
	isLate := c.lateConn != nil && c.lateConnNo == o.connNo
	if c.connNo != o.connNo && !isLate {
		return
	}
	if (c.awaitingResponse || isLate) && conn != nil && cleanEOF {
		if buf, err := conn.Peek(-1); err == nil {
			if a, _, err := httpwire.ReadResponse(buf, maxListBytes); err == nil && a.UntilEOF {
				ds.handleResponse(conn, c, isLate, a)
				return
			}
		}
	}
	if isLate {
		ds.closeLateCall(c)
		return
	}
	if c.awaitingResponse || c.dialing {
		ds.callFailed(c, "connection lost")
		return
	}
	ds.closeCall(c)
}

// callTimedOut gives a call up, unless something has come that the loop has not read yet: what discovery wrote counts
// as told, so that an answer which comes with the timer must not be thrown away. One that drips goes all the same.
func (ds *discoveryClient) callTimedOut(c *call) {
	if c.conn != nil && !c.graceUsed && hasUnread(c.conn.Fd()) {
		c.graceUsed = true
		c.timeout = ds.g.deadlines.Add(int64(ds.g.clock.now()+unreadGrace), timerEvent{kind: timerCall, call: c})
		return
	}
	if c.conn != nil { // its answer may be on the way: it is read while the next call is made
		ds.closeLateCall(c)
		c.lateConn, c.lateConnNo, c.conn = c.conn, c.connNo, nil
	}
	ds.callFailed(c, "no answer")
}

// hangUpLate is the one place where the connection of a call that was given up is given back.
func (ds *discoveryClient) closeLateCall(c *call) {
	if c.lateConn != nil {
		_ = c.lateConn.Close()
	}
	c.lateConn, c.lateConnNo = nil, 0
}

// answeredLate takes an answer to a call that was given up: as the answer to the next one, while that is not under way, else
// what is new in it.
func (ds *discoveryClient) handleLateResponse(conn gnet.Conn, c *call, response httpwire.Response) {
	if !c.awaitingResponse && !c.dialing && response.Status == 200 {
		ds.closeCall(c)
		c.conn, c.awaitingResponse = conn, true
		conn.Context().(*owner).connNo = c.connNo // a dial that was given up may still hold a number in between
		c.lateConn, c.lateConnNo = nil, 0
		ds.handleCurrentResponse(conn, c, response)
		return
	}
	if l, err := httpwire.ReadList(response.Body, maxListEntries); response.Status == 200 && err == nil && l.Seq > ds.list.seq {
		ds.queueList(l)
	}
	ds.closeLateCall(c)
}

// news notes a list for the module.
func (ds *discoveryClient) queueList(list *httpwire.List) {
	scope := decide.Delta
	if list.Whole {
		scope = decide.FullList
	}
	ds.list.seq, ds.list.received = list.Seq, true
	ds.g.inputs = append(ds.g.inputs, input{kind: inList, list: &listUpdate{list, scope}})
}

// callFailed tells the module, which decides when to ask again.
func (ds *discoveryClient) callFailed(c *call, reason string) {
	if reason != c.lastFailure {
		c.lastFailure = reason
		ds.g.log.Info("call to discovery failed", "why", reason)
	}
	ds.closeCall(c)
	if ds.g.coordination != nil {
		ds.g.coordination.called(decide.TimedOut)
	}
	ds.g.inputs = append(ds.g.inputs, input{kind: inListFailed})
}

func (ds *discoveryClient) readConn(conn gnet.Conn, o *owner) {
	c := o.call
	isLate := c.lateConn != nil && c.lateConnNo == o.connNo
	if !isLate && (c.connNo != o.connNo || c.conn == nil) {
		return
	}
	if isLate && conn.InboundBuffered() > maxListBytes+1<<16 {
		ds.closeLateCall(c)
		return
	}
	if conn.InboundBuffered() > maxListBytes+1<<16 {
		ds.callFailed(c, "answer too long")
		return
	}
	buf, err := conn.Peek(-1)
	if err != nil {
		return
	}
	if !isLate && !c.awaitingResponse {
		ds.callFailed(c, "an answer that nobody asked for")
		return
	}
	response, ok, err := httpwire.ReadResponse(buf, maxListBytes)
	switch {
	case err != nil && isLate:
		ds.closeLateCall(c)
	case err != nil:
		ds.callFailed(c, err.Error())
	case ok:
		ds.handleResponse(conn, c, isLate, response)
	}
}

// whole takes a whole answer, to the call that is under way or to the one before.
func (ds *discoveryClient) handleResponse(conn gnet.Conn, c *call, isLate bool, response httpwire.Response) {
	if isLate {
		ds.handleLateResponse(conn, c, response)
	} else {
		ds.handleCurrentResponse(conn, c, response)
	}
}

// answered takes the answer to the call that is under way.
func (ds *discoveryClient) handleCurrentResponse(conn gnet.Conn, c *call, response httpwire.Response) {
	if response.Status != 200 {
		ds.callFailed(c, fmt.Sprintf("status %d", response.Status))
		return
	}
	list, err := httpwire.ReadList(response.Body, maxListEntries)
	if err != nil {
		ds.callFailed(c, "unreadable list: "+err.Error())
		return
	}
	_, _ = conn.Discard(response.Size)
	ds.g.deadlines.Remove(c.timeout)
	c.awaitingResponse, c.lastFailure = false, ""
	if ds.g.coordination != nil {
		ds.g.coordination.called(decide.Committed)
	}
	// The late answer of the call before may have come first, though this one was written sooner: it tells nothing any more.
	// A version below the one that was asked for is a service that numbers anew.
	if outdated := c.afterVersion <= list.Seq && list.Seq < ds.list.seq; !outdated {
		ds.queueList(list)
	}
	if response.Close {
		ds.closeCall(c)
	}
	if c.kind == callWatch { // it goes on if the next call comes soon
		c.waitMs = watchWaitMs
		ds.sendCall(c)
	}
}

// start tells the module the list as last held.
func (ds *discoveryClient) queueCachedList() {
	list := ds.g.config.Known
	if list == nil {
		list = &httpwire.List{}
	}
	ds.list.seq, ds.list.received = list.Seq, len(list.Hosts) > 0
	ds.g.inputs = append(ds.g.inputs, input{kind: inList, list: &listUpdate{list, decide.CachedList}})
	ds.g.log.Info("listening", "address", ds.g.config.Listen, "members", len(list.Hosts))
}

// tellList tells the module a list, gone entries first: their addresses may be in use again.
func (ds *discoveryClient) applyList(update *listUpdate) {
	for _, e := range update.list.Hosts {
		h, ok := ds.list.hosts[e.Host]
		if update.scope != decide.CachedList && (!ok && e.Health != "left" || ok && (h.entry.Health != e.Health || h.entry.BornMs != e.BornMs)) {
			ds.g.generations.module.ReportDisturbance() // no change of ours brought it about
		}
		if ok && (e.Health == "left" || h.entry.Dial != e.Dial) {
			ds.removeHost(e.Host, h)
		}
		for name, h := range ds.list.hosts { // another machine at its address: nothing is known of that one
			if !ok && e.Health != "left" && h.entry.Dial == e.Dial {
				ds.removeHost(name, h)
			}
		}
	}
	if update.scope == decide.FullList {
		for name, h := range ds.list.hosts {
			if !slices.ContainsFunc(update.list.Hosts, func(e httpwire.Host) bool { return e.Host == name }) {
				ds.removeHost(name, h)
			}
		}
	}
	for _, e := range update.list.Hosts {
		ds.applyHost(e)
	}
	ds.g.module.EndMemberList(update.scope)
	if ds.g.coordination != nil {
		ds.g.coordination.members()
	}
}

// leaves tells that a host is gone, unless another has its address by now.
func (ds *discoveryClient) removeHost(name string, h host) {
	delete(ds.list.hosts, name)
	delete(ds.draining, h.server)
	for _, o := range ds.list.hosts {
		if o.server == h.server {
			return
		}
	}
	zone := slices.Index(ds.g.names.Zones, h.entry.Site)
	ds.g.module.UpdateMember(h.server, h.entry.Block, false, decide.Removed, zone, h.entry.Share, -1, 0)
	ds.g.members.bar(h.server)
}

func (ds *discoveryClient) applyHost(e httpwire.Host) {
	status := decide.Ready
	switch ds.g.generations.health(&e) {
	case "active":
	case "leaving":
		status = decide.Draining
	case "left":
		return
	default:
		ds.logUnknown("state", e.Health)
		return
	}
	zone := slices.Index(ds.g.names.Zones, e.Site)
	if zone < 0 {
		ds.logUnknown("site", e.Site)
		return
	}
	address, err := netip.ParseAddrPort(e.Dial)
	if err != nil || !address.Addr().Is4() || e.Block < 0 || e.Block > 1<<16 {
		ds.logUnknown("address", e.Dial)
		return
	}
	server := serverOf(address)
	ds.list.hosts[e.Host] = host{server, e, fleet.MemberKey(e.Host)}
	ds.list.knownGroups[e.Block] = true
	if x := ds.g.coordination; x != nil && !x.c.Has(ds.list.hosts[e.Host].key) {
		return // others have it
	}
	kind := slices.Index(ds.g.names.MachineTypes, e.Class)
	ds.g.module.UpdateMember(server, e.Block, e.Mode == "read-write", status, zone, e.Share, kind, ds.g.clock.fromUnixMs(e.BornMs))
	delete(ds.draining, server)
	if status != decide.Ready {
		ds.draining[server] = true
		ds.g.members.bar(server)
	}
}

// leaveAside logs once that the list has a word that is not known.
func (ds *discoveryClient) logUnknown(field, value string) {
	if ds.list.loggedUnknown == nil {
		ds.list.loggedUnknown = map[string]bool{}
	}
	if len(ds.list.loggedUnknown) < 100 && !ds.list.loggedUnknown[field+value] {
		ds.list.loggedUnknown[field+value] = true
		ds.g.log.Warn("list entry left aside", "unknown", field, "word", value)
	}
}
