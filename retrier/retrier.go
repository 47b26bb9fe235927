// Package retrier bounds retries as a share of first attempts.
package retrier

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// DefaultBurst is the number of retries that a service may save up.
const DefaultBurst = 3

// Config configures a Retrier.
type Config struct {
	// Burst bounds the retries that a service may save up; zero means DefaultBurst.
	Burst float64
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer
}

// Retrier keeps one retry budget a service. It is safe for concurrent use.
type Retrier struct {
	config  Config
	decided *prometheus.CounterVec
	// unlimited allows every retry; tests use it to see the budget's effect.
	unlimited bool

	mu      sync.Mutex
	budgets map[eelgrassbeam.ServiceName]float64
}

// New returns a Retrier whose budgets hold a full burst.
func New(config Config) *Retrier {
	if config.Burst == 0 {
		config.Burst = DefaultBurst
	}
	decided := promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
		Name: "eelgrassbeam_retrier_retries_total", Help: "Retries asked for, by decision.",
	}, []string{"service", "decision"})
	return &Retrier{config: config, decided: decided, budgets: make(map[eelgrassbeam.ServiceName]float64)}
}

// RecordFirst adds a first attempt's share to the service's budget.
func (r *Retrier) RecordFirst(service eelgrassbeam.ServiceName, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets[service] = min(r.config.Burst, r.budget(service)+share)
}

// AllowRetry spends one retry of the service's budget; false if it has none.
func (r *Retrier) AllowRetry(service eelgrassbeam.ServiceName, share float64) bool {
	allowed := r.unlimited || r.spend(service, share)
	decision := "refused"
	if allowed {
		decision = "allowed"
	}
	r.decided.WithLabelValues(string(service), decision).Inc()
	return allowed
}

func (r *Retrier) spend(service eelgrassbeam.ServiceName, share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budget(service)
	if share <= 0 || budget < 1 {
		return false
	}
	r.budgets[service] = budget - 1
	return true
}

func (r *Retrier) budget(service eelgrassbeam.ServiceName) float64 {
	if budget, ok := r.budgets[service]; ok {
		return budget
	}
	return r.config.Burst
}

// Share returns the service's retry share under the configuration.
func Share(config *eelgrassbeam.Configuration, service eelgrassbeam.ServiceName, now time.Time) float64 {
	if e, ok := config.Exception(eelgrassbeam.SettingRetryShare, eelgrassbeam.TargetService, string(service), now); ok {
		return e.Number()
	}
	s, _ := config.Defaults.Service(service)
	return s.RetryShare
}
