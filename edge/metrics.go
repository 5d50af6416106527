package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of an instance.
type metrics struct {
	configVersion  prometheus.Gauge
	storeCalls     prometheus.Counter
	storeFailures  prometheus.Counter
	followRequests prometheus.Counter
	staleSources   prometheus.Counter
	serverEvents   *prometheus.CounterVec
	refusedNotices prometheus.Counter
	refusedEntries prometheus.Counter
	// loads and refusedLoads count load headers of servers, and serverPace has their paces.
	loads, refusedLoads prometheus.Counter
	serverPace          prometheus.Histogram
	// quarantinedParts and quarantineEvents concern parts of prompts that crash engines.
	quarantinedParts prometheus.Gauge
	quarantineEvents *prometheus.CounterVec
	requests         *prometheus.CounterVec
	faults           *prometheus.CounterVec
	aborts           *prometheus.CounterVec
	requestDuration  prometheus.Histogram
	batches          *prometheus.CounterVec
	batchPieces      prometheus.Histogram
	batchDuration    prometheus.Histogram
}

var durationBuckets = []float64{.01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 20}

// newMetrics registers the metrics of an instance. dropped returns the number of
// log lines that were dropped.
func newMetrics(r *prometheus.Registry, dropped func() int64) *metrics {
	m := &metrics{
		configVersion:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "chervilpath_configuration_version", Help: "Version of the configuration in force."}),
		storeCalls:       prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_store_calls_total", Help: "Calls of the platform's store."}),
		storeFailures:    prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_store_failures_total", Help: "Calls that the store did not serve."}),
		followRequests:   prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_follow_requests_total", Help: "Requests for changes sent to other instances."}),
		staleSources:     prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_follow_stale_total", Help: "Requests for changes that an instance without a recent confirmation by the store answered, or none."}),
		serverEvents:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_server_events_total", Help: "Servers found leaving, gone, missing, excluded or returned, by source: store, peer, answer or lapse."}, []string{"event", "source"}),
		refusedNotices:   prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_server_retry_after_refused_total", Help: "Retry-After headers of servers that could not be used."}),
		refusedEntries:   prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_server_entries_refused_total", Help: "Entries in the list of servers that name no server to use, once for each revision of an entry."}),
		loads:            prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_server_loads_total", Help: "Loads that servers reported in answers."}),
		refusedLoads:     prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_server_loads_refused_total", Help: "Load headers of servers that could not be used."}),
		serverPace:       prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_server_pace", Help: "How long work takes at a server as it reports in an answer, as a multiple of the usual time.", Buckets: []float64{.5, .8, 1.1, 1.5, 2, 3, 5}}),
		quarantinedParts: prometheus.NewGauge(prometheus.GaugeOpts{Name: "chervilpath_quarantined_parts", Help: "Parts of prompts that are held back because engines crashed on them."}),
		quarantineEvents: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_quarantine_events_total", Help: "Parts of prompts held back, released, tried again, forgotten, or too common to be held back, and crashes of engines that speak against parts, seen or refuted."}, []string{"event"}),
		requests:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_site_requests_total", Help: "Requests by result."}, []string{"result"}),
		faults:           prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_site_faults_total", Help: "Requests answered with a fault, by kind."}, []string{"kind"}),
		aborts:           prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_site_aborts_total", Help: "Connections of callers closed without a complete response, by cause: caller, deadline, server, noServer, shutdown or other."}, []string{"cause"}),
		requestDuration:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_site_request_seconds", Help: "Time from a request to its end.", Buckets: durationBuckets}),
		batches:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_batches_total", Help: "Calls of stage servers by result."}, []string{"result"}),
		batchPieces:      prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_batch_pieces", Help: "Pieces in a call of a stage server.", Buckets: prometheus.ExponentialBuckets(1, 2, 8)}),
		batchDuration:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_batch_seconds", Help: "Time of a call of a stage server.", Buckets: durationBuckets}),
	}
	r.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Name: "chervilpath_log_lines_dropped_total", Help: "Log lines that did not fit into the queue before standard output."},
		func() float64 { return float64(dropped()) },
	))
	r.MustRegister(m.configVersion, m.storeCalls, m.storeFailures, m.followRequests, m.staleSources, m.serverEvents, m.quarantinedParts, m.quarantineEvents, m.refusedNotices, m.refusedEntries, m.loads, m.refusedLoads, m.serverPace, m.requests, m.faults, m.aborts, m.requestDuration, m.batches, m.batchPieces, m.batchDuration)
	return m
}

// recordRequest records the end of a request.
func (m *metrics) recordRequest(result string, elapsed time.Duration) {
	m.requests.WithLabelValues(result).Inc()
	m.requestDuration.Observe(elapsed.Seconds())
}

// recordFault records a request that was answered with a fault.
func (m *metrics) recordFault(kind string) { m.faults.WithLabelValues(kind).Inc() }

// recordAbort records a connection that was closed without a complete response.
func (m *metrics) recordAbort(cause string) { m.aborts.WithLabelValues(cause).Inc() }

// recordBatch records the end of a call to a stage server.
func (m *metrics) recordBatch(pieces int, elapsed time.Duration, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.batches.WithLabelValues(result).Inc()
	m.batchPieces.Observe(float64(pieces))
	m.batchDuration.Observe(elapsed.Seconds())
}
