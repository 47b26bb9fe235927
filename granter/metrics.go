package granter

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	given    prometheus.Counter
	requests *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) metrics {
	m := metrics{
		given: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "eelgrassbeam_granter_given_credits_total", Help: "Credits given to remote entries.",
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_granter_shifted_requests_total", Help: "Requests shifted to this entry's sites by verdict.",
		}, []string{"verdict"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.given, m.requests)
	}
	return m
}

type creditPoolMetrics struct {
	given, spent prometheus.Counter
	asks         *prometheus.CounterVec
}

func newCreditPoolMetrics(registerer prometheus.Registerer) creditPoolMetrics {
	m := creditPoolMetrics{
		given: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "eelgrassbeam_granter_wallet_given_credits_total", Help: "Credits given to this entry by remote sites.",
		}),
		spent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "eelgrassbeam_granter_wallet_spent_credits_total", Help: "Credits that this entry has spent.",
		}),
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_granter_wallet_asks_total", Help: "Questions for credits by result.",
		}, []string{"result"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.given, m.spent, m.asks)
	}
	return m
}
