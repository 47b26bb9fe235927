package relayer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	pushes      *prometheus.CounterVec
	comparisons *prometheus.CounterVec
	repairs     *prometheus.CounterVec
	snapshots   prometheus.Counter
	droppedJobs prometheus.Counter
	lateWatches prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Name: "eelgrassbeam_relayer_" + name, Help: help})
	}
	vector := func(name, help, label string) *prometheus.CounterVec {
		return factory.NewCounterVec(prometheus.CounterOpts{Name: "eelgrassbeam_relayer_" + name, Help: help}, []string{label})
	}
	return metrics{
		pushes:      vector("pushes_total", "Pushes sent down trees by result.", "result"),
		comparisons: vector("comparisons_total", "Comparisons with peers by result.", "result"),
		repairs:     vector("repairs_total", "Pulls after a comparison by what was lacking.", "what"),
		snapshots:   counter("snapshots_total", "Deltas that did not fit, so that the whole was pulled."),
		droppedJobs: counter("dropped_jobs_total", "Jobs dropped by a full queue."),
		lateWatches: counter("late_watches_total", "Versions that the platform had and the watch did not bring in time."),
	}
}

func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
