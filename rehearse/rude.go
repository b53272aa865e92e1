package rehearse

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"time"
)

// rudeness is how long a bad client stays.
const rudeness = 3 * time.Second

// rude has bad clients come to the gateways at a rate, until the day is over: some say nothing, some talk nonsense, some send
// half a message, some ask and go without waiting. What they get is nobody's concern; what others get is.
func (d *driver) rude(over <-chan struct{}) {
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
			_ = c.SetDeadline(time.Now().Add(rudeness))
			hello := startup()
			query := message("/* id=1,c=" + d.scenario.Types[0].Name + ",d=900,cluster=0 */ SELECT data FROM facts WHERE code = 'rude'")
			switch kind {
			case 0: // says nothing
			case 1:
				_, _ = c.Write(make([]byte, n))
			case 2:
				_, _ = c.Write(hello[:len(hello)/2])
			case 3: // asks, and goes at once
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

// startup is a startup message of protocol version 3.
func startup() []byte {
	body := "user\x00rude\x00database\x00crm\x00\x00"
	all := binary.BigEndian.AppendUint32(nil, uint32(len(body)+8))
	return append(binary.BigEndian.AppendUint32(all, 196608), body...)
}

// message is a simple query.
func message(sql string) []byte {
	return append(append(binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(len(sql)+5)), sql...), 0)
}
