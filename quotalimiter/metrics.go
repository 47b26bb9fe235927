package quotalimiter

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	decisions *prometheus.CounterVec
	failures  prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) metrics {
	factory := promauto.With(registerer)
	return metrics{
		decisions: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_quota_decisions_total", Help: "Requests of teams with a quota, by decision.",
		}, []string{"decision"}),
		failures: factory.NewCounter(prometheus.CounterOpts{
			Name: "eelgrassbeam_quota_report_failures_total", Help: "Reports to the quota keeper that got no answer.",
		}),
	}
}

func (m metrics) count(admitted bool) {
	decision := "rejected"
	if admitted {
		decision = "admitted"
	}
	m.decisions.WithLabelValues(decision).Inc()
}
