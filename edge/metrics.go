package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the counters and histograms of an instance.
type metrics struct {
	version       prometheus.Gauge
	storeCalls    prometheus.Counter
	storeFailures prometheus.Counter
	requests      *prometheus.CounterVec
	faults        *prometheus.CounterVec
	took          prometheus.Histogram
	batches       *prometheus.CounterVec
	batchPieces   prometheus.Histogram
	batchTook     prometheus.Histogram
}

var timeBuckets = []float64{.01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 20}

func newMetrics(r *prometheus.Registry, dropped func() int64) *metrics {
	m := &metrics{
		version:       prometheus.NewGauge(prometheus.GaugeOpts{Name: "chervilpath_configuration_version", Help: "Version of the configuration in force."}),
		storeCalls:    prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_store_calls_total", Help: "Calls of the platform's store."}),
		storeFailures: prometheus.NewCounter(prometheus.CounterOpts{Name: "chervilpath_store_failures_total", Help: "Calls that the store did not serve."}),
		requests:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_site_requests_total", Help: "Requests by result."}, []string{"result"}),
		faults:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_site_faults_total", Help: "Requests answered with a fault, by kind."}, []string{"kind"}),
		took:          prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_site_request_seconds", Help: "Time from a request to its end.", Buckets: timeBuckets}),
		batches:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chervilpath_batches_total", Help: "Calls of stage servers by result."}, []string{"result"}),
		batchPieces:   prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_batch_pieces", Help: "Pieces in a call of a stage server.", Buckets: prometheus.ExponentialBuckets(1, 2, 8)}),
		batchTook:     prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chervilpath_batch_seconds", Help: "Time of a call of a stage server.", Buckets: timeBuckets}),
	}
	r.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Name: "chervilpath_log_lines_dropped_total", Help: "Log lines that did not fit into the queue before standard output."},
		func() float64 { return float64(dropped()) },
	))
	r.MustRegister(m.version, m.storeCalls, m.storeFailures, m.requests, m.faults, m.took, m.batches, m.batchPieces, m.batchTook)
	return m
}

func (m *metrics) done(result string, took time.Duration) {
	m.requests.WithLabelValues(result).Inc()
	m.took.Observe(took.Seconds())
}

func (m *metrics) fault(kind string) { m.faults.WithLabelValues(kind).Inc() }

func (m *metrics) batch(pieces int, took time.Duration, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.batches.WithLabelValues(result).Inc()
	m.batchPieces.Observe(float64(pieces))
	m.batchTook.Observe(took.Seconds())
}
