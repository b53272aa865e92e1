package main

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"
)

func init() { cases["6"] = clockStep }

const (
	stepAfter   = 2 * time.Second
	clockStepBy = 5 * time.Second // forward; "by seconds or an hour"
	slowAfter   = 4 * time.Second
	slowFor     = 20 * time.Second // 8 to 25 s
	slowTimes   = 10               // times more slowly, 3.3 to 20
	afterwards  = 24 * time.Second // until the replicas have made it up
	lookupBound = 300 * time.Millisecond
	lookupTry   = 600 * time.Millisecond
	boundSlack  = 52 * time.Millisecond // on sockets 50 ms more; a commit's position is rounded to milliseconds
	lookupPause = 15 * time.Millisecond
	reserveTry  = 3 * time.Second
)

// platformClock is the wall clock that database servers read.
type platformClock struct{ steppedAt time.Time }

// unixMilli is the wall clock's time at a moment of real time.
func (c *platformClock) unixMilli(at time.Time) int64 {
	if !c.steppedAt.IsZero() && at.After(c.steppedAt) {
		at = at.Add(clockStepBy)
	}
	return at.UnixMilli()
}

// slowLog is how far replicas have applied the log: for a while more slowly, then they make it up.
type slowLog struct{ from, until time.Time }

// appliedUpTo is the moment of real time up to which all commits are applied.
func (s *slowLog) appliedUpTo(now time.Time) time.Time {
	behind := time.Duration(0)
	if !s.from.IsZero() && now.After(s.from) {
		behind = min(now.Sub(s.from), s.until.Sub(s.from)) * (slowTimes - 1) / slowTimes
		behind = max(0, behind-max(0, now.Sub(s.until)))
	}
	return now.Add(-usualLag - behind)
}

// laggingShard is a shard whose replicas may lag and whose clock may be stepped.
type laggingShard struct {
	mu        sync.Mutex
	clock     platformClock
	log       slowLog
	commits   []time.Time // moments of real time
	positions []int64
	highest   map[string]int64 // a position never moves backwards
}

// position is what a member says of its position; the caller holds the lock.
func (s *laggingShard) position(name string, primary bool, now time.Time) int64 {
	at := now
	if !primary {
		at = s.log.appliedUpTo(now)
	}
	s.highest[name] = max(s.highest[name], s.clock.unixMilli(at))
	return s.highest[name]
}

// member starts a server. A write is answered with its number, a read with the number of commits that it sees.
func (s *laggingShard) member(r *rig, name string, primary bool) (*database, error) {
	d, err := newDatabase(r.record, name, func(q *query) reply {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		switch {
		case q.write && !primary:
			return reply{code: "25006", status: status(false, s.position(name, false, now))}
		case q.write:
			s.commits = append(s.commits, now)
			return reply{work: 5 * time.Millisecond, value: strconv.Itoa(len(s.commits)), status: status(true, s.position(name, true, now)+1)}
		}
		seen := 0
		for _, c := range s.commits {
			if primary || !c.After(s.log.appliedUpTo(now)) {
				seen++
			}
		}
		return reply{work: readingTime, value: strconv.Itoa(seen), status: status(primary, s.position(name, primary, now))}
	})
	if err != nil {
		return nil, err
	}
	d.probe = func() reply {
		s.mu.Lock()
		defer s.mu.Unlock()
		role := 0
		if primary {
			role = 1
		}
		return reply{value: fmt.Sprintf("x0=%.3f,x1=%d", float64(s.position(name, primary, time.Now()))/1000, role)}
	}
	return d, nil
}

// clockStep steps the wall clock forward, and replicas apply the log slowly for a while after that.
func clockStep(r *rig) (broken string, err error) {
	s := &laggingShard{highest: map[string]int64{}}
	var hosts []host
	for i := range 5 {
		name := fmt.Sprintf("s-%d", i+1)
		d, err := s.member(r, name, i == 0)
		if err != nil {
			return "", err
		}
		hosts = append(hosts, host{Host: name, Dial: d.address, Site: "austin", Class: "std-3core", Block: 2, Health: "active", Share: 1, Mode: "read-only"})
	}
	hosts[0].Mode = "read-write"
	list, err := newDiscovery(r.record, hosts...)
	if err != nil {
		return "", err
	}
	g, err := r.startGateway(gatewayConfig{name: "n1", discovery: list.address, known: list.snapshot(), settings: homebuyer().settings()})
	if err != nil {
		return "", err
	}
	if err := g.awaitReady(30 * time.Second); err != nil {
		return "", err
	}
	began := time.Now()
	if r.trouble {
		s.mu.Lock()
		s.clock.steppedAt = began.Add(stepAfter)
		s.log = slowLog{began.Add(slowAfter), began.Add(slowAfter + slowFor)}
		s.mu.Unlock()
		r.logf("the wall clock is stepped by %v in %v; from %v on all replicas apply the log %d times more slowly, for %v", clockStepBy, stepAfter, slowAfter, slowTimes, slowFor)
	}
	var mu sync.Mutex
	answered := map[int]time.Time{} // when the client of a commit had its answer
	end := began.Add(slowAfter + slowFor + afterwards)
	var clients sync.WaitGroup
	clients.Go(func() {
		for time.Now().Before(end) {
			id := newID()
			o, err := r.request(g, id, writeText(id, "grant-reserve", "00000000000000aa", "", "v", reserveTry), reserveTry)
			if n, _ := strconv.Atoi(o.value); err == nil && o.kind == "served" {
				mu.Lock()
				answered[n] = o.at
				mu.Unlock()
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	stale, served, oldest := 0, 0, time.Duration(0)
	for range 2 {
		clients.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				sentAt := time.Now()
				o, err := r.request(g, id, readText(id, "rate-lookup", "00000000000000bb", lookupTry, 0), lookupTry)
				seen, _ := strconv.Atoi(o.value)
				mu.Lock()
				if err == nil && o.kind == "served" {
					served++
					if at, ok := answered[seen+1]; ok && sentAt.Sub(at) > lookupBound+boundSlack {
						stale++
						oldest = max(oldest, sentAt.Sub(at))
						r.logf("broken: %s shows %d commits; the next one had been answered %d ms before it was sent", id, seen, sentAt.Sub(at).Milliseconds())
					}
				}
				mu.Unlock()
				time.Sleep(lookupPause)
			}
		})
	}
	clients.Wait()
	r.logf("%d lookups served, %d stale", served, stale)
	if served < 100 {
		return "", errors.New("too few lookups were served")
	}
	if stale > 0 {
		return fmt.Sprintf("%d of %d lookups lacked commits that had been answered over %v before they were sent, up to %v", stale, served, lookupBound, oldest.Round(time.Millisecond)), nil
	}
	return "", nil
}
