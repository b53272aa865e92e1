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

// wanderers are clients that write at some gateways and read at others, until they are ended, and tell what was stale.
type wanderers struct {
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	served int
	stale  []string
	other  map[string]int
}

func (u *agreementFleet) wander(clients int) *wanderers {
	w := &wanderers{stop: make(chan struct{}), other: map[string]int{}}
	for i := range clients {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			c := u.front.NewClient(fmt.Sprintf("%08x", 0x5e00+i), classes)
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
					w.other[a.String()]++
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

func (w *wanderers) end(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.wg.Wait()
	t.Logf("%d served, %d stale, %v", w.served, len(w.stale), w.other)
	if w.served == 0 || len(w.stale) > 0 {
		t.Fatalf("%d served, stale: %v", w.served, w.stale)
	}
}

// Sessions roam over a fleet whose list is agreed on while it changes: one leaves for good and another comes in its
// place, while one is cut off from all that vote and knows of neither; one is taken out that is cut off and serves on; it
// hears, says that it has ended, and comes back by a start. What clients read is never staler than what they were answered.
func TestSessionsOnAnAgreedList(t *testing.T) {
	u := newAgreementFleetWith(t, 5, 3, agreementOperatorFile+"sessions {\n  tokens = \"hints\"\n}\n")
	for _, m := range u.members[1:] {
		m.SetLag(200 * time.Millisecond)
	}
	w := u.wander(6)
	status := func(gateway int, part string, there bool) {
		t.Helper()
		u.await(fmt.Sprintf("gateway %d says %q: %v", gateway, part, there), func() bool {
			return strings.Contains(u.command(gateway, "fleet", "status"), part) == there
		})
	}
	once := func(gateway int, code, value, key string) {
		t.Helper()
		c := u.front.NewClient(code, classes)
		defer c.Close()
		u.await(fmt.Sprintf("gateway %d takes writes of sessions", gateway), func() bool {
			a := c.Write(gateway, key+fmt.Sprint(time.Now().UnixNano()), value)
			return a.Err == nil && a.Code == ""
		})
	}
	reads := func(gateway int, code, value string) {
		t.Helper()
		c := u.front.NewClient(code, classes)
		defer c.Close()
		if a := persist(c, gateway); a.Value != value {
			t.Fatalf("read at n%d: %v, %s was answered", gateway, a, value)
		}
	}

	// n3 is cut off from the others, not from its clients. n4 goes for good, and another one comes in its place.
	u.network.Isolate(3, true)
	u.gateways[4].kill()
	u.command(0, "fleet", "evict", "n4")
	status(0, "n4 at", true) // a ghost: it may serve somebody yet, as far as the others know
	u.command(0, "fleet", "evict", "n4", "--ended")
	status(0, "n4 at", false)
	must(os.RemoveAll(filepath.Join(u.dir, "ledger4")))
	u.gateways[4].start()
	once(4, "ab01", "new", "x")
	for i := range u.gateways {
		reads(i, "ab01", "new") // n3, which knows of no such gateway, asks the primary
	}

	// n3 is taken out, and does not know it: it answers writes, and the others ask it in vain and then the primary.
	u.command(0, "fleet", "evict", "n3")
	status(1, "n3 at", true)
	once(3, "ab02", "cut off", "y")
	for i := range u.gateways {
		reads(i, "ab02", "cut off")
	}
	// It hears, answers no session's write any more, and says that it has ended.
	u.network.Isolate(3, false)
	status(1, "n3 at", false)
	c := u.front.NewClient("ab03", classes)
	defer c.Close()
	if a := c.Write(3, "late", "late"); a.Code != "53300" || a.RetryAfter == "" {
		t.Fatalf("a session's write at a gateway that nobody asks: %v", a)
	}
	reads(0, "ab02", "cut off")
	u.gateways[3].kill()
	u.gateways[3].start()
	once(3, "ab04", "back", "z")
	reads(2, "ab04", "back")

	// All that vote are killed: the others go on, and fence.
	for i := range 3 {
		u.gateways[i].kill()
	}
	status(3, "careful", true)
	once(4, "ab05", "no voter", "v")
	reads(3, "ab05", "no voter")
	for i := range 3 {
		u.gateways[i].start()
	}
	status(3, "careful", false)
	once(0, "ab06", "again", "v")
	reads(3, "ab06", "again")
	w.end(t)
}
