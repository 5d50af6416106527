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
	// metrics holds the metrics that are updated as events happen. No metric has
	// an organisation as a label, because there can be 30,000 of them; their costs
	// are accounted for in core/cost.
	metrics struct {
		requests        *prometheus.CounterVec
		requestDuration *prometheus.HistogramVec
		stageWait       *prometheus.HistogramVec
		stageDuration   *prometheus.HistogramVec
		calls           *prometheus.CounterVec
		firstToken      *prometheus.HistogramVec
		tokenGap        *prometheus.HistogramVec
	}

	// stateCollector collects metrics from the instance's status when it is
	// scraped.
	stateCollector struct {
		instance *Instance

		waiting, inFlight, endpointLimit, ejected, revision, refusedRevision, members, platformCalls, platformLimit, peerBytes, keys, pendingCosts, draining *prometheus.Desc
	}
)

// durationBuckets holds the upper bounds of the histograms' buckets, in seconds.
var durationBuckets = []float64{.002, .005, .01, .02, .03, .05, .1, .2, .32, .5, .75, 1, 1.5, 2, 3, 5, 10}

func newMetrics(in *Instance) *metrics {
	m := &metrics{
		requests:        newCounter("requests_total", "Requests by kind and result; the result is answered or a kind of error.", "kind", "result"),
		requestDuration: newHistogram("request_duration_seconds", "Time from a request's arrival to the end of its answer.", "kind"),
		stageWait:       newHistogram("stage_wait_seconds", "Time that requests waited for a stage.", "stage"),
		stageDuration:   newHistogram("stage_duration_seconds", "Time of a stage with its wait and all attempts.", "stage"),
		firstToken:      newHistogram("stream_first_token_seconds", "Time from a request's arrival to its first streamed token.", "stage"),
		tokenGap:        newHistogram("stream_token_gap_seconds", "Time between two streamed tokens, without the caller's time to read.", "stage"),
		calls:           newCounter("calls_total", "Calls of endpoints by stage and class of cost.", "stage", "class"),
	}
	in.registry.MustRegister(m.requests, m.requestDuration, m.stageWait, m.stageDuration, m.calls, m.firstToken, m.tokenGap, newStateCollector(in),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newHistogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: durationBuckets}, labels)
}

func (m *metrics) observeRequest(completion caller.Completion) {
	result := "answered"
	if completion.Err != nil {
		result = completion.Err.Kind().String()
	}
	m.requests.WithLabelValues(completion.Kind, result).Inc()
	m.requestDuration.WithLabelValues(completion.Kind).Observe(completion.Took.Seconds())
}

func (m *metrics) observeStage(stage string, waited, took time.Duration, _ error) {
	m.stageWait.WithLabelValues(stage).Observe(waited.Seconds())
	m.stageDuration.WithLabelValues(stage).Observe(took.Seconds())
}

func (m *metrics) observeToken(stage string, first bool, d time.Duration) {
	if first {
		m.firstToken.WithLabelValues(stage).Observe(d.Seconds())
		return
	}
	m.tokenGap.WithLabelValues(stage).Observe(d.Seconds())
}

func newStateCollector(in *Instance) *stateCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	return &stateCollector{
		instance:        in,
		waiting:         desc("stage_waiting", "Requests that wait for a stage.", "stage"),
		inFlight:        desc("endpoint_in_flight", "Calls of this instance in flight at an endpoint.", "stage", "endpoint"),
		endpointLimit:   desc("endpoint_limit", "Calls that this instance sends to an endpoint at once.", "stage", "endpoint"),
		ejected:         desc("endpoint_ejected", "1 while an endpoint gets probes only.", "stage", "endpoint"),
		revision:        desc("revision", "Revision of the declarations in force."),
		refusedRevision: desc("revision_refused", "Revision that was offered and refused, 0 if none."),
		members:         desc("members", "Entry instances as this one sees them.", "state"),
		platformCalls:   desc("platform_calls_total", "Calls of the platform.", "op"),
		platformLimit:   desc("platform_calls_per_second_limit", "Calls of the platform that this instance may make in a second.", "op"),
		peerBytes:       desc("peer_bytes_total", "Bytes sent and received by calls to peers."),
		keys:            desc("once_keys", "Keys of requests that run at most once, by state.", "state"),
		pendingCosts:    desc("cost_objects_waiting", "Records of cost that wait to be stored."),
		draining:        desc("draining", "1 while the instance is leaving."),
	}
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.waiting, c.inFlight, c.endpointLimit, c.ejected, c.revision, c.refusedRevision, c.members, c.platformCalls, c.platformLimit, c.peerBytes, c.keys, c.pendingCosts, c.draining} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	s := c.instance.Status()
	for _, stage := range s.Stages {
		gauge(c.waiting, float64(stage.Waiting), stage.Name)
		for _, e := range stage.Endpoints {
			gauge(c.inFlight, float64(e.InFlight), stage.Name, e.Name)
			gauge(c.endpointLimit, e.Limit, stage.Name, e.Name)
			gauge(c.ejected, boolValue(e.Ejected), stage.Name, e.Name)
		}
	}
	gauge(c.revision, float64(s.Revision))
	gauge(c.refusedRevision, float64(s.RefusedRevision))
	states := make(map[string]float64)
	for _, m := range s.Members {
		states[m.State]++
	}
	for state, count := range states {
		gauge(c.members, count, state)
	}
	ch <- prometheus.MustNewConstMetric(c.peerBytes, prometheus.CounterValue, float64(s.PeerBytes))
	countCalls := func(op string, v int64) {
		ch <- prometheus.MustNewConstMetric(c.platformCalls, prometheus.CounterValue, float64(v), op)
	}
	countCalls("read", s.Platform.Reads)
	countCalls("write", s.Platform.Writes)
	countCalls("watch", s.Platform.Watches)
	countCalls("failed", s.Platform.Failed)
	gauge(c.platformLimit, c.instance.cfg.ReadsPerSecond(), "read")
	gauge(c.platformLimit, c.instance.cfg.WritesPerSecond(), "write")
	gauge(c.keys, float64(s.KeysHeld), "held")
	gauge(c.keys, float64(s.KeysRunning), "running")
	gauge(c.pendingCosts, float64(s.CostsWaiting))
	gauge(c.draining, boolValue(s.Draining))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// metDeadline reports whether a request was answered within its deadline.
func metDeadline(completion caller.Completion) bool {
	return completion.Err == nil && completion.Took <= completion.Deadline
}

// isCallerFault reports whether a request failed through the caller's own fault.
// Such requests do not count towards attainment.
func isCallerFault(completion caller.Completion) bool {
	if completion.Err == nil {
		return false
	}
	switch completion.Err.Kind() {
	case fault.BadRequest, fault.Unauthenticated, fault.NotFound, fault.TooLarge, fault.KeyRequired, fault.KeyReused, fault.Cancelled:
		return true
	}
	return false
}
