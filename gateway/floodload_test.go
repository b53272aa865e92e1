package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkBesideFloods measures what steady clients get beside a number of floods: the fraction of their requests that is served,
// how many they send a second, their longest wait, and the gateway's memory.
func BenchmarkBesideFloods(b *testing.B) {
	const memoryMB, sockets, steadyClients, duration = 96, 256, 12, 2 * time.Second
	parseAndSync := message('P', "\x00SELECT 1\x00\x00\x00") + message('S', "")
	kinds := []flood{
		{"reads", startupMessage, func() (piece string) {
			for range 100 {
				piece += queryMessage(txnSQL("any", ""))
			}
			return piece
		}, true, false},
		{"empty statements", startupMessage, repeated(queryMessage("")), true, false},
		{"empty statements, answers unread", startupMessage, repeated(queryMessage("")), false, false},
		{"extended protocol, answers unread", startupMessage, repeated(parseAndSync), false, false},
	}
	for _, kind := range kinds {
		for _, floods := range []int{0, 1, 2, 3, 6, 20, 60} {
			b.Run(fmt.Sprintf("%d times %s", floods, kind.name), func(b *testing.B) {
				env := startGatewayWithMemory(memoryMB, sockets, newMember("m", "read-write"), newMember("r", "read-only"))
				defer env.stop()
				var steady steadyLoad
				for range b.N {
					steady.runBeside(env, kind, floods, steadyClients, duration)
				}
				b.ReportMetric(float64(steady.served)/float64(max(1, steady.sent)), "served/sent")
				b.ReportMetric(float64(steady.sent)/(duration.Seconds()*float64(b.N)), "sent/s")
				b.ReportMetric(float64(steady.longest.Milliseconds()), "longest-ms")
				b.ReportMetric(float64(env.anonymousMemory()>>20), "MB")
			})
		}
	}
}

// steadyLoad is what clients got that send a request after each answer.
type steadyLoad struct {
	mu           sync.Mutex
	sent, served int
	longest      time.Duration
}

// runBeside runs steady clients beside floods of one kind.
func (s *steadyLoad) runBeside(env *environment, kind flood, floods, clients int, duration time.Duration) {
	stop := make(chan bool)
	var flooders, steady sync.WaitGroup
	for range clients {
		c := env.connect()
		steady.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				sentAt := time.Now()
				got := execute(c, txnSQL("any", ""))
				s.record(time.Since(sentAt), strings.HasPrefix(got, "committed"))
			}
		})
	}
	for range floods {
		flooders.Go(func() { kind.run(env.address, stop) })
	}
	steady.Wait()
	close(stop)
	flooders.Wait()
}

func (s *steadyLoad) record(took time.Duration, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if served {
		s.served++
	}
	s.longest = max(s.longest, took)
}
