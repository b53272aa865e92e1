package session

// A primary that tells no position beside its answers completes no fence: each read that waits is sent to it, instead of one
// read at a time, and a fence that fails ends that.
func Example_positionsUntold() {
	t := newTrace(func(c *Config) { c.FleetSize = 1 }).read(1, 7, 0).printDecisions()
	t.s.ReadRouted(1)
	t.at(1010).completeFence(0).read(2, 7, 0).read(3, 8, 0).printDecisions()
	t.s.ReadRouted(2)
	t.s.FenceFailed(0, t.lastFenceID)
	t.at(1020).printDecisions().read(4, 9, 0).printDecisions()
	// Output:
	// 1000 request 1 to the primary of group 0
	// 1000 wake after 50
	// 1010 request 2 to the primary of group 0
	// 1010 request 3 to the primary of group 0
}
