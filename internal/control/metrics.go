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

// metricsCollector reads a gateway's statistics at each scrape and keeps no state of its own.
type metricsCollector struct {
	gateway          *gateway.Gateway
	metrics          []metric
	limitDescs       [4]*prometheus.Desc // amount, allocation, demand and granted sum of the fleet-wide limits
	contractTxnsDesc *prometheus.Desc    // outcomes of a contract's latest window
	labeledCounters  []labeledCounter
}

// labeledCounter is a counter with one label.
type labeledCounter struct {
	desc   *prometheus.Desc
	values func(*gateway.Outcomes) map[string]uint64
}

// metric is a metric without labels. Its value is omitted if ok is false.
type metric struct {
	desc      *prometheus.Desc
	valueType prometheus.ValueType
	value     func(*gateway.Stats) (value float64, ok bool)
}

// newMetricsCollector declares all metrics of a gateway.
func newMetricsCollector(g *gateway.Gateway) *metricsCollector {
	c := &metricsCollector{gateway: g}
	addMetric := func(name, help string, valueType prometheus.ValueType, value func(*gateway.Stats) (float64, bool)) {
		c.metrics = append(c.metrics, metric{prometheus.NewDesc("magpieglade_"+name, help, nil, nil), valueType, value})
	}
	counter := func(name, help string, value func(*gateway.Stats) int) {
		addMetric(name, help, prometheus.CounterValue, func(x *gateway.Stats) (float64, bool) { return float64(value(x)), true })
	}
	counter("txns_taken_total", "Txns taken from clients.", func(x *gateway.Stats) int { return x.Accepted })
	counter("txns_declined_total", "Txns declined.", func(x *gateway.Stats) int { return x.Rejected })
	counter("txns_rolled_back_total", "Txns rolled back.", func(x *gateway.Stats) int { return x.RolledBack })
	counter("txns_withdrawn_total", "Txns whose client went away.", func(x *gateway.Stats) int { return x.Withdrawn })
	counter("txns_unagreed_total", "Of those declined, such that the fleet's agreement did not let this gateway decide.", func(x *gateway.Stats) int { return x.NoAgreement })
	counter("reads_withheld_total", "Reads that were not written as what had proved their data fresh enough had aged.",
		func(x *gateway.Stats) int { return int(x.Outcomes.ReadsWithheld) })
	counter("queries_dropped_total", "Queries that were rejected unread, as there was no memory for them.",
		func(x *gateway.Stats) int { return int(x.Outcomes.QueriesDropped) })
	counter("loop_stalls_total", "Times for which the event loop read nothing although a deadline had passed.",
		func(x *gateway.Stats) int { return int(x.Outcomes.Stalls) })
	gauge := func(name, help string, value func(*gateway.Stats) float64) {
		addMetric(name, help, prometheus.GaugeValue, func(x *gateway.Stats) (float64, bool) {
			if x.Fleet == nil {
				return 0, false
			}
			return value(x), true
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
		c.limitDescs[i] = prometheus.NewDesc("magpieglade_bound_"+x[0], x[1], []string{"bound"}, nil)
	}
	c.contractTxnsDesc = prometheus.NewDesc("magpieglade_contract_txns", "Txns of a contract's latest window, as this gateway knows them: those of all at one that votes.", []string{"contract", "outcome"}, nil)
	countByLabel := func(name, help, label string, values func(*gateway.Outcomes) map[string]uint64) {
		c.labeledCounters = append(c.labeledCounters, labeledCounter{prometheus.NewDesc("magpieglade_"+name, help, []string{label}, nil), values})
	}
	countByLabel("client_connections_closed_total", "Client connections, by why they were closed.", "reason",
		func(x *gateway.Outcomes) map[string]uint64 { return x.ClientsClosed })
	countByLabel("requests_unanswered_total", "Requests without a final answer, by why their connection was closed.", "reason",
		func(x *gateway.Outcomes) map[string]uint64 { return x.Unanswered })
	countByLabel("client_pauses_total", "Times that a client was made to wait for other clients, by what it had sent much of.", "reason",
		func(x *gateway.Outcomes) map[string]uint64 { return x.ClientPauses })
	countByLabel("attempts_total", "Attempts at members, by how they ended.", "result",
		func(x *gateway.Outcomes) map[string]uint64 { return x.Attempts })
	countByLabel("reads_sent_total", "Reads for members, by what proved that the member's data is fresh enough.", "proof",
		func(x *gateway.Outcomes) map[string]uint64 { return x.ReadsSent })
	countByLabel("accept_errors_total", "Failed accepts of client connections, by error.", "error",
		func(x *gateway.Outcomes) map[string]uint64 { return x.AcceptErrors })
	countByLabel("dial_errors_total", "Failed connects to members and discovery, by error.", "error",
		func(x *gateway.Outcomes) map[string]uint64 { return x.DialErrors })
	return c
}

// Describe implements prometheus.Collector.
func (c *metricsCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, x := range c.metrics {
		ch <- x.desc
	}
	for _, d := range c.limitDescs {
		ch <- d
	}
	ch <- c.contractTxnsDesc
	for _, x := range c.labeledCounters {
		ch <- x.desc
	}
}

// Collect implements prometheus.Collector. It omits what the gateway does not report in time.
func (c *metricsCollector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	stats, err := c.gateway.Stats(ctx)
	if err != nil {
		return
	}
	for _, x := range c.metrics {
		if value, ok := x.value(stats); ok {
			ch <- prometheus.MustNewConstMetric(x.desc, x.valueType, value)
		}
	}
	for _, x := range c.labeledCounters {
		for label, n := range x.values(&stats.Outcomes) {
			ch <- prometheus.MustNewConstMetric(x.desc, prometheus.CounterValue, float64(n), label)
		}
	}
	if v, err := c.gateway.Contracts(ctx); err == nil && v != nil {
		for _, contract := range v.Book.BookedContracts() {
			statements, _, err := c.gateway.Statements(ctx, contract.Latest().Terms.Name, v.Now-contracts.CountRetention, v.Now)
			if err != nil || len(statements) == 0 {
				continue
			}
			total := &statements[len(statements)-1].Total
			for outcome, n := range map[string]uint64{"asked": total.Requested, "in_time": total.InTime, "late": total.Late, "no_room": total.Overloaded, "no_member": total.NoMember,
				"unagreed": total.NoAgreement, "rolled_back": total.RolledBack, "left": total.Abandoned} {
				ch <- prometheus.MustNewConstMetric(c.contractTxnsDesc, prometheus.GaugeValue, float64(n), contract.Latest().Terms.Name, outcome)
			}
		}
	}
	limits, err := c.gateway.FleetLimits(ctx)
	if err != nil {
		return
	}
	for i := range limits {
		limit, unit := &limits[i], 1.0
		if limit.Rate {
			unit = quota.UnitsPerTxn
		}
		granted := int64(0)
		for _, grant := range limit.Grants {
			granted += grant.Amount
		}
		for k, value := range [...]int64{limit.Amount, limit.Allocation, limit.Demand, granted} {
			if k < 3 || len(limit.Grants) > 0 {
				ch <- prometheus.MustNewConstMetric(c.limitDescs[k], prometheus.GaugeValue, float64(value)/unit, limit.Name)
			}
		}
	}
}

// newMetricsHandler returns the handler that serves a gateway's metrics to Prometheus.
func newMetricsHandler(g *gateway.Gateway) http.Handler {
	r := prometheus.NewPedanticRegistry()
	r.MustRegister(newMetricsCollector(g))
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}

// Metrics copies the metrics of the gateway that listens on a Unix socket, in the Prometheus text format.
func Metrics(ctx context.Context, socketPath string, to io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", socketPath)
	}}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, "GET", "http://gateway/metrics", nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the gateway responded with status %s", response.Status)
	}
	_, err = io.Copy(to, io.LimitReader(response.Body, maxBodySize))
	return err
}
