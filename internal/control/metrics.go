package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"magpieglade/contracts"
	"magpieglade/gateway"
	"magpieglade/quota"
)

// figures tells what a gateway counts when it is asked, and keeps nothing of its own.
type figures struct {
	g      *gateway.Gateway
	all    []figure
	bounds [4]*prometheus.Desc // of the fleet
	used   *prometheus.Desc    // of contracts
	causes []cause
}

// cause is a counter by cause.
type cause struct {
	desc *prometheus.Desc
	of   func(*gateway.Outcomes) map[string]uint64
}

// figure is one of them; ok is false where the gateway has none.
type figure struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	of   func(*gateway.Stats) (value float64, ok bool)
}

func figuresOf(g *gateway.Gateway) *figures {
	f := &figures{g: g}
	add := func(name, help string, kind prometheus.ValueType, of func(*gateway.Stats) (float64, bool)) {
		f.all = append(f.all, figure{prometheus.NewDesc("magpieglade_"+name, help, nil, nil), kind, of})
	}
	count := func(name, help string, of func(*gateway.Stats) int) {
		add(name, help, prometheus.CounterValue, func(x *gateway.Stats) (float64, bool) { return float64(of(x)), true })
	}
	count("txns_taken_total", "Txns taken from clients.", func(x *gateway.Stats) int { return x.Accepted })
	count("txns_declined_total", "Txns declined.", func(x *gateway.Stats) int { return x.Rejected })
	count("txns_rolled_back_total", "Txns rolled back.", func(x *gateway.Stats) int { return x.RolledBack })
	count("txns_withdrawn_total", "Txns whose client went away.", func(x *gateway.Stats) int { return x.Withdrawn })
	count("txns_unagreed_total", "Of those declined, such that the fleet's agreement did not let this gateway decide.", func(x *gateway.Stats) int { return x.NoAgreement })
	gauge := func(name, help string, of func(*gateway.Stats) float64) {
		add(name, help, prometheus.GaugeValue, func(x *gateway.Stats) (float64, bool) {
			if x.Fleet == nil {
				return 0, false
			}
			return of(x), true
		})
	}
	gauge("fleet_lease_left_seconds", "For how long this gateway may act on what it holds; below 0 it is careful.", func(x *gateway.Stats) float64 { return float64(x.Fleet.LeaseRemaining) / 1e9 })
	gauge("fleet_stated_seconds", "For how long versions may contradict each other at most.", func(x *gateway.Stats) float64 { return float64(x.Fleet.MaxDivergence) / 1e9 })
	gauge("fleet_gateways", "Gateways in the list.", func(x *gateway.Stats) float64 { return float64(len(x.Fleet.Manifest.Gateways)) })
	gauge("fleet_term", "Term of the log, at a gateway that votes.", func(x *gateway.Stats) float64 { return float64(x.Fleet.Term) })
	version := func(next bool) func(*gateway.Stats) float64 {
		return func(x *gateway.Stats) float64 {
			for _, s := range x.Fleet.Manifest.Subjects {
				if s.Name != gateway.SubjectRoutes {
					continue
				}
				v := s.InForce
				if next {
					v = s.Next
				}
				if v != nil {
					return float64(v.No)
				}
			}
			return 0
		}
	}
	gauge("fleet_version_in_force", "Version of routes and limits in force here.", version(false))
	gauge("fleet_version_next", "Version that binds beside it, 0 for none.", version(true))
	for i, x := range [...][2]string{{"amount", "A bound of the fleet; of a rate txns a second."}, {"part", "What this gateway holds of it."}, {"wanted", "What is wanted of it here."},
		{"lent", "What is lent of it, at the gateway that keeps it."}} {
		f.bounds[i] = prometheus.NewDesc("magpieglade_bound_"+x[0], x[1], []string{"bound"}, nil)
	}
	f.used = prometheus.NewDesc("magpieglade_contract_txns", "Txns of a contract's latest window, as this gateway knows them: those of all at one that votes.", []string{"contract", "outcome"}, nil)
	byCause := func(name, help, label string, of func(*gateway.Outcomes) map[string]uint64) {
		f.causes = append(f.causes, cause{prometheus.NewDesc("magpieglade_"+name, help, []string{label}, nil), of})
	}
	byCause("client_connections_closed_total", "Client connections, by why they were closed.", "reason",
		func(x *gateway.Outcomes) map[string]uint64 { return x.ClientsClosed })
	byCause("requests_unanswered_total", "Requests without a final answer, by why their connection was closed.", "reason",
		func(x *gateway.Outcomes) map[string]uint64 { return x.Unanswered })
	byCause("attempts_total", "Attempts at members, by how they ended.", "result",
		func(x *gateway.Outcomes) map[string]uint64 { return x.Attempts })
	byCause("accept_errors_total", "Failed accepts of client connections, by error.", "error",
		func(x *gateway.Outcomes) map[string]uint64 { return x.AcceptErrors })
	byCause("dial_errors_total", "Failed connects to members and discovery, by error.", "error",
		func(x *gateway.Outcomes) map[string]uint64 { return x.DialErrors })
	return f
}

// Describe is for the library.
func (f *figures) Describe(to chan<- *prometheus.Desc) {
	for _, x := range f.all {
		to <- x.desc
	}
	for _, d := range f.bounds {
		to <- d
	}
	to <- f.used
	for _, x := range f.causes {
		to <- x.desc
	}
}

// Collect is for the library.
func (f *figures) Collect(to chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	now, err := f.g.Stats(ctx)
	if err != nil {
		return
	}
	for _, x := range f.all {
		if value, ok := x.of(now); ok {
			to <- prometheus.MustNewConstMetric(x.desc, x.kind, value)
		}
	}
	for _, x := range f.causes {
		for label, n := range x.of(&now.Outcomes) {
			to <- prometheus.MustNewConstMetric(x.desc, prometheus.CounterValue, float64(n), label)
		}
	}
	if v, err := f.g.Contracts(ctx); err == nil && v != nil {
		for _, c := range v.Book.BookedContracts() {
			all, _, err := f.g.Statements(ctx, c.Latest().Terms.Name, v.Now-contracts.CountRetention, v.Now)
			if err != nil || len(all) == 0 {
				continue
			}
			x := &all[len(all)-1].Total
			for what, n := range map[string]uint64{"asked": x.Requested, "in_time": x.InTime, "late": x.Late, "no_room": x.Overloaded, "no_member": x.NoMember,
				"unagreed": x.NoAgreement, "rolled_back": x.RolledBack, "left": x.Abandoned} {
				to <- prometheus.MustNewConstMetric(f.used, prometheus.GaugeValue, float64(n), c.Latest().Terms.Name, what)
			}
		}
	}
	parts, err := f.g.FleetLimits(ctx)
	if err != nil {
		return
	}
	for i := range parts {
		p, unit := &parts[i], 1.0
		if p.Rate {
			unit = quota.UnitsPerTxn
		}
		lent := int64(0)
		for _, l := range p.Grants {
			lent += l.Amount
		}
		for k, value := range [...]int64{p.Amount, p.Allocation, p.Demand, lent} {
			if k < 3 || len(p.Grants) > 0 {
				to <- prometheus.MustNewConstMetric(f.bounds[k], prometheus.GaugeValue, float64(value)/unit, p.Name)
			}
		}
	}
}

func metricsOf(g *gateway.Gateway) http.Handler {
	r := prometheus.NewPedanticRegistry()
	r.MustRegister(figuresOf(g))
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}

// Metrics asks the gateway at a path for what it counts, in Prometheus' text form.
func Metrics(ctx context.Context, path string, to io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	c := &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", path)
	}}}
	defer c.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, "GET", "http://gateway/metrics", nil)
	if err != nil {
		return err
	}
	answer, err := c.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("the gateway answers %s", answer.Status)
	}
	_, err = io.Copy(to, io.LimitReader(answer.Body, mostText))
	return err
}
