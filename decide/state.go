package decide

import "math"

// pcg is the permuted congruential generator PCG-XSH-RR 64/32 (O'Neill 2014).
type pcg struct{ state uint64 }

func newPCG(seed uint64) pcg {
	p := pcg{seed + 1442695040888963407}
	p.next()
	return p
}

func (p *pcg) next() uint32 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	x := uint32(((old >> 18) ^ old) >> 27)
	r := uint32(old >> 59)
	return x>>r | x<<(-r&31)
}

// unit returns a number in [0, 1).
func (p *pcg) unit() float64 { return float64(p.next()) / (1 << 32) }

// decaying is a sum whose parts fade with time; it is brought up to date when read or added to.
type decaying struct {
	sum float64
	at  Nanos
}

func (d *decaying) read(now, fade Nanos) float64 {
	if now > d.at {
		d.sum *= math.Exp(-float64(now-d.at) / float64(fade))
		d.at = now
	}
	return d.sum
}

func (d *decaying) add(now, fade Nanos, x float64) { d.sum = d.read(now, fade) + x }
