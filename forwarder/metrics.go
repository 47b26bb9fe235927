package forwarder

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the request counter and the latency and wait histograms.
type Metrics struct {
	requests  *prometheus.CounterVec
	latencies *prometheus.HistogramVec
	waits     *prometheus.HistogramVec
}

// durationBuckets are the upper bounds of the histograms' buckets, in seconds.
var durationBuckets = []float64{.05, .1, .2, .3, .4, .6, .8, 1, 1.5, 2, 3, 5, 8, 13}

// NewMetrics returns Metrics registered with the registerer. It panics if they are registered already.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_requests_total", Help: "Callers' requests by service, priority, outcome, reason and status.",
		}, []string{"service", "priority", "outcome", "reason", "status"}),
		latencies: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrassbeam_request_seconds", Help: "Time from reading a request to its answer.", Buckets: durationBuckets,
		}, []string{"service", "priority", "outcome"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrassbeam_request_wait_seconds", Help: "Time that requests waited for a slot.", Buckets: durationBuckets,
		}, []string{"service", "priority"}),
	}
	registerer.MustRegister(m.requests, m.latencies, m.waits)
	return m
}

func (m *Metrics) observe(c *call, o outcome, status int, took time.Duration) {
	priority := "none"
	if c.route != nil {
		priority = strconv.Itoa(c.priority())
	}
	service, replyOutcome := string(c.request.Service), o.reply.Outcome
	m.requests.WithLabelValues(service, priority, string(replyOutcome), string(o.reply.Reason), strconv.Itoa(status)).Inc()
	m.latencies.WithLabelValues(service, priority, string(replyOutcome)).Observe(took.Seconds())
	if replyOutcome != "" && c.sent > 0 {
		m.waits.WithLabelValues(service, priority).Observe(c.waited.Seconds())
	}
}
