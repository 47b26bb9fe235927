package directserver

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/eelgrassbeam/eelgrassbeam/picker"
)

// registerState registers the metrics of this entry's present view.
func (s *Server) registerState() {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "eelgrassbeam_configuration_version", Help: "Version of the configuration in force; zero without one.",
	}, func() float64 {
		if routing := s.viewer.View().Routing; routing != nil {
			return float64(routing.Version)
		}
		return 0
	}))
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "eelgrassbeam_configuration_faults", Help: "Parts of the configuration in force that can't be used as they are.",
	}, func() float64 {
		if routing := s.viewer.View().Routing; routing != nil {
			return float64(len(routing.Faults))
		}
		return 0
	}))
	for _, kind := range picker.NoticeKinds {
		s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "eelgrassbeam_upstream_notices", Help: "Upstreams that say of themselves in responses that they have a limit, leave or want a pause.",
			ConstLabels: prometheus.Labels{"kind": string(kind)},
		}, func() float64 { return float64(s.picker.CountNotices(kind)) }))
	}
}
