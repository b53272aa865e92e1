package gateway

import "magpieglade/ledger"

// On puts a ledger on a disk of a test's.
func (p *LedgerPlan) On(d ledger.Disk) { p.disk = d }
