package rehearse

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"time"
)

// badClientTimeout is how long a bad client stays connected.
const badClientTimeout = 3 * time.Second

// runBadClients connects bad clients to the gateways at a rate until the run is over: some send nothing, garbage or
// half a message, some disconnect without waiting for the response. Only the service of the other clients is checked.
func (d *driver) runBadClients(over <-chan struct{}) {
	rng := rand.New(rand.NewPCG(d.scenario.Seed, 14))
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / d.scenario.Traffic.BadClientRate * 1e9)):
		}
		o, kind, n := d.endpoints[rng.IntN(len(d.endpoints))], rng.IntN(5), rng.IntN(400)
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			c, err := net.DialTimeout("tcp4", o.address, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(badClientTimeout))
			hello := startupMessage()
			query := queryMessage("/* id=1,c=" + d.scenario.Types[0].Name + ",d=900,cluster=0 */ SELECT data FROM facts WHERE code = 'rude'")
			switch kind {
			case 0: // sends nothing
			case 1:
				_, _ = c.Write(make([]byte, n))
			case 2:
				_, _ = c.Write(hello[:len(hello)/2])
			case 3: // sends a query and disconnects at once
				_, _ = c.Write(append(hello, query...))
				return
			case 4:
				_, _ = c.Write(append(hello, query[:len(query)/2]...))
			}
			_, _ = c.Read(make([]byte, 1<<16))
			time.Sleep(time.Duration(n) * time.Millisecond)
		}()
	}
}

// startupMessage is a startup message of protocol version 3.
func startupMessage() []byte {
	body := "user\x00rude\x00database\x00crm\x00\x00"
	all := binary.BigEndian.AppendUint32(nil, uint32(len(body)+8))
	return append(binary.BigEndian.AppendUint32(all, 196608), body...)
}

// queryMessage is a simple query.
func queryMessage(sql string) []byte {
	return append(append(binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(len(sql)+5)), sql...), 0)
}
