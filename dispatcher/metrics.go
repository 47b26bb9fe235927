package dispatcher

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/admitter"
	"github.com/eelgrassbeam/eelgrassbeam/ejector"
)

type metrics struct {
	exchanges  *prometheus.HistogramVec
	slots      *prometheus.GaugeVec
	inProgress *prometheus.GaugeVec
	waiting    *prometheus.GaugeVec
	admitter   *admitter.Metrics
	ejector    *ejector.Metrics
}

func newMetrics(registerer prometheus.Registerer) metrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"service", "zone"})
	}
	m := metrics{
		exchanges: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrassbeam_dispatcher_exchange_seconds", Help: "Time of an exchange with an upstream.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}, []string{"service", "rank", "outcome"}),
		slots:      gauge("eelgrassbeam_dispatcher_slots", "Requests that may be in progress at a site."),
		inProgress: gauge("eelgrassbeam_dispatcher_in_progress", "Requests in progress at a site."),
		waiting:    gauge("eelgrassbeam_dispatcher_waiting", "Requests that wait at a site."),
		admitter:   admitter.NewMetrics(registerer),
		ejector:    ejector.NewMetrics(registerer),
	}
	if registerer != nil {
		registerer.MustRegister(m.exchanges, m.slots, m.inProgress, m.waiting)
	}
	return m
}

func (m metrics) observe(request eelgrassbeam.Request, reply eelgrassbeam.Reply, elapsed time.Duration) {
	m.exchanges.WithLabelValues(string(request.Service), string(request.Rank), string(reply.Outcome)).Observe(elapsed.Seconds())
}

func (m metrics) setLoad(site eelgrassbeam.Site, load eelgrassbeam.SiteLoad) {
	service, zone := string(site.Service), string(site.Zone)
	m.slots.WithLabelValues(service, zone).Set(float64(load.Slots))
	m.inProgress.WithLabelValues(service, zone).Set(float64(load.InProgress))
	m.waiting.WithLabelValues(service, zone).Set(float64(load.Waiting))
}
