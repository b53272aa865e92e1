package gateway_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// roamingClients are clients that write at some gateways and read at others until they are stopped, and record stale reads.
type roamingClients struct {
	stop         chan struct{}
	wg           sync.WaitGroup
	mu           sync.Mutex
	served       int
	stale        []string
	otherResults map[string]int
}

func (u *agreementFleet) startRoaming(clients int) *roamingClients {
	w := &roamingClients{stop: make(chan struct{}), otherResults: map[string]int{}}
	for i := range clients {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			c := u.front.NewClient(fmt.Sprintf("%08x", 0x5e00+i), txnTypes)
			defer c.Close()
			written := ""
			for k := 1; ; k++ {
				select {
				case <-w.stop:
					return
				case <-time.After(3 * time.Millisecond):
				}
				from, to := (i+k)%len(u.gateways), (i+3*k+1)%len(u.gateways)
				if a := c.Write(from, fmt.Sprintf("w%d-%d", i, k), fmt.Sprintf("%06d", k)); a.Err == nil && a.Code == "" {
					written = fmt.Sprintf("%06d", k)
				}
				a := c.Read(to)
				w.mu.Lock()
				switch {
				case a.Err != nil || a.Code != "":
					w.otherResults[a.String()]++
				default:
					if w.served++; a.Value < written {
						w.stale = append(w.stale, fmt.Sprintf("written at n%d, read at n%d: %s after %s", from, to, a.Value, written))
					}
				}
				w.mu.Unlock()
			}
		}()
	}
	return w
}

func (w *roamingClients) stopAndCheck(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.wg.Wait()
	t.Logf("%d served, %d stale, %v", w.served, len(w.stale), w.otherResults)
	if w.served == 0 || len(w.stale) > 0 {
		t.Fatalf("%d served, stale: %v", w.served, w.stale)
	}
}

// TestSessionsOnAnAgreedList checks that roaming sessions never read data staler than their acknowledged writes while the
// agreed list of gateways changes. One gateway leaves permanently and another takes its place, while a third is cut off from
// all voters and learns of neither. The third is evicted while it is cut off and keeps serving; once reconnected it reports
// that it has ended, and it rejoins after a restart.
func TestSessionsOnAnAgreedList(t *testing.T) {
	u := newAgreementFleetWith(t, 5, 3, agreementOperatorFile+"sessions {\n  tokens = \"hints\"\n}\n")
	for _, m := range u.members[1:] {
		m.SetLag(200 * time.Millisecond)
	}
	clients := u.startRoaming(6)
	awaitStatus := func(gateway int, text string, present bool) {
		t.Helper()
		u.await(fmt.Sprintf("status of gateway %d contains %q: %v", gateway, text, present), func() bool {
			return strings.Contains(u.command(gateway, "fleet", "status"), text) == present
		})
	}
	awaitWrite := func(gateway int, code, value, key string) {
		t.Helper()
		c := u.front.NewClient(code, txnTypes)
		defer c.Close()
		u.await(fmt.Sprintf("gateway %d accepts session writes", gateway), func() bool {
			a := c.Write(gateway, key+fmt.Sprint(time.Now().UnixNano()), value)
			return a.Err == nil && a.Code == ""
		})
	}
	checkRead := func(gateway int, code, value string) {
		t.Helper()
		c := u.front.NewClient(code, txnTypes)
		defer c.Close()
		if a := readUntilServed(c, gateway); a.Value != value {
			t.Fatalf("read at n%d: %v, but %s was acknowledged", gateway, a, value)
		}
	}

	// n3 is cut off from the other gateways, but not from its clients. n4 leaves permanently, and another takes its place.
	u.network.Isolate(3, true)
	u.gateways[4].kill()
	u.command(0, "fleet", "evict", "n4")
	awaitStatus(0, "n4 at", true) // departed: as far as the others know, it may still be serving clients
	u.command(0, "fleet", "evict", "n4", "--ended")
	awaitStatus(0, "n4 at", false)
	must(os.RemoveAll(filepath.Join(u.dir, "ledger4")))
	u.gateways[4].start()
	awaitWrite(4, "ab01", "new", "x")
	for i := range u.gateways {
		checkRead(i, "ab01", "new") // n3, which does not know that gateway, fences at the primary
	}

	// n3 is evicted without knowing it: it acknowledges writes; the others query it in vain and then fence at the primary.
	u.command(0, "fleet", "evict", "n3")
	awaitStatus(1, "n3 at", true)
	awaitWrite(3, "ab02", "cut off", "y")
	for i := range u.gateways {
		checkRead(i, "ab02", "cut off")
	}
	// Reconnected, it learns of the eviction, acknowledges no session's write any more, and reports that it has ended.
	u.network.Isolate(3, false)
	awaitStatus(1, "n3 at", false)
	c := u.front.NewClient("ab03", txnTypes)
	defer c.Close()
	if a := c.Write(3, "late", "late"); a.Code != "53300" || a.RetryAfter == "" {
		t.Fatalf("a session's write at a gateway that no other queries: %v", a)
	}
	checkRead(0, "ab02", "cut off")
	u.gateways[3].kill()
	u.gateways[3].start()
	awaitWrite(3, "ab04", "back", "z")
	checkRead(2, "ab04", "back")

	// All voters are killed: the others continue, and fence.
	for i := range 3 {
		u.gateways[i].kill()
	}
	awaitStatus(3, "careful", true)
	awaitWrite(4, "ab05", "no voter", "v")
	checkRead(3, "ab05", "no voter")
	for i := range 3 {
		u.gateways[i].start()
	}
	awaitStatus(3, "careful", false)
	awaitWrite(0, "ab06", "again", "v")
	checkRead(3, "ab06", "again")
	clients.stopAndCheck(t)
}
