package caller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer) metrics {
	labels := []string{"service", "rank", "outcome"}
	m := metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_caller_requests_total", Help: "Requests of callers by service, rank and outcome.",
		}, labels),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrassbeam_caller_latency_seconds", Help: "Time from a caller's request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}, labels),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.latency)
	}
	return m
}

func (m metrics) count(request eelgrassbeam.Request, outcome eelgrassbeam.Outcome) {
	m.requests.WithLabelValues(string(request.Service), string(request.Rank), string(outcome)).Inc()
}

func (m metrics) observe(request eelgrassbeam.Request, reply eelgrassbeam.Reply, elapsed time.Duration) {
	m.count(request, reply.Outcome)
	m.latency.WithLabelValues(string(request.Service), string(request.Rank), string(reply.Outcome)).Observe(elapsed.Seconds())
}
