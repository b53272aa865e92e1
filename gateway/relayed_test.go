package gateway

import (
	"testing"

	"magpieglade/decide"
	"magpieglade/internal/httpwire"
)

// newTestCoordinator returns the coordinator of a gateway whose list has a primary "p" and a replica "r".
func newTestCoordinator(t *testing.T) (x *coordinator, primary host) {
	t.Helper()
	module, err := decide.New(1, []byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	g := &Gateway{clock: newClock(nil), module: module}
	g.discovery.list.hosts = map[string]host{}
	x = &coordinator{g: g, memberNames: map[uint64]string{}}
	module.BeginRound(g.clock.now())
	for i, name := range []string{"p", "r"} {
		h := host{server: decide.Server{byte(i + 1)}, entry: httpwire.Host{Host: name}, key: uint64(i + 1)}
		g.discovery.list.hosts[name], x.memberNames[h.key] = h, name
		module.UpdateMember(h.server, 0, name == "p", decide.Ready, 0, 1, 0, 0)
	}
	module.EndMemberList(decide.FullList)
	return x, g.discovery.list.hosts["p"]
}

// TestListedPrimaryIsNotReported guards against a gateway that reports a member as the primary because the list says so, at a
// position that others told of it as a replica: a gateway that the member had told otherwise sent it reads that were stale.
func TestListedPrimaryIsNotReported(t *testing.T) {
	x, primary := newTestCoordinator(t)
	x.g.module.ReceiveUpdate(decide.MemberUpdate{Server: primary.server, Position: x.g.clock.now() - decide.Millisecond})
	if s := x.g.module.StateOf(primary.server); !s.Primary || s.Position == 0 {
		t.Fatal("the member is not the primary by the list with a position by another gateway: ", s)
	}
	if observation, ok := x.ObserveMember(primary.key); !ok || observation.PrimaryPosition != 0 {
		t.Error("reported as the primary at ", observation.PrimaryPosition)
	}
}
