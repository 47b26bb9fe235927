package recorder

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	records    prometheus.Gauge
	replyBytes prometheus.Gauge
	full       prometheus.Counter
	cancels    *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) metrics {
	m := metrics{
		records: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "eelgrassbeam_recorder_requests", Help: "Requests remembered.",
		}),
		replyBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "eelgrassbeam_recorder_reply_bytes", Help: "Bytes of replies kept.",
		}),
		full: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "eelgrassbeam_recorder_full_total", Help: "Requests and bars refused for want of room.",
		}),
		cancels: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_recorder_cancels_total", Help: "Cancels by answer.",
		}, []string{"answer"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.records, m.replyBytes, m.full, m.cancels)
	}
	return m
}
