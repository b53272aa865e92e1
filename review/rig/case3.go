package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["3"] = endingSessions }

// Figures of case 3.
const (
	endingClients  = 20
	endingInterval = 600 * time.Millisecond // between a client's reads
	endingBudget   = 2500 * time.Millisecond
	endingQuiet    = 2 * time.Second         // before SIGTERM
	endingKill     = 3200 * time.Millisecond // SIGKILL after SIGTERM: the longest deadline and 0.7 s
	endingCrossing = 100 * time.Millisecond  // what is sent so shortly before the end of its connection is not counted
)

// sentRead is a read that a client has written whole.
type sentRead struct {
	id string
	at time.Time
}

// endingSessions tells a gateway to end while half of the database servers hang. What it has taken has to be answered.
func endingSessions(r *rig) int {
	hang := make(chan struct{})
	var hosts []host
	for block := range 2 {
		g := &group{r: r, reports: true, probes: true, readWork: 100 * time.Millisecond, writeWork: 80 * time.Millisecond, dedupWindow: 2 * time.Second, keys: map[string]keyed{}}
		if block == 1 {
			g.hang = hang
		}
		for i := range 3 {
			h := g.addServer(fmt.Sprintf("s-%d-%d", block, i), i == 0, 4).entry("rabat-agdal", "std-4c")
			h.Block = block
			hosts = append(hosts, h)
		}
	}
	d := newDiscovery(r, hosts...)
	p := r.startGateway(gatewayConfig{name: "n0", listen: freeAddress(), discovery: d.address(), memoryMB: 64, sockets: 512,
		known: d.list(), settings: replace(registreNational, "%RECORD%", "by_key"), operator: "sessions {}\n"})

	var mu sync.Mutex
	number, served, refused, failed, late, crossed := 0, 0, 0, 0, 0, 0
	var broken []string
	var endAt time.Time // of SIGTERM
	var done sync.WaitGroup
	begin := time.Now()
	for i := range endingClients {
		c, err := dialGateway(p.address)
		must(err)
		sent := make(chan sentRead, 100)
		// The client sends on its connection as long as that stays open.
		go func() {
			defer close(sent)
			time.Sleep(endingInterval * time.Duration(i) / endingClients)
			for {
				mu.Lock()
				number++
				n := number
				mu.Unlock()
				id := fmt.Sprintf("%016x", 0x55000000+n)
				sql := fmt.Sprintf("/* id=%s,c=my-report,d=%d,cluster=%d,after=%d */ SELECT data FROM facts WHERE code = '%016x'",
					id, endingBudget.Milliseconds(), n%2, time.Now().Add(-time.Second).UnixMilli(), 0x7b000000+i)
				if _, err := c.conn.Write(message('Q', sql+"\x00")); err != nil {
					return
				}
				sent <- sentRead{id, time.Now()}
				time.Sleep(endingInterval)
			}
		}()
		done.Add(1)
		go func() {
			defer done.Done()
			defer c.close()
			var ended time.Time
			before := time.Now() // when the answer before came
			for q := range sent {
				a := answer{err: errConnectionEnded}
				if ended.IsZero() {
					if a = c.readAnswer(time.Now().Add(10 * time.Second)); a.err != nil {
						ended = time.Now()
					}
				}
				now := time.Now()
				mu.Lock()
				sentAfter := q.at.Sub(endAt).Seconds()
				r.logf("client %d: id=%s sent %.3f s after SIGTERM: %v", i, q.id, sentAfter, a)
				switch {
				case a.err != nil && ended.Sub(q.at) < endingCrossing:
					crossed++
				case a.err != nil:
					broken = append(broken, fmt.Sprintf("lost: id=%s, sent %.3f s after SIGTERM, has no answer, and the gateway ended its connection %.3f s after SIGTERM", q.id, sentAfter, ended.Sub(endAt).Seconds()))
				case a.code == "53300" || a.code == "57P03":
					refused++
				case a.code != "":
					failed++
				default:
					served++
				}
				if from := later(q.at, before); a.err == nil && now.Sub(from) > endingBudget+550*time.Millisecond {
					late++
					broken = append(broken, fmt.Sprintf("lost: id=%s was answered %.3f s after its time", q.id, (now.Sub(from)-endingBudget).Seconds()))
				}
				before = now
				mu.Unlock()
			}
		}()
	}
	time.Sleep(time.Until(begin.Add(endingQuiet)))
	mu.Lock()
	endAt = time.Now()
	mu.Unlock()
	if r.trouble {
		r.logf("the servers of cluster 1 hang")
		close(hang)
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		r.logf("the gateway has ended %.3f s after SIGTERM", time.Since(endAt).Seconds())
	case <-time.After(time.Until(endAt.Add(endingKill))):
		p.signal(syscall.SIGKILL)
	}
	done.Wait()
	summary := fmt.Sprintf("%d reads: %d served, %d refused, %d failed, %d lost (%d of them answered too late), %d sent in the last %v of their connection",
		served+refused+failed+crossed+len(broken)-late, served, refused, failed, len(broken), late, crossed, endingCrossing)
	r.logf("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		panic("nothing was served")
	}
	return r.conclude(broken)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
