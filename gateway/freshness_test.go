package gateway

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"magpieglade/decide"
	"magpieglade/internal/pgwire"
)

// serveFrom answers all further queries on a connection as a replica at the present position.
func (e *testConn) serveFrom(name string) {
	for _, ok := e.readQuery(); ok; _, ok = e.readQuery() {
		e.sendRow(name, "read-only")
	}
}

func TestBoundedReadIsNotWrittenAfterItsProofHasAged(t *testing.T) {
	t.Parallel()
	const bound = time.Second
	d, a := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGatewayWith(t, func(c *Config) {
		c.Settings = json.RawMessage(strings.NewReplacer(`"await"`, `"none"`, `"name":"once"}]`,
			`"name":"once"},{"effect":"repeatable","promiseMs":3000,"hardLimitMs":10000,"worth":1,"name":"bounded"}]`,
			`["eventual","mutate"]`, `["eventual","mutate","lag_bound"]`, `[0,0]`, fmt.Sprintf("[0,0,%d]", bound.Milliseconds())).Replace(testSettings))
	}, d, a.listEntry("a", "active"))
	d.accept(t).readCall(t)
	first, second, bounded := connectClient(t, g), connectClient(t, g), connectClient(t, g)
	first.sendTxn("any", 9000)
	busy := a.acceptConnection(t)
	busy.readQuery()
	provenAt := time.Now()
	busy.sendRowAt("a", "read-only", provenAt.UnixMilli())
	first.readResponse()
	g.awaitReusable()
	second.sendTxn("any", 9000)
	busy.readQuery()
	bounded.sendTxn("bounded", 9000)
	late := a.accept(t)
	late.readStartup()
	for time.Since(provenAt) <= bound {
		time.Sleep(time.Millisecond)
	}
	written := make(chan bool)
	go func() {
		_, sent := late.readQuery()
		written <- sent
		late.sendRow("a", "read-only")
		late.serveFrom("a")
	}()
	late.sendReady()
	for unsent := uint64(0); unsent == 0; {
		select {
		case <-written:
			t.Fatal("the read was written, although nothing proved that its bound was kept")
		default:
			g.runOnLoop(func() { unsent = g.outcomes.attempts[decide.NotSent] })
		}
	}
	go func() { <-written }()
	a.serve("a", "read-only")
	busy.sendRow("a", "read-only")
	go busy.serveFrom("a")
	if got := bounded.readResponse(); got != "served by a" {
		t.Error(got)
	}
	stop()
	<-ended
}

func TestPositionOfFormerServerProvesNothingOfTheNextAtItsAddress(t *testing.T) {
	t.Parallel()
	d, a := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGatewayWith(t, func(c *Config) {
		c.Settings = json.RawMessage(strings.NewReplacer(`"eventual"`, `"causal"`, `"await"`, `"none"`, `"rules":{`, `"rules":{"softRemoval":true,`).Replace(testSettings))
	}, d, a.listEntry("former", "active"))
	watch := d.accept(t)
	watch.readCall(t)
	c := connectClient(t, g)
	c.sendTxn("any", 9000)
	conn := a.acceptConnection(t)
	conn.readQuery()
	reached := time.Now().UnixMilli()
	conn.sendRowAt("a", "read-only", reached)
	c.readResponse()
	watch.sendList(5, a.listEntry("next", "active"))
	watch.readCall(t)
	text := fmt.Sprintf("/* id=%016x,c=any,d=2000,cluster=0,after=%d */ SELECT data FROM facts WHERE code = '7f3a'", lastTestID.Add(1), reached)
	_, _ = c.Write(pgwire.AppendQuery(nil, text))
	served := a.serve("a", "read-only")
	if got := c.readResponse(); got != "53300" || served.Load() > 0 {
		t.Errorf("%s: sent to a server that is not known to have reached the position", got)
	}
	stop()
	<-ended
}

func TestBoundAllowsForClocksAhead(t *testing.T) {
	const text = `{"familyInfo":{"oldestDataMs":[0,300],"whenBehind":%q},"limits":{}}`
	for checks, want := range map[string]string{"none": "[0,100]", "await": "[0,300]"} {
		settings, err := moduleSettings(json.RawMessage(fmt.Sprintf(text, checks)), false, 200*time.Millisecond)
		if err != nil || !strings.Contains(string(settings), `"oldestDataMs":`+want) {
			t.Errorf("checks %s: %s, %v", checks, settings, err)
		}
	}
}

// TestReportedPositionIsInSeconds checks what positions in load reports prove. One that is malformed or in another unit, by which
// it would be ahead of any clock, proves nothing, however often it is repeated.
func TestReportedPositionIsInSeconds(t *testing.T) {
	now := time.Now()
	for text, provesPresent := range map[string]bool{
		fmt.Sprintf("x0=%.3f,x1=1", float64(now.UnixMilli())/1000): true,
		fmt.Sprintf("x0=%d,x1=1", now.UnixMilli()):                 false,
		"x0=0,x1=1":    false,
		"x0=1e30,x1=1": false,
	} {
		module, err := decide.New(1, []byte(sessionTestSettings))
		if err != nil {
			t.Fatal(err)
		}
		g := &Gateway{clock: newClock(nil), module: module}
		g.names.LoadReport.Fields = []string{"x0", "x1"}
		g.members.g = g
		at := decide.Nanos(now.UnixMilli()-g.clock.zeroUnixMs) * decide.Millisecond
		server := decide.Server{1}
		module.BeginRound(g.clock.now())
		module.UpdateMember(server, 0, false, decide.Ready, 0, 1, 0, 0)
		module.EndMemberList(decide.FullList)
		for range 3 {
			module.BeginRound(g.clock.now())
			module.ProbeEnded(server, decide.Committed, 0, g.members.parseLoadReport([]byte(text)))
		}
		proven := module.StateOf(server).Position
		if proven > at || provesPresent != (proven > at-2*decide.Millisecond) {
			t.Errorf("%s proves %v at %v", text, proven, at)
		}
	}
}

// steppedGroup is a primary and a replica whose clock can be stepped and whose replica can lag.
type steppedGroup struct {
	primary, replica *scriptedServer
	clockLead, lag   atomic.Int64 // milliseconds
}

func (s *steppedGroup) now() int64 { return time.Now().UnixMilli() + s.clockLead.Load() }

// serve answers all queries of both members.
func (s *steppedGroup) serve() {
	serveMember := func(server *scriptedServer, name, mode string, position func() int64) {
		for e := range server.accepted {
			go func() {
				e.readStartup()
				e.sendReady()
				for _, ok := e.readQuery(); ok; _, ok = e.readQuery() {
					e.sendRowAt(name, mode, position())
				}
			}()
		}
	}
	go serveMember(s.primary, "p", "read-write", s.now)
	go serveMember(s.replica, "r", "read-only", func() int64 { return s.now() - s.lag.Load() })
}

// TestBoundedReadAfterStepOfTheClock guards against bounded reads at a replica that lags by as much as the servers' clock was
// stepped forward: positions were compared with a clock that was set at the start, and those ahead of it, which show the step,
// were dropped. The step is told by the primary's next answer, or by this machine's own wall clock before any.
func TestBoundedReadAfterStepOfTheClock(t *testing.T) {
	t.Parallel()
	const step = 5 * time.Second
	for _, toldBy := range []string{"the primary", "the own wall clock"} {
		t.Run(toldBy, func(t *testing.T) {
			t.Parallel()
			d := newScriptedServer(t)
			s := &steppedGroup{primary: newScriptedServer(t), replica: newScriptedServer(t)}
			g, ended, stop := startTestGatewayWith(t, func(c *Config) {
				c.Settings = json.RawMessage(strings.NewReplacer(`"await"`, `"none"`, `"name":"once"}]`,
					`"name":"once"},{"effect":"repeatable","promiseMs":3000,"hardLimitMs":10000,"worth":1,"name":"bounded"}]`,
					`["eventual","mutate"]`, `["eventual","mutate","lag_bound"]`, `[0,0]`, "[0,0,1000]").Replace(testSettings))
			}, d, s.primary.listEntry("p", "active"), s.replica.listEntry("r", "active"))
			s.serve()
			c := connectClient(t, g)
			execute := func(class string) string {
				c.sendTxn(class, 9000)
				return c.readResponse()
			}
			awaitServedBy := func(name, class string) {
				for end := time.Now().Add(testTimeout); execute(class) != "served by "+name; {
					execute("any")
					if time.Now().After(end) {
						t.Fatalf("no %s at %s", class, name)
					}
				}
			}
			awaitServedBy("p", "once") // the replica says that it is none
			awaitServedBy("r", "bounded")
			s.lag.Store(step.Milliseconds())
			s.clockLead.Store(step.Milliseconds())
			if toldBy == "the primary" {
				if got := execute("once"); got != "served by p" {
					t.Fatal(got)
				}
			} else {
				g.runOnLoop(func() {
					g.clock.wallLead = func() time.Duration { return step }
					g.checkWallClock()
				})
			}
			for range 20 {
				if got := execute("bounded"); got != "served by p" {
					t.Fatalf("%s, which lags by 5 s", got)
				}
			}
			s.lag.Store(0)
			awaitServedBy("r", "bounded") // it is current again
			stop()
			<-ended
		})
	}
}
