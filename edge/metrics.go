package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilpath/core/memory"
	"chervilpath/core/slot"
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
	refusedChanges *prometheus.CounterVec
	evacuatedZones prometheus.Gauge
	// loads and refusedLoads count load headers of servers, and serverPace has their paces.
	loads, refusedLoads prometheus.Counter
	serverPace          prometheus.Histogram
	// quarantinedParts and quarantineEvents concern parts of prompts that crash engines.
	quarantinedParts prometheus.Gauge
	quarantineEvents *prometheus.CounterVec
	// coldAdmissions concerns requests to cold servers.
	coldAdmissions  *prometheus.CounterVec
	requests        *prometheus.CounterVec
	faults          *prometheus.CounterVec
	aborts          *prometheus.CounterVec
	requestDuration prometheus.Histogram
	batches         *prometheus.CounterVec
	batchPieces     prometheus.Histogram
	batchDuration   prometheus.Histogram
	// choices and expectedWait concern the engines that this instance chose, and observations
	// the reports of how fast they are.
	choices      *prometheus.CounterVec
	expectedWait prometheus.Histogram
	observations *prometheus.CounterVec
	// slots counts the decisions about requests that need a slot at this instance as an owner.
	slots *prometheus.CounterVec
}

var durationBuckets = []float64{.01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 20}

// newMetrics registers the metrics of an instance. dropped returns the number of
// log lines that were dropped.
func newMetrics(r *prometheus.Registry, dropped func() int64, waiting *memory.Waiting) *metrics {
	m := &metrics{
		configVersion:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "chervilpath_configuration_version", Help: "Version of the configuration in force."}),
		storeCalls:       prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_store_calls_total", Help: "Calls of the platform's store."}),
		storeFailures:    prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_store_failures_total", Help: "Calls that the store did not serve."}),
		followRequests:   prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_follow_requests_total", Help: "Requests for changes sent to other instances."}),
		staleSources:     prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_follow_stale_total", Help: "Requests for changes that an instance without a recent confirmation by the store answered, or none."}),
		serverEvents:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_server_events_total", Help: "Servers found leaving, gone, missing, excluded or returned, by source: store, peer, answer or lapse."}, []string{"event", "source"}),
		refusedNotices:   prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_server_retry_after_refused_total", Help: "Retry-After headers of servers that could not be used."}),
		refusedEntries:   prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_server_entries_refused_total", Help: "Entries in the list of servers that name no server to use, once for each revision of an entry."}),
		refusedChanges:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_peer_changes_refused_total", Help: "Changes that another instance sent and that could not be taken over, by kind: configuration, difference, servers or evacuations."}, []string{"kind"}),
		evacuatedZones:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "chervilpath_evacuated_zones", Help: "Failure domains whose servers get nothing because the operator evacuates them."}),
		loads:            prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_server_loads_total", Help: "Loads that servers reported in answers."}),
		refusedLoads:     prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_server_loads_refused_total", Help: "Load headers of servers that could not be used."}),
		serverPace:       prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_server_pace", Help: "How long work takes at a server as it reports in an answer, as a multiple of the usual time.", Buckets: []float64{.5, .8, 1.1, 1.5, 2, 3, 5}}),
		quarantinedParts: prometheus.NewGauge(prometheus.GaugeOpts{Name: "chervilpath_quarantined_parts", Help: "Parts of prompts that are held back because engines crashed on them."}),
		quarantineEvents: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_quarantine_events_total", Help: "Parts of prompts held back, released, tried again, forgotten, or too common to be held back, and crashes of engines that speak against parts, seen or refuted."}, []string{"event"}),
		coldAdmissions:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_cold_admissions_total", Help: "Requests to cold servers: granted or denied by this instance as the owner, undecided because no owner decided, or held since an earlier denial still counts."}, []string{"result"}),
		requests:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_site_requests_total", Help: "Requests by result."}, []string{"result"}),
		faults:           prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_site_faults_total", Help: "Requests answered with a fault, by kind."}, []string{"kind"}),
		aborts:           prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_site_aborts_total", Help: "Connections of callers closed without a complete response, by cause: caller, slowCaller, deadline, server, noServer, shutdown or other."}, []string{"cause"}),
		requestDuration:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_site_request_seconds", Help: "Time from a request to its end.", Buckets: durationBuckets}),
		batches:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_batches_total", Help: "Calls of stage servers by result."}, []string{"result"}),
		batchPieces:      prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_batch_pieces", Help: "Pieces in a call of a stage server.", Buckets: prometheus.ExponentialBuckets(1, 2, 8)}),
		batchDuration:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_batch_seconds", Help: "Time of a call of a stage server.", Buckets: durationBuckets}),
		slots:            prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_slot_decisions_total", Help: "Decisions of this instance as the owner of the slots of a plain service, by service, class and step."}, []string{"service", "class", "step"}),
	}
	m.choices = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_engine_choices_total", Help: "Engines chosen by this instance, by reason: kept, soonest, fallback or none."}, []string{"reason"})
	m.expectedWait = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_engine_expected_wait_seconds", Help: "Expected time until a chosen engine begins to read the prompt.", Buckets: durationBuckets})
	m.observations = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_engine_observations_total", Help: "Reports of how fast engines serve requests, by result: used or unused here, sent to another instance, lost on the way, or dropped because too many were on the way."}, []string{"result"})
	r.MustRegister(m.choices, m.expectedWait, m.observations)
	r.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Name: "chervilpath_log_lines_dropped_total", Help: "Log lines that did not fit into the queue before standard output."},
		func() float64 { return float64(dropped()) },
	))
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chervilpath_slow_caller_bytes", Help: "Memory taken by what waits for callers that read slowly, in bytes."}, func() float64 {
			bytes, _, _ := waiting.Used()
			return float64(bytes)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chervilpath_slow_callers", Help: "Callers for which bytes wait."}, func() float64 {
			_, readers, _ := waiting.Used()
			return float64(readers)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "chervilpath_slow_callers_ended_total", Help: "Callers whose connections were ended because they were the slowest and there was no more room."}, func() float64 {
			_, _, ended := waiting.Used()
			return float64(ended)
		}),
	)
	r.MustRegister(
		m.configVersion,
		m.storeCalls,
		m.storeFailures,
		m.followRequests,
		m.staleSources,
		m.serverEvents,
		m.quarantinedParts,
		m.quarantineEvents,
		m.refusedNotices,
		m.refusedEntries,
		m.refusedChanges,
		m.evacuatedZones,
		m.requests,
		m.faults,
		m.aborts,
		m.requestDuration,
		m.batches,
		m.batchPieces,
		m.batchDuration,
		m.coldAdmissions,
		m.slots,
		m.loads,
		m.refusedLoads,
		m.serverPace,
	)
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

// recordSlot records a decision about a request that needs a slot.
func (m *metrics) recordSlot(e slot.Event) {
	m.slots.WithLabelValues(e.Service, e.Job.Demand.Class, string(e.Step)).Inc()
}
