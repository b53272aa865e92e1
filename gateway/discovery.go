package gateway

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"magpieglade/decide"
	"magpieglade/fleet"
	"magpieglade/internal/deadlines"
	"magpieglade/internal/eventloop"
	"magpieglade/internal/httpwire"
)

// Limits of a response.
const (
	maxListBytes   = 1 << 20
	maxListEntries = 4096
)

// Timeouts of calls. A gateway must know a change within six seconds of the moment when discovery had it and could be
// reached. Both worst cases take less: a silent watch, the backoff after it and the call that fetches what it missed
// (2.5 + 1.0 + 0.4 + 1.9 s), and a call that times out, the longest backoff and the next call (1.9 + 1.9 + 1.9 s).
// docs/design.md has the calculation.
const (
	watchWaitMs = 2500                      // how long a watch waits
	watchMargin = 1000 * decide.Millisecond // beyond that, as discovery handles calls one after another
	callTimeout = 1900 * decide.Millisecond // of a call that does not wait, including its dial
	unreadGrace = 20 * decide.Millisecond   // to read data that had arrived when a call timed out
)

// noListVersion is the version of a list that does not come from the current discovery service.
const noListVersion = math.MinInt64

// discoveryClient keeps the member list and the calls that fetch it. It is used from the event loop only.
type discoveryClient struct {
	g        *Gateway
	list     memberList
	calls    [2]call                // by callKind
	draining map[decide.Server]bool // members that get no new submissions
}

// callKind is the kind of a call. Each has a connection of its own, as a watch blocks the requests behind it.
type callKind int

const (
	callWatch callKind = iota
	callFetch
)

// call is a connection to discovery and its request. closeCall releases it.
type call struct {
	kind             callKind
	conn             *eventloop.Conn
	connNo           uint64 // number of the connection; late events of a previous one carry another
	dialing          bool
	awaitingResponse bool
	afterVersion     int64 // version of the list when the request was sent
	waitMs           int   // how long discovery may delay the response
	graceUsed        bool  // the call has timed out and unread data is still being read
	timeout          *deadlines.Entry[timerEvent]
	lastFailure      string          // reason, to log each only once in a row
	lateConn         *eventloop.Conn // of the previous call, which timed out: a response on it is still used
	lateConnNo       uint64
}

// memberList is the list as received from discovery.
type memberList struct {
	seq           int64 // version by the current discovery service
	received      bool  // a list is known
	hosts         map[string]host
	lastHosts     map[decide.Server]string // the last host at each address, also after it was removed
	knownGroups   map[int]bool             // all that were ever in the list
	loggedUnknown map[string]bool          // values that were logged as unknown
}

// host is an entry of the member list.
type host struct {
	server decide.Server
	entry  httpwire.Host
	key    uint64 // identifies the member between gateways
}

// listUpdate is a received list for the module.
type listUpdate struct {
	list  *httpwire.List
	scope decide.Scope
}

// startCall requests changes or the whole list from discovery, unless a call of the kind is in progress or held back
// by the coordination between gateways. Where lists are pushed none is held back, as a change counts as known at once.
func (ds *discoveryClient) startCall(kind callKind) {
	c := &ds.calls[kind]
	if c.awaitingResponse || c.dialing {
		return
	}
	if x := ds.g.coordination; x != nil && !ds.g.names.pushesLists() && x.deferCall(kind, c.lastFailure != "") {
		return
	}
	c.waitMs = 0 // the first watch is answered immediately, which shows that the watch works
	ds.sendCall(c)
}

// sendCall sets the timeout of a call and sends its request, after a dial if there is no connection.
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

// writeRequest writes the request for changes after the current version, or for the whole list.
func (ds *discoveryClient) writeRequest(c *call) {
	target := "/api/targets"
	if c.kind == callWatch && ds.list.seq != noListVersion {
		target = fmt.Sprintf("/api/targets?after=%d&wait_ms=%d", ds.list.seq, c.waitMs)
	}
	c.awaitingResponse, c.afterVersion = true, ds.list.seq
	_, _ = c.conn.Write(httpwire.AppendGet(nil, ds.g.config.Discovery.String(), target))
}

func (ds *discoveryClient) connOpened(conn *eventloop.Conn, o *owner) (keep bool) {
	c := o.call
	if c.connNo != o.connNo || !c.dialing {
		return false
	}
	c.conn, c.dialing = conn, false
	ds.writeRequest(c)
	return true
}

// closeCall is the only place that releases the connection of the current call.
func (ds *discoveryClient) closeCall(c *call) {
	ds.g.deadlines.Remove(c.timeout)
	if c.conn != nil {
		c.conn.CloseSoon()
	}
	c.conn, c.timeout, c.dialing, c.awaitingResponse = nil, nil, false, false
	c.connNo++
}

// connClosed is called when a connection has ended or could not be opened. A response without a length is complete if the
// connection ended with an EOF, but not after a reset.
func (ds *discoveryClient) connClosed(o *owner, conn *eventloop.Conn, cleanEOF bool) {
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

// callTimedOut abandons a call, unless data has arrived that the loop has not read yet: what discovery has written counts
// as known to the gateway, so a response that arrives together with the timer must not be discarded. The grace is given
// once, so a response that trickles in is still abandoned.
func (ds *discoveryClient) callTimedOut(c *call) {
	if c.conn != nil && !c.graceUsed && hasUnread(c.conn.Fd()) {
		c.graceUsed = true
		c.timeout = ds.g.deadlines.Add(int64(ds.g.clock.now()+unreadGrace), timerEvent{kind: timerCall, call: c})
		return
	}
	if c.conn != nil { // its response may be in transit: it is read while the next call runs
		ds.closeLateCall(c)
		c.lateConn, c.lateConnNo, c.conn = c.conn, c.connNo, nil
	}
	ds.callFailed(c, "no answer")
}

// closeLateCall is the only place that releases the connection of a call that timed out.
func (ds *discoveryClient) closeLateCall(c *call) {
	if c.lateConn != nil {
		c.lateConn.CloseSoon()
	}
	c.lateConn, c.lateConnNo = nil, 0
}

// handleLateResponse handles a response to a call that timed out. If the next call has not started, the response counts as
// that call's; otherwise only a newer list is used.
func (ds *discoveryClient) handleLateResponse(conn *eventloop.Conn, c *call, response httpwire.Response) {
	if !c.awaitingResponse && !c.dialing && response.Status == 200 {
		ds.closeCall(c)
		c.conn, c.awaitingResponse = conn, true
		conn.Context().(*owner).connNo = c.connNo // an abandoned dial may hold a number in between
		c.lateConn, c.lateConnNo = nil, 0
		ds.handleCurrentResponse(conn, c, response)
		return
	}
	if l, err := httpwire.ReadList(response.Body, maxListEntries); response.Status == 200 && err == nil && l.Seq > ds.list.seq {
		ds.queueList(l)
	}
	ds.closeLateCall(c)
}

// queueList queues a list as input for the module.
func (ds *discoveryClient) queueList(list *httpwire.List) {
	scope := decide.Delta
	if list.Whole {
		scope = decide.FullList
	}
	ds.list.seq, ds.list.received = list.Seq, true
	ds.g.inputs = append(ds.g.inputs, input{kind: inList, list: &listUpdate{list, scope}})
}

// callFailed reports a failed call to the module, which decides when to retry.
func (ds *discoveryClient) callFailed(c *call, reason string) {
	if reason != c.lastFailure {
		c.lastFailure = reason
		ds.g.log.Info("call to discovery failed", "why", reason)
	}
	ds.closeCall(c)
	if ds.g.coordination != nil {
		ds.g.coordination.listCallEnded(decide.TimedOut)
	}
	ds.g.inputs = append(ds.g.inputs, input{kind: inListFailed})
}

// readConn reads a response, which may have arrived in part.
func (ds *discoveryClient) readConn(conn *eventloop.Conn, o *owner) {
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
		ds.callFailed(c, "unsolicited response")
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

// handleResponse handles a complete response to the current call or to the previous one.
func (ds *discoveryClient) handleResponse(conn *eventloop.Conn, c *call, isLate bool, response httpwire.Response) {
	if isLate {
		ds.handleLateResponse(conn, c, response)
	} else {
		ds.handleCurrentResponse(conn, c, response)
	}
}

// handleCurrentResponse handles the response to the current call.
func (ds *discoveryClient) handleCurrentResponse(conn *eventloop.Conn, c *call, response httpwire.Response) {
	if response.Status != 200 {
		ds.callFailed(c, fmt.Sprintf("status %d", response.Status))
		return
	}
	list, err := httpwire.ReadList(response.Body, maxListEntries)
	if err != nil {
		ds.callFailed(c, "unreadable list: "+err.Error())
		return
	}
	conn.Discard(response.Size)
	ds.g.deadlines.Remove(c.timeout)
	c.awaitingResponse, c.lastFailure = false, ""
	if ds.g.coordination != nil {
		ds.g.coordination.listCallEnded(decide.Committed)
	}
	// A late response to the previous call may have arrived first with a newer list, which makes this one outdated. A version
	// below the requested one, however, means that the service has restarted its numbering.
	if outdated := c.afterVersion <= list.Seq && list.Seq < ds.list.seq; !outdated {
		ds.queueList(list)
	}
	if response.Close {
		ds.closeCall(c)
	}
	if c.kind == callWatch { // the watch continues if the next call follows immediately
		c.waitMs = watchWaitMs
		ds.sendCall(c)
	}
}

// queueCachedList queues the list of the last run as input for the module.
func (ds *discoveryClient) queueCachedList() {
	list := ds.g.config.KnownHosts
	if list == nil {
		list = &httpwire.List{}
	}
	ds.list.seq, ds.list.received = list.Seq, len(list.Hosts) > 0
	ds.g.inputs = append(ds.g.inputs, input{kind: inList, list: &listUpdate{list, decide.CachedList}})
	ds.g.log.Info("listening", "address", ds.g.config.Listen, "members", len(list.Hosts))
}

// applyList passes a list to the module, removed entries first, as their addresses may be in use again.
func (ds *discoveryClient) applyList(update *listUpdate) {
	for _, e := range update.list.Hosts {
		h, ok := ds.list.hosts[e.Host]
		if update.scope != decide.CachedList && (!ok && e.Health != "left" || ok && (h.entry.Health != e.Health || h.entry.BornMs != e.BornMs)) {
			ds.g.generations.module.ReportDisturbance() // not caused by a configuration change
		}
		if ok && (e.Health == "left" || h.entry.Dial != e.Dial) {
			ds.removeHost(e.Host, h)
		}
		for name, h := range ds.list.hosts { // a new machine at the same address: the state of the old one does not apply
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
		ds.g.coordination.updateMembers()
	}
}

// removeHost reports a removed host to the module, unless another host has its address by now.
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
	ds.g.members.drainMember(h.server)
}

// applyHost passes an entry to the module, unless it is invalid, removed or assigned to other gateways.
func (ds *discoveryClient) applyHost(e httpwire.Host) {
	status := decide.Ready
	switch ds.g.generations.memberHealth(&e) {
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
	if last := ds.list.lastHosts[server]; last != "" && last != e.Host {
		ds.g.module.ForgetMember(server)
	}
	ds.list.lastHosts[server] = e.Host
	ds.list.hosts[e.Host] = host{server, e, fleet.MemberKey(e.Host)}
	ds.list.knownGroups[e.Block] = true
	if x := ds.g.coordination; x != nil && !x.coordination.Has(ds.list.hosts[e.Host].key) {
		return // assigned to other gateways
	}
	kind := slices.Index(ds.g.names.MachineTypes, e.Class)
	ds.g.module.UpdateMember(server, e.Block, e.Mode == "read-write", status, zone, e.Share, kind, ds.g.clock.fromUnixMs(e.BornMs))
	delete(ds.draining, server)
	if status != decide.Ready {
		ds.draining[server] = true
		ds.g.members.drainMember(server)
	}
}

// logUnknown logs, once each, a value in the list that is not known, because of which the entry is ignored.
func (ds *discoveryClient) logUnknown(field, value string) {
	if ds.list.loggedUnknown == nil {
		ds.list.loggedUnknown = map[string]bool{}
	}
	if len(ds.list.loggedUnknown) < 100 && !ds.list.loggedUnknown[field+value] {
		ds.list.loggedUnknown[field+value] = true
		ds.g.log.Warn("list entry ignored", "unknown", field, "word", value)
	}
}
