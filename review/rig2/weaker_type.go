package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"
)

func init() { cases["10"] = weakerType }

const (
	slowApplyAfter = 2 * time.Second
	slowApplyFor   = 20 * time.Second // 8 to 25 s
	slowApply      = 10               // times more slowly, 3.3 to 20
	lookupBound    = 300 * time.Millisecond
	// On sockets every time limit is extended by 50 ms; a commit's position is rounded to whole milliseconds.
	boundSlack = 52 * time.Millisecond
	lookupTry  = 600 * time.Millisecond
)

// routedTypes has a txn type with a bound on its data's age run as one that must see its session's writes alone.
const routedTypes = `route "lookups" {
  types = ["rate-lookup"]
  type  = "my-scenarios"
}
`

// slowReplica applies the log more slowly for a while and then makes it up.
type slowReplica struct{ from, until time.Time }

// position is the time up to which all commits are applied.
func (s slowReplica) position(now time.Time) time.Time {
	behind := time.Duration(0)
	if !s.from.IsZero() && now.After(s.from) {
		behind = min(now.Sub(s.from), s.until.Sub(s.from)) * (slowApply - 1) / slowApply
		behind = max(0, behind-max(0, now.Sub(s.until)))
	}
	return now.Add(-usualLag - behind)
}

// answeredCommit is a commit and when its client had the answer.
type answeredCommit struct {
	number int
	at     time.Time
}

// weakerType lets replicas apply the log slowly under an operator's route that the checks let pass.
func weakerType(r *rig) (broken string, err error) {
	s := &shard{rec: r.record, viaFirst: map[string]bool{}, servedBy: map[string]*shardMember{}}
	var hosts []host
	var slow slowReplica
	for i := range 5 {
		m := &shardMember{s: s, name: fmt.Sprintf("s-%d", i+1), primary: i == 0, was: i == 0}
		positionOf := func(now time.Time) time.Time {
			if m.primary {
				return now
			}
			return slow.position(now)
		}
		m.d, err = newDatabase(r.record, m.name, func(q *query) reply {
			s.mu.Lock()
			defer s.mu.Unlock()
			now := time.Now()
			switch {
			case q.write && !m.primary:
				return reply{code: "25006", status: status(false, positionOf(now).UnixMilli())}
			case q.write:
				s.commits = append(s.commits, now.UnixMilli()+1)
				return reply{work: 5 * time.Millisecond, value: strconv.Itoa(len(s.commits)), status: status(true, now.UnixMilli()+1)}
			}
			n := 0
			for _, c := range s.commits {
				if m.primary || c <= positionOf(now).UnixMilli() {
					n++
				}
			}
			return reply{work: readingTime, value: strconv.Itoa(n), status: status(m.primary, positionOf(now).UnixMilli())}
		})
		if err != nil {
			return "", err
		}
		m.d.probe = func() reply {
			s.mu.Lock()
			defer s.mu.Unlock()
			role := 0
			if m.primary {
				role = 1
			}
			return reply{value: fmt.Sprintf("x0=%.3f,x1=%d", float64(positionOf(time.Now()).UnixMilli())/1000, role)}
		}
		hosts = append(hosts, host{Host: m.name, Dial: m.d.address, Site: "austin", Class: "std-3core", Block: 2, Health: "active", Share: 1, Mode: "read-only"})
	}
	hosts[0].Mode = "read-write"
	list, err := newDiscovery(r.record, hosts...)
	if err != nil {
		return "", err
	}
	operator := routedTypes
	if os.Getenv("ROUTE") == "0" {
		operator = ""
	}
	g, err := r.startGateway(gatewayConfig{name: "n1", discovery: list.address, known: list.snapshot(), settings: homebuyer().settings(), operator: operator})
	if err != nil {
		return "", err
	}
	if err := g.awaitReady(30 * time.Second); err != nil {
		return "", err
	}
	var commits []answeredCommit
	stale, served, oldest := 0, 0, time.Duration(0)
	began := time.Now()
	if r.trouble {
		s.mu.Lock()
		slow = slowReplica{began.Add(slowApplyAfter), began.Add(slowApplyAfter + slowApplyFor)}
		s.mu.Unlock()
		r.logf("from %v on all replicas apply the log %d times more slowly, for %v", slowApplyAfter, slowApply, slowApplyFor)
	}
	for time.Since(began) < slowApplyAfter+slowApplyFor {
		id := newID()
		o, err := r.request(g, id, writeText(id, "grant-reserve", "00000000000000aa", "", "v", 3*time.Second), 3*time.Second)
		if err == nil && o.kind == "served" {
			n, _ := strconv.Atoi(o.value)
			commits = append(commits, answeredCommit{n, o.at})
		}
		id = newID()
		sentAt := time.Now()
		o, err = r.request(g, id, readText(id, "rate-lookup", "00000000000000bb", lookupTry, 0), lookupTry)
		if err != nil || o.kind != "served" {
			continue
		}
		served++
		n, _ := strconv.Atoi(o.value)
		for _, c := range commits {
			if age := sentAt.Sub(c.at); c.number > n && age > lookupBound+boundSlack {
				stale++
				oldest = max(oldest, age)
				r.logf("broken: %s shows %d commits; commit %d had been answered %d ms before it was sent", id, n, c.number, age.Milliseconds())
				break
			}
		}
	}
	r.logf("%d lookups served, %d stale, the oldest by %v", served, stale, oldest)
	if served < 50 {
		return "", errors.New("too few lookups were served")
	}
	if stale > 0 {
		return fmt.Sprintf("%d of %d lookups lacked commits that had been answered over %v before, up to %v", stale, served, lookupBound, oldest.Round(time.Millisecond)), nil
	}
	return "", nil
}
