package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"chervilpath/core/fault"
	"chervilpath/io/caller"
)

const namespace = "chervilpath"

type (
	// metrics holds what is counted as it happens. Organisations are never a
	// label: there can be 30,000 of them; see core/cost.
	metrics struct {
		requests *prometheus.CounterVec
		duration *prometheus.HistogramVec
		waited   *prometheus.HistogramVec
		took     *prometheus.HistogramVec
		calls    *prometheus.CounterVec
		first    *prometheus.HistogramVec
		gap      *prometheus.HistogramVec
	}

	// gauges reads the instance's state when it is scraped.
	gauges struct {
		instance *Instance

		waiting, inFlight, limit, ejected, revision, refused, members, platform, budget, peerBytes, keys, costs, draining *prometheus.Desc
	}
)

var buckets = []float64{.002, .005, .01, .02, .03, .05, .1, .2, .32, .5, .75, 1, 1.5, 2, 3, 5, 10}

func newMetrics(n *Instance) *metrics {
	m := &metrics{
		requests: counter("requests_total", "Requests by kind and result; the result is answered or a kind of error.", "kind", "result"),
		duration: histogram("request_duration_seconds", "Time from a request's arrival to the end of its answer.", "kind"),
		waited:   histogram("stage_wait_seconds", "Time that requests waited for a stage.", "stage"),
		took:     histogram("stage_duration_seconds", "Time of a stage with its wait and all attempts.", "stage"),
		first:    histogram("stream_first_token_seconds", "Time from a request's arrival to its first streamed token.", "stage"),
		gap:      histogram("stream_token_gap_seconds", "Time between two streamed tokens, without the caller's time to read.", "stage"),
		calls:    counter("calls_total", "Calls of endpoints by stage and class of cost.", "stage", "class"),
	}
	n.registry.MustRegister(m.requests, m.duration, m.waited, m.took, m.calls, m.first, m.gap, newGauges(n),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

func (m *metrics) observeRequest(e caller.End) {
	result := "answered"
	if e.Err != nil {
		result = e.Err.Kind().String()
	}
	m.requests.WithLabelValues(e.Kind, result).Inc()
	m.duration.WithLabelValues(e.Kind).Observe(e.Took.Seconds())
}

func (m *metrics) observeStage(stage string, waited, took time.Duration, _ error) {
	m.waited.WithLabelValues(stage).Observe(waited.Seconds())
	m.took.WithLabelValues(stage).Observe(took.Seconds())
}

func (m *metrics) observeToken(stage string, first bool, d time.Duration) {
	if first {
		m.first.WithLabelValues(stage).Observe(d.Seconds())
		return
	}
	m.gap.WithLabelValues(stage).Observe(d.Seconds())
}

func newGauges(n *Instance) *gauges {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	return &gauges{
		instance:  n,
		waiting:   desc("stage_waiting", "Requests that wait for a stage.", "stage"),
		inFlight:  desc("endpoint_in_flight", "Calls of this instance in flight at an endpoint.", "stage", "endpoint"),
		limit:     desc("endpoint_limit", "Calls that this instance sends to an endpoint at once.", "stage", "endpoint"),
		ejected:   desc("endpoint_ejected", "1 while an endpoint gets probes only.", "stage", "endpoint"),
		revision:  desc("revision", "Revision of the declarations in force."),
		refused:   desc("revision_refused", "Revision that was offered and refused, 0 if none."),
		members:   desc("members", "Entry instances as this one sees them.", "state"),
		platform:  desc("platform_calls_total", "Calls of the platform.", "op"),
		budget:    desc("platform_calls_per_second_limit", "Calls of the platform that this instance may make in a second.", "op"),
		peerBytes: desc("peer_bytes_total", "Bytes sent and received by calls to peers."),
		keys:      desc("once_keys", "Keys of requests that run at most once, by state.", "state"),
		costs:     desc("cost_objects_waiting", "Records of cost that wait to be stored."),
		draining:  desc("draining", "1 while the instance is leaving."),
	}
}

// Describe implements prometheus.Collector.
func (g *gauges) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{g.waiting, g.inFlight, g.limit, g.ejected, g.revision, g.refused, g.members, g.platform, g.budget, g.peerBytes, g.keys, g.costs, g.draining} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (g *gauges) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	s := g.instance.Status()
	for _, stage := range s.Stages {
		gauge(g.waiting, float64(stage.Waiting), stage.Name)
		for _, e := range stage.Endpoints {
			gauge(g.inFlight, float64(e.InFlight), stage.Name, e.Name)
			gauge(g.limit, e.Limit, stage.Name, e.Name)
			gauge(g.ejected, flag(e.Ejected), stage.Name, e.Name)
		}
	}
	gauge(g.revision, float64(s.Revision))
	gauge(g.refused, float64(s.RefusedRevision))
	states := make(map[string]float64)
	for _, m := range s.Members {
		states[m.State]++
	}
	for state, count := range states {
		gauge(g.members, count, state)
	}
	ch <- prometheus.MustNewConstMetric(g.peerBytes, prometheus.CounterValue, float64(s.PeerBytes))
	count := func(op string, v int64) {
		ch <- prometheus.MustNewConstMetric(g.platform, prometheus.CounterValue, float64(v), op)
	}
	count("read", s.Platform.Reads)
	count("write", s.Platform.Writes)
	count("watch", s.Platform.Watches)
	count("failed", s.Platform.Failed)
	gauge(g.budget, g.instance.cfg.ReadsPerSecond(), "read")
	gauge(g.budget, g.instance.cfg.WritesPerSecond(), "write")
	gauge(g.keys, float64(s.KeysHeld), "held")
	gauge(g.keys, float64(s.KeysRunning), "running")
	gauge(g.costs, float64(s.CostsWaiting))
	gauge(g.draining, flag(s.Draining))
}

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// attained reports whether a request was answered within its deadline.
func attained(e caller.End) bool { return e.Err == nil && e.Took <= e.Deadline }

// refusedByCaller reports whether a request did not count for attainment since
// it was the caller's own fault.
func refusedByCaller(e caller.End) bool {
	if e.Err == nil {
		return false
	}
	switch e.Err.Kind() {
	case fault.BadRequest, fault.Unauthenticated, fault.NotFound, fault.TooLarge, fault.KeyRequired, fault.KeyReused, fault.Cancelled:
		return true
	}
	return false
}
