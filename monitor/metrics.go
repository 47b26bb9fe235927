package monitor

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	revision   prometheus.Gauge
	live       prometheus.Gauge
	changes    *prometheus.CounterVec
	heartbeats *prometheus.CounterVec
	lapses     prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) metrics {
	factory := promauto.With(registerer)
	return metrics{
		revision: factory.NewGauge(prometheus.GaugeOpts{
			Name: "eelgrassbeam_monitor_fleet_revision", Help: "Revision of this process's view of the fleet.",
		}),
		live: factory.NewGauge(prometheus.GaugeOpts{
			Name: "eelgrassbeam_monitor_live_entries", Help: "Live entries in the view.",
		}),
		changes: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_monitor_state_changes_total", Help: "Changes of entries' states by new state.",
		}, []string{"state"}),
		heartbeats: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_monitor_heartbeats_total", Help: "Heartbeats sent by result.",
		}, []string{"result"}),
		lapses: factory.NewCounter(prometheus.CounterOpts{
			Name: "eelgrassbeam_monitor_term_lapses_total", Help: "Terms of this entry that ran out.",
		}),
	}
}
