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
	mostList    = 1 << 20 // bytes of an answer
	mostEntries = 4096
	// A change counts as told six seconds after discovery had it and could be reached. So a watch that fell silent, the
	// pause after it and the call that brings what it missed take less: 2.5 + 1.0 + 0.4 + 1.9 s; and so do a call
	// that is given up, the longest pause and the next call: 1.9 + 1.9 + 1.9 s. docs/design.md has the sum.
	watchMs     = 2500                      // how long a watch waits
	watchMargin = 1000 * decide.Millisecond // beyond that: calls are handled in turn
	callSpan    = 1900 * decide.Millisecond // of a call that need not wait, with its dial
	lastLook    = 20 * decide.Millisecond   // for what has come, unread, when a call's time is up
	unnumbered  = math.MinInt64             // the version of a list that this discovery did not give
)

// discovery is the list and the calls for it. It belongs to the loop.
type discovery struct {
	g     *Gateway
	list  roster
	calls [2]call                // by callKind
	leave map[decide.Server]bool // that get nothing new
}

// callKind tells the calls apart; each has a connection of its own, as a watch holds up what is behind it.
type callKind int

const (
	callWatch callKind = iota
	callFetch
)

// call is a connection to discovery and what is asked on it. It is given back in hangUpCall.
type call struct {
	kind    callKind
	conn    gnet.Conn
	no      uint64 // of the connection; late events of a former one have another
	dialled bool
	asked   bool  // an answer is awaited
	after   int64 // the version that was in force when it was made
	waits   int   // milliseconds that the call may wait
	looked  bool  // its time is up, and what has come is still read
	due     *deadlines.Entry[due]
	failing string    // why the last one failed
	late    gnet.Conn // of the call before, given up: what still comes on it counts as told
	lateNo  uint64
}

// roster is what discovery told.
type roster struct {
	seq     int64 // of discovery where it is now
	held    bool  // there is one
	hosts   map[string]host
	groups  map[int]bool    // that were ever named
	strange map[string]bool // names that were logged as unknown
}

type host struct {
	server decide.Server
	entry  httpwire.Host
	mark   uint64 // by which other gateways know it
}

// news is a list to tell the module.
type news struct {
	list  *httpwire.List
	scope decide.Scope
}

// call asks discovery for changes, or for the whole list.
func (ds *discovery) call(kind callKind) {
	c := &ds.calls[kind]
	if c.asked || c.dialled {
		return
	}
	if x := ds.g.coordinated; x != nil && x.holds(kind, c.failing != "") {
		return
	}
	c.waits = 0 // the first answer of a watch comes at once, so that it is known to run
	ds.ask(c)
}

func (ds *discovery) ask(c *call) {
	span := callSpan
	if c.waits > 0 {
		span = decide.Nanos(c.waits)*decide.Millisecond + watchMargin
	}
	c.due = ds.g.deadlines.Add(int64(ds.g.clock.now()+span), due{kind: dueCall, call: c})
	c.looked = false
	if c.conn != nil {
		ds.writeCall(c)
		return
	}
	c.dialled = true
	c.no++
	if !ds.g.dial(ds.g.config.Discovery.String(), callSpan, &owner{kind: ownerDiscovery, call: c, no: c.no}) {
		ds.callFailed(c, "no descriptor")
	}
}

func (ds *discovery) writeCall(c *call) {
	target := "/api/targets"
	if c.kind == callWatch && ds.list.seq != unnumbered {
		target = fmt.Sprintf("/api/targets?after=%d&wait_ms=%d", ds.list.seq, c.waits)
	}
	c.asked, c.after = true, ds.list.seq
	_, _ = c.conn.Write(httpwire.AppendGet(nil, ds.g.config.Discovery.String(), target))
}

func (ds *discovery) discoveryOpened(conn gnet.Conn, o *owner) ([]byte, gnet.Action) {
	c := o.call
	if c.no != o.no || !c.dialled {
		return nil, gnet.Close
	}
	c.conn, c.dialled = conn, false
	ds.writeCall(c)
	return nil, gnet.None
}

// hangUpCall is the one place where a connection to discovery is given back.
func (ds *discovery) hangUpCall(c *call) {
	ds.g.deadlines.Remove(c.due)
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.due, c.dialled, c.asked = nil, nil, false, false
	c.no++
}

// discoveryClosed comes when a connection ended, or could not be had. An answer without a length is whole where it
// ended in order; a reset is no end.
func (ds *discovery) discoveryClosed(o *owner, conn gnet.Conn, inOrder bool) {
	c := o.call
	late := c.late != nil && c.lateNo == o.no
	if c.no != o.no && !late {
		return
	}
	if (c.asked || late) && conn != nil && inOrder {
		if buf, err := conn.Peek(-1); err == nil {
			if a, _, err := httpwire.ReadResponse(buf, mostList); err == nil && a.UntilEOF {
				ds.whole(conn, c, late, a)
				return
			}
		}
	}
	if late {
		ds.hangUpLate(c)
		return
	}
	if c.asked || c.dialled {
		ds.callFailed(c, "connection lost")
		return
	}
	ds.hangUpCall(c)
}

// callTimedOut gives a call up, unless something has come that the loop has not read yet: what discovery wrote counts
// as told, so that an answer which comes with the timer must not be thrown away. One that drips goes all the same.
func (ds *discovery) callTimedOut(c *call) {
	if c.conn != nil && !c.looked && hasUnread(c.conn.Fd()) {
		c.looked = true
		c.due = ds.g.deadlines.Add(int64(ds.g.clock.now()+lastLook), due{kind: dueCall, call: c})
		return
	}
	if c.conn != nil { // its answer may be on the way: it is read while the next call is made
		ds.hangUpLate(c)
		c.late, c.lateNo, c.conn = c.conn, c.no, nil
	}
	ds.callFailed(c, "no answer")
}

// hangUpLate is the one place where the connection of a call that was given up is given back.
func (ds *discovery) hangUpLate(c *call) {
	if c.late != nil {
		_ = c.late.Close()
	}
	c.late, c.lateNo = nil, 0
}

// answeredLate takes an answer to a call that was given up: as the answer to the next one, while that is not under way, else
// what is new in it.
func (ds *discovery) answeredLate(conn gnet.Conn, c *call, a httpwire.Response) {
	if !c.asked && !c.dialled && a.Status == 200 {
		ds.hangUpCall(c)
		c.conn, c.asked = conn, true
		conn.Context().(*owner).no = c.no // a dial that was given up may still hold a number in between
		c.late, c.lateNo = nil, 0
		ds.answered(conn, c, a)
		return
	}
	if l, err := httpwire.ReadList(a.Body, mostEntries); a.Status == 200 && err == nil && l.Seq > ds.list.seq {
		ds.news(l)
	}
	ds.hangUpLate(c)
}

// news notes a list for the module.
func (ds *discovery) news(l *httpwire.List) {
	scope := decide.Delta
	if l.Whole {
		scope = decide.FullList
	}
	ds.list.seq, ds.list.held = l.Seq, true
	ds.g.inputs = append(ds.g.inputs, input{kind: inList, list: &news{l, scope}})
}

// callFailed tells the module, which decides when to ask again.
func (ds *discovery) callFailed(c *call, why string) {
	if why != c.failing {
		c.failing = why
		ds.g.log.Info("call to discovery failed", "why", why)
	}
	ds.hangUpCall(c)
	if ds.g.coordinated != nil {
		ds.g.coordinated.called(decide.TimedOut)
	}
	ds.g.inputs = append(ds.g.inputs, input{kind: inListFailed})
}

func (ds *discovery) readDiscovery(conn gnet.Conn, o *owner) {
	c := o.call
	late := c.late != nil && c.lateNo == o.no
	if !late && (c.no != o.no || c.conn == nil) {
		return
	}
	if late && conn.InboundBuffered() > mostList+1<<16 {
		ds.hangUpLate(c)
		return
	}
	if conn.InboundBuffered() > mostList+1<<16 {
		ds.callFailed(c, "answer too long")
		return
	}
	buf, err := conn.Peek(-1)
	if err != nil {
		return
	}
	if !late && !c.asked {
		ds.callFailed(c, "an answer that nobody asked for")
		return
	}
	a, ok, err := httpwire.ReadResponse(buf, mostList)
	switch {
	case err != nil && late:
		ds.hangUpLate(c)
	case err != nil:
		ds.callFailed(c, err.Error())
	case ok:
		ds.whole(conn, c, late, a)
	}
}

// whole takes a whole answer, to the call that is under way or to the one before.
func (ds *discovery) whole(conn gnet.Conn, c *call, late bool, a httpwire.Response) {
	if late {
		ds.answeredLate(conn, c, a)
	} else {
		ds.answered(conn, c, a)
	}
}

// answered takes the answer to the call that is under way.
func (ds *discovery) answered(conn gnet.Conn, c *call, a httpwire.Response) {
	if a.Status != 200 {
		ds.callFailed(c, fmt.Sprintf("status %d", a.Status))
		return
	}
	l, err := httpwire.ReadList(a.Body, mostEntries)
	if err != nil {
		ds.callFailed(c, "unreadable list: "+err.Error())
		return
	}
	_, _ = conn.Discard(a.Size)
	ds.g.deadlines.Remove(c.due)
	c.asked, c.failing = false, ""
	if ds.g.coordinated != nil {
		ds.g.coordinated.called(decide.Committed)
	}
	// The late answer of the call before may have come first, though this one was written sooner: it tells nothing any more.
	// A version below the one that was asked for is a service that numbers anew.
	if overtaken := c.after <= l.Seq && l.Seq < ds.list.seq; !overtaken {
		ds.news(l)
	}
	if a.Close {
		ds.hangUpCall(c)
	}
	if c.kind == callWatch { // it goes on if the next call comes soon
		c.waits = watchMs
		ds.ask(c)
	}
}

// start tells the module the list as last held.
func (ds *discovery) start() {
	l := ds.g.config.KnownHosts
	if l == nil {
		l = &httpwire.List{}
	}
	ds.list.seq, ds.list.held = l.Seq, len(l.Hosts) > 0
	ds.g.inputs = append(ds.g.inputs, input{kind: inList, list: &news{l, decide.CachedList}})
	ds.g.log.Info("listening", "address", ds.g.config.Listen, "members", len(l.Hosts))
}

// tellList tells the module a list, gone entries first: their addresses may be in use again.
func (ds *discovery) tellList(n *news) {
	for _, e := range n.list.Hosts {
		h, ok := ds.list.hosts[e.Host]
		if n.scope != decide.CachedList && (!ok && e.Health != "left" || ok && (h.entry.Health != e.Health || h.entry.BornMs != e.BornMs)) {
			ds.g.generations.module.ReportDisturbance() // no change of ours brought it about
		}
		if ok && (e.Health == "left" || h.entry.Dial != e.Dial) {
			ds.leaves(e.Host, h)
		}
		for name, h := range ds.list.hosts { // another machine at its address: nothing is known of that one
			if !ok && e.Health != "left" && h.entry.Dial == e.Dial {
				ds.leaves(name, h)
			}
		}
	}
	if n.scope == decide.FullList {
		for name, h := range ds.list.hosts {
			if !slices.ContainsFunc(n.list.Hosts, func(e httpwire.Host) bool { return e.Host == name }) {
				ds.leaves(name, h)
			}
		}
	}
	for _, e := range n.list.Hosts {
		ds.tellHost(e)
	}
	ds.g.module.EndMemberList(n.scope)
	if ds.g.coordinated != nil {
		ds.g.coordinated.members()
	}
}

// leaves tells that a host is gone, unless another has its address by now.
func (ds *discovery) leaves(name string, h host) {
	delete(ds.list.hosts, name)
	delete(ds.leave, h.server)
	for _, o := range ds.list.hosts {
		if o.server == h.server {
			return
		}
	}
	zone := slices.Index(ds.g.names.Zones, h.entry.Site)
	ds.g.module.UpdateMember(h.server, h.entry.Block, false, decide.Removed, zone, h.entry.Share, -1, 0)
	ds.g.members.bar(h.server)
}

func (ds *discovery) tellHost(e httpwire.Host) {
	status := decide.Ready
	switch ds.g.generations.memberHealth(&e) {
	case "active":
	case "leaving":
		status = decide.Draining
	case "left":
		return
	default:
		ds.leaveAside("state", e.Health)
		return
	}
	zone := slices.Index(ds.g.names.Zones, e.Site)
	if zone < 0 {
		ds.leaveAside("site", e.Site)
		return
	}
	address, err := netip.ParseAddrPort(e.Dial)
	if err != nil || !address.Addr().Is4() || e.Block < 0 || e.Block > 1<<16 {
		ds.leaveAside("address", e.Dial)
		return
	}
	server := serverOf(address)
	ds.list.hosts[e.Host] = host{server, e, fleet.MemberKey(e.Host)}
	ds.list.groups[e.Block] = true
	if x := ds.g.coordinated; x != nil && !x.c.Has(ds.list.hosts[e.Host].mark) {
		return // others have it
	}
	kind := slices.Index(ds.g.names.MachineTypes, e.Class)
	ds.g.module.UpdateMember(server, e.Block, e.Mode == "read-write", status, zone, e.Share, kind, ds.g.clock.at(e.BornMs))
	delete(ds.leave, server)
	if status != decide.Ready {
		ds.leave[server] = true
		ds.g.members.bar(server)
	}
}

// leaveAside logs once that the list has a word that is not known.
func (ds *discovery) leaveAside(what, word string) {
	if ds.list.strange == nil {
		ds.list.strange = map[string]bool{}
	}
	if len(ds.list.strange) < 100 && !ds.list.strange[what+word] {
		ds.list.strange[what+word] = true
		ds.g.log.Warn("list entry left aside", "unknown", what, "word", word)
	}
}
