package upstream

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	exchanges    *prometheus.CounterVec
	connections  prometheus.Gauge
	dials        prometheus.Counter
	dialFailures prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) metrics {
	m := metrics{
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_upstream_exchanges_total", Help: "Exchanges with upstreams by outcome and reason.",
		}, []string{"outcome", "reason"}),
		connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "eelgrassbeam_upstream_connections", Help: "Open connections to upstreams.",
		}),
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "eelgrassbeam_upstream_dials_total", Help: "Connections opened to upstreams.",
		}),
		dialFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "eelgrassbeam_upstream_dial_failures_total", Help: "Connections to upstreams that could not be opened.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.exchanges, m.connections, m.dials, m.dialFailures)
	}
	return m
}
