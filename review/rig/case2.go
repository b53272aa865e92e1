package main

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["2"] = deadPeer }

// Figures of case 2, each within the site's.
const (
	peerLag          = 12 * time.Millisecond  // of a replica: ship_ms 4.9 to 13
	peerReportPeriod = 180 * time.Millisecond // of load reports: period_ms 62 to 240
	peerReportDelay  = 40 * time.Millisecond  // delay_ms 10 to 72
	peerWait         = 20 * time.Millisecond  // for which a replica holds a read
	peerGap          = 110 * time.Millisecond // mean from a write to a read of its session
	peerGateways     = 3
	peerClients      = 15 // of each gateway that stays
	peerBefore       = 3 * time.Second
	peerDead         = 5 * time.Second // 1.7 to 6 s
	peerAfter        = 3 * time.Second
)

// deadPeer has one of three gateways die while sessions write and read through the other two. Each read has to see what its
// session has written.
func deadPeer(r *rig) int {
	g := &group{r: r, reports: true, probes: true, readWork: 100 * time.Millisecond, writeWork: 80 * time.Millisecond, dedupWindow: 2 * time.Second,
		reportPeriod: peerReportPeriod, reportDelay: peerReportDelay, readWait: peerWait, keys: map[string]keyed{}}
	hosts := []host{g.addServer("s-1", true, 4).entry("rabat-agdal", "std-4c")}
	for i := range 4 {
		s := g.addServer(fmt.Sprint("s-", i+2), false, 4)
		s.lag = peerLag
		hosts = append(hosts, s.entry("rabat-agdal", "std-4c"))
	}
	d := newDiscovery(r, hosts...)
	keyFile := filepath.Join(r.dir, "peer.key")
	must(os.WriteFile(keyFile, []byte("8f1c30d27a5be9648f1c30d27a5be964"), 0o600))
	var addresses, quoted []string
	for range peerGateways {
		address := freeUDPAddress()
		addresses, quoted = append(addresses, address), append(quoted, strconv.Quote(address))
	}
	var configs []gatewayConfig
	var gateways []*process
	for i := range peerGateways {
		operator := fmt.Sprintf("sessions {\n  peers {\n    listen = %q\n    gateways = [%s]\n    key \"1\" { file = %q }\n  }\n}\n",
			addresses[i], strings.Join(quoted, ", "), keyFile)
		configs = append(configs, gatewayConfig{name: fmt.Sprint("n", i), listen: freeAddress(), discovery: d.address(), memoryMB: 64, sockets: 512,
			known: d.list(), settings: replace(registreNational, "%RECORD%", "by_key"), operator: operator})
	}
	for _, c := range configs {
		gateways = append(gateways, r.startGateway(c))
	}
	// Each gateway asks the primary once after its start. Sessions that have written nothing read first, until that is over.
	for range 10 {
		for _, p := range gateways {
			c, err := dialGateway(p.address)
			must(err)
			number := firstReads.Add(1)
			_, err = c.conn.Write(message('Q', fmt.Sprintf("/* id=%016x,c=my-report,d=2500,cluster=0 */ SELECT data FROM facts WHERE code = '%016x'\x00", 0x59000000+number, 0x79000000+number)))
			must(err)
			must(c.readAnswer(time.Now().Add(6 * time.Second)).err)
			c.close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.logf("the sessions begin")
	return r.conclude(sessionReads(r, g, gateways[1:], func() {
		time.Sleep(peerBefore)
		if r.trouble {
			gateways[0].signal(syscall.SIGKILL)
		}
		time.Sleep(peerDead)
		if r.trouble {
			r.startGateway(configs[0])
		}
		time.Sleep(peerAfter)
	}))
}

var firstReads atomic.Int64

func freeUDPAddress() string {
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	must(err)
	defer c.Close()
	return c.LocalAddr().String()
}

// sessionReads has clients write and read, each in its own session, while play runs. It returns the reads that did not
// see the session's last write.
func sessionReads(r *rig, g *group, gateways []*process, play func()) (broken []string) {
	var mu sync.Mutex
	number, reads, served, writes := 0, 0, 0, 0
	positions := map[string]int64{} // that reads must see, by their id
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range peerClients * len(gateways) {
		done.Add(1)
		go func() {
			defer done.Done()
			c, err := dialGateway(gateways[i%len(gateways)].address)
			r.must(err)
			defer c.close()
			code := fmt.Sprintf("%016x", 0x7c000000+i)
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(peerGap))):
				}
				mu.Lock()
				number += 2
				n := number
				mu.Unlock()
				value := fmt.Sprintf("%016x", n)
				sql := fmt.Sprintf(`/* id=%016x,c=record,d=2000,k=%016x,cluster=0 */ INSERT INTO facts (code, data) VALUES ('%s', '\x%s') RETURNING data`,
					0x54000000+n, 0x5e000000+n, code, value)
				_, err := c.conn.Write(message('Q', sql+"\x00"))
				r.must(err)
				a := c.readAnswer(time.Now().Add(6 * time.Second))
				r.must(a.err)
				r.logf("client %d: write id=%016x code=%s: %v", i, 0x54000000+n, code, a)
				if a.code != "" {
					continue
				}
				position := g.positionOf(code)
				wroteAt := time.Now()
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(peerGap)))
				id := fmt.Sprintf("%016x", 0x54000000+n+1)
				mu.Lock()
				positions[id] = position
				mu.Unlock()
				sentAt := time.Now()
				sql = fmt.Sprintf("/* id=%s,c=my-report,d=2500,cluster=0,after=%d */ SELECT data FROM facts WHERE code = '%s'", id, position, code)
				_, err = c.conn.Write(message('Q', sql+"\x00"))
				r.must(err)
				a = c.readAnswer(time.Now().Add(6 * time.Second))
				r.must(a.err)
				want, _ := hex.DecodeString(value)
				r.logf("client %d: read id=%s code=%s after=%d: %v, value %x, written %x", i, id, code, position, a, a.value, want)
				mu.Lock()
				writes++
				reads++
				if a.code == "" {
					served++
					if !bytes.Equal(a.value, want) {
						text := fmt.Sprintf("stale: id=%s, sent %.1f ms after the answer to its session's write at position %d, got the value %x in place of %x",
							id, float64(sentAt.Sub(wroteAt).Microseconds())/1000, position, a.value, want)
						broken = append(broken, text)
						r.logf("%s", text)
					}
				}
				mu.Unlock()
			}
		}()
	}
	play()
	close(stop)
	done.Wait()
	lowered := 0
	for _, a := range g.all() {
		if want, ok := positions[a.id]; ok && a.after < want {
			lowered++
		}
	}
	summary := fmt.Sprintf("%d writes, %d reads, %d served, %d of them stale; %d times a server was told a lower position than the client had sent", writes, reads, served, len(broken), lowered)
	r.logf("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		panic("nothing was served")
	}
	return broken
}

// positionOf returns the position of the last commit of a code, which a session carries with its reads.
func (g *group) positionOf(code string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.commits) - 1; i >= 0; i-- {
		if g.commits[i].code == code {
			return g.commits[i].position
		}
	}
	return 0
}
