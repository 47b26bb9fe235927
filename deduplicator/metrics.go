package deduplicator

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	keys           prometheus.Gauge
	repeats        *prometheus.CounterVec
	commits        prometheus.Counter
	commitFailures prometheus.Counter
	claims         prometheus.Counter
	deletes        prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "eelgrassbeam_keeper_" + name, Help: help})
	}
	m := metrics{
		keys: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "eelgrassbeam_keeper_keys", Help: "Idempotency keys remembered.",
		}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_keeper_repeats_total", Help: "Requests with a key that were not run, by reason.",
		}, []string{"reason"}),
		commits:        counter("commits_total", "Objects of claims written to the platform."),
		commitFailures: counter("commit_failures_total", "Commits of claims that failed."),
		claims:         counter("claims_total", "Claims written to the platform."),
		deletes:        counter("deletes_total", "Objects of expired claims removed from the platform."),
	}
	if registerer != nil {
		registerer.MustRegister(m.keys, m.repeats, m.commits, m.commitFailures, m.claims, m.deletes)
	}
	return m
}
