package gateway

import (
	"encoding/json"
	"strings"
	"testing"

	"magpieglade/internal/httpwire"
)

// pushedListSettings are testSettings where lists are pushed, which have no time within which a gateway has to ask.
var pushedListSettings = strings.NewReplacer(`"membershipMode":"ask"`, `"membershipMode":"push"`, `"askWithinMs":10000,`, ``).Replace(testSettings)

// TestPushedListIsFollowed guards against gateways that keep the list of their start where lists are pushed, and go on sending
// to members that drain: they took the mode for lists that come unasked, and never opened the watch by which they come.
func TestPushedListIsFollowed(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		known bool
	}{{"with a list of the last run", true}, {"without a list", false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, m, other := newScriptedServer(t), newScriptedServer(t), newScriptedServer(t)
			var known []httpwire.Host
			if test.known {
				known = append(known, m.listEntry("m", "active"))
			}
			g, ended, stop := startTestGatewayWith(t, func(c *Config) { c.Settings = json.RawMessage(pushedListSettings) }, d, known...)
			m.serve("m", "read-write")
			other.serve("other", "read-write")
			watch := d.accept(t)
			watch.readCall(t)
			watch.sendList(5, m.listEntry("m", "active"))
			if wait := watch.readCall(t); wait == "" || wait == "0" {
				t.Fatalf("the watch waits %q", wait)
			}
			c := connectClient(t, g)
			if c.sendTxn("any", 9000); c.readResponse() != "served by m" {
				t.Fatal("not served by the only member")
			}
			watch.sendList(6, m.listEntry("m", "leaving"), other.listEntry("other", "active"))
			watch.readCall(t) // the list has been read
			for range 20 {
				c.sendTxn("any", 9000)
				if got := c.readResponse(); got != "served by other" {
					t.Fatalf("%s, while m drains", got)
				}
			}
			stop()
			<-ended
		})
	}
}
