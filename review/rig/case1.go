package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["1"] = pipelinedWrites }

// Sizes of case 1.
const (
	pipelineClients  = 10
	pipelineCommands = 14
	pipelineValue    = 64 << 10 // bytes of a value, the most that the protocol page allows
	pipelineMemoryMB = 64
)

// request is one request of a client, and what became of it.
type request struct {
	id, code string
	sentAt   time.Time // when its last byte was written
	answer   answer
	answered time.Time // or when the client saw that no answer comes
}

// pipelinedWrites has usual clients send many writes at once. Each request that was taken has to be answered, and one that
// is refused must not have run.
func pipelinedWrites(r *rig) int {
	g := &group{r: r, reports: true, probes: true, readWork: 45 * time.Millisecond, writeWork: 80 * time.Millisecond, keys: map[string]keyed{}}
	primary := g.addServer("s-1", true, 4)
	replicas := []*server{g.addServer("s-2", false, 4), g.addServer("s-3", false, 4)}
	hosts := []host{primary.entry("rabat-agdal", "std-4c")}
	for _, s := range replicas {
		hosts = append(hosts, s.entry("rabat-agdal", "std-4c"))
	}
	d := newDiscovery(r, hosts...)
	p := r.startGateway(gatewayConfig{name: "n0", listen: freeAddress(), discovery: d.address(), memoryMB: pipelineMemoryMB, sockets: 512,
		known: d.list(), settings: replace(registreNational, "%RECORD%", "once")})

	number := 0
	newRequest := func() (*request, []byte) {
		number++
		q := &request{id: fmt.Sprintf("%016x", 0x51000000+number), code: fmt.Sprintf("%016x", 0x7f000000+number)}
		sql := fmt.Sprintf(`/* id=%s,c=record,d=2000,cluster=0 */ INSERT INTO facts (code, data) VALUES ('%s', '\x%s') RETURNING data`,
			q.id, q.code, strings.Repeat(fmt.Sprintf("%02x", number%256), pipelineValue))
		return q, message('Q', sql+"\x00")
	}

	// A few single writes first, by which the gateway learns who the primary is.
	warm, err := dialGateway(p.address)
	must(err)
	for range 10 {
		q, text := newRequest()
		_, err := warm.conn.Write(text)
		must(err)
		a := warm.readAnswer(time.Now().Add(5 * time.Second))
		r.logf("first writes: id=%s %v", q.id, a)
		if a.err != nil {
			panic("the first writes are not answered")
		}
	}
	warm.close()

	// Each client has its connection open. With the disruption it writes all its commands at once, else each after the
	// answer to the one before.
	requests := make([][]*request, pipelineClients)
	texts := make([][][]byte, pipelineClients)
	var done sync.WaitGroup
	for i := range pipelineClients {
		for range pipelineCommands {
			q, text := newRequest()
			requests[i], texts[i] = append(requests[i], q), append(texts[i], text)
		}
	}
	start := make(chan struct{})
	for i := range pipelineClients {
		c, err := dialGateway(p.address)
		must(err)
		done.Add(1)
		go func() {
			defer done.Done()
			defer c.close()
			<-start
			client(r, c, requests[i], texts[i])
		}()
	}
	close(start)
	done.Wait()
	time.Sleep(500 * time.Millisecond) // what is out at the servers ends

	// A refusal says that trying again is harmless: each refused request is sent once more, alone, under a new id.
	retries := map[string]answer{}
	for i := range requests {
		for j, q := range requests[i] {
			if !q.refused() {
				continue
			}
			c, err := dialGateway(p.address)
			must(err)
			number++
			id := fmt.Sprintf("%016x", 0x51000000+number)
			_, err = c.conn.Write(bytes.Replace(texts[i][j], []byte(q.id), []byte(id), 1))
			must(err)
			a := c.readAnswer(time.Now().Add(5 * time.Second))
			c.close()
			r.logf("client %d tries code=%s again as id=%s: %v", i, q.code, id, a)
			retries[q.code] = a
		}
	}

	ran, effects := map[string]attempt{}, map[string]int{}
	for _, a := range g.all() {
		if !a.ran.IsZero() {
			ran[a.id] = a
			effects[a.code]++
		}
	}
	var broken []string
	served, refused, failed, lost, refusedAndRan, twice, crossed := 0, 0, 0, 0, 0, 0, 0
	for i := range requests {
		for _, q := range requests[i] {
			a, hasRun := ran[q.id]
			r.logf("client %d id=%s code=%s: written %v, effects %d, %v", i, q.id, q.code, !q.sentAt.IsZero(), effects[q.code], q.answer)
			switch {
			case q.answer.err != nil && (q.sentAt.IsZero() || q.sentAt.After(q.answered)):
				crossed++ // not written whole when the client saw the end of the connection
			case q.answer.err != nil:
				lost++
				broken = append(broken, fmt.Sprintf("lost: id=%s was taken, and the gateway ended its connection with no answer", q.id))
			case q.refused() && hasRun:
				refusedAndRan++
				text := fmt.Sprintf("no effect twice: id=%s, once only, was sent to %s, refused with %s %q, and ran", q.id, a.server, q.answer.code, q.answer.text)
				if effects[q.code] > 1 {
					twice++
					text += fmt.Sprintf("; tried again, code=%s ran %d times", q.code, effects[q.code])
				}
				broken = append([]string{text}, broken...)
			case q.refused():
				refused++
			case q.answer.code != "":
				failed++
			default:
				served++
			}
		}
	}
	summary := fmt.Sprintf("of %d requests: %d served, %d refused and not run, %d failed, %d refused although they ran (%d of them ran twice), %d lost, %d not written when the connection ended",
		pipelineClients*pipelineCommands, served, refused, failed, refusedAndRan, twice, lost, crossed)
	r.logf("%s", summary)
	fmt.Println(summary)
	return r.conclude(broken)
}

// refused reports whether the client was told that trying again is harmless.
func (q *request) refused() bool {
	return q.answer.err == nil && (q.answer.code == "53300" || q.answer.code == "57P03")
}

// client writes a client's requests and reads its answers.
func client(r *rig, c *clientConn, requests []*request, texts [][]byte) {
	var written sync.WaitGroup
	if r.trouble {
		written.Add(1)
		go func() {
			defer written.Done()
			for i, text := range texts {
				if _, err := c.conn.Write(text); err != nil {
					return
				}
				requests[i].sentAt = time.Now()
			}
		}()
	}
	end := time.Now().Add(40 * time.Second)
	for i, q := range requests {
		if !r.trouble {
			if _, err := c.conn.Write(texts[i]); err == nil {
				q.sentAt = time.Now()
			}
		}
		q.answer, q.answered = c.readAnswer(end), time.Now()
		if q.answer.err != nil || q.answer.fatal {
			for _, later := range requests[i+1:] {
				later.answer.err, later.answered = errConnectionEnded, q.answered
			}
			break
		}
	}
	written.Wait()
}
