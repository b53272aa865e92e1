package gateway

import (
	"encoding/json"
	"fmt"
	"strings"
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

func TestReportedPositionIsInSeconds(t *testing.T) {
	g := &Gateway{clock: newClock(nil)}
	g.names.LoadReport.Fields = []string{"x0", "x1"}
	g.members.g = g
	now := time.Now()
	at := decide.Nanos(now.UnixMilli()-g.clock.zeroUnixMs) * decide.Millisecond
	for text, provesPresent := range map[string]bool{
		fmt.Sprintf("x0=%.3f,x1=1", float64(now.UnixMilli())/1000): true,
		fmt.Sprintf("x0=%d,x1=1", now.UnixMilli()):                 false, // in another unit, it would be ahead of the clock
		"x0=0,x1=1": false,
	} {
		report := g.members.parseLoadReport([]byte(text))
		proven := decide.Nanos(0)
		if report != nil {
			proven = decide.Millis(report[0] * 1000)
		}
		if proven > at || provesPresent != (proven > at-2*decide.Millisecond) {
			t.Errorf("%s proves %v at %v", text, proven, at)
		}
	}
}
