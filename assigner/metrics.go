package assigner

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	ownedSites prometheus.Gauge
	handovers  *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) metrics {
	factory := promauto.With(registerer)
	return metrics{
		ownedSites: factory.NewGauge(prometheus.GaugeOpts{
			Name: "eelgrassbeam_assigner_owned_sites", Help: "Sites whose dispatcher this entry is.",
		}),
		handovers: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_assigner_handovers_total", Help: "Handovers sent by result.",
		}, []string{"result"}),
	}
}
