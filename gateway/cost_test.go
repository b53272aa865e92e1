package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// BenchmarkOrdinaryPath measures the gateway's processor time per txn with a number of clients that each wait for their answers.
func BenchmarkOrdinaryPath(b *testing.B) {
	for _, clients := range []int{1, 16, 64, 200} {
		b.Run(fmt.Sprint(clients), func(b *testing.B) {
			_, members := newGroup(0, 2)
			f := newFleet(0, "", members...)
			f.sockets = 1024
			f.add(1)
			defer f.stop()
			const txnsPerClient = 200
			txns := 0
			usedBefore := cpuTime(f.gateways[0])
			for b.Loop() {
				var running sync.WaitGroup
				for i := range clients {
					running.Go(func() {
						c := f.front.NewClient(fmt.Sprintf("%08x", 0x100+i), txnTypes)
						c.Timeout = 5 * time.Second
						defer c.Close()
						for range txnsPerClient {
							if r := c.Read(0); r.Err != nil {
								b.Error(r)
							}
						}
					})
				}
				running.Wait()
				txns += clients * txnsPerClient
			}
			used := cpuTime(f.gateways[0]) - usedBefore
			b.ReportMetric(float64(used.Microseconds())/float64(txns), "cpu-us/txn")
		})
	}
}
