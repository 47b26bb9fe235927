// Package retrylimiter limits retries to a share of first attempts, with one retry budget per service.
package retrylimiter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// DefaultBurst is the default capacity of a retry budget, in retries.
const DefaultBurst = 3

// Config configures a RetryLimiter.
type Config struct {
	// Burst is the capacity of each retry budget, in retries; zero means DefaultBurst.
	Burst float64
	// Registerer registers the metrics; with nil they are not registered.
	Registerer prometheus.Registerer
}

// RetryLimiter holds one retry budget (a token bucket) per service. It is safe for concurrent use.
type RetryLimiter struct {
	config    Config
	decisions *prometheus.CounterVec
	// unlimited allows every retry. Tests set it to verify that they detect a missing limit.
	unlimited bool

	mu      sync.Mutex
	budgets map[eelgrassbeam.ServiceName]float64
}

// New returns a RetryLimiter with full budgets.
func New(config Config) *RetryLimiter {
	if config.Burst == 0 {
		config.Burst = DefaultBurst
	}
	decisions := promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
		Name: "eelgrassbeam_retrier_retries_total", Help: "Retries asked for, by decision.",
	}, []string{"service", "decision"})
	return &RetryLimiter{config: config, decisions: decisions, budgets: make(map[eelgrassbeam.ServiceName]float64)}
}

// RecordFirstAttempt records a first attempt: it adds share to the service's budget, up to the burst.
func (r *RetryLimiter) RecordFirstAttempt(service eelgrassbeam.ServiceName, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets[service] = min(r.config.Burst, r.budget(service)+share)
}

// AllowRetry takes one retry from the service's budget and reports whether there was one. A share of zero allows none.
func (r *RetryLimiter) AllowRetry(service eelgrassbeam.ServiceName, share float64) bool {
	allowed := r.unlimited || r.take(service, share)
	decision := "refused"
	if allowed {
		decision = "allowed"
	}
	r.decisions.WithLabelValues(string(service), decision).Inc()
	return allowed
}

func (r *RetryLimiter) take(service eelgrassbeam.ServiceName, share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budget(service)
	if share <= 0 || budget < 1 {
		return false
	}
	r.budgets[service] = budget - 1
	return true
}

func (r *RetryLimiter) budget(service eelgrassbeam.ServiceName) float64 {
	if budget, ok := r.budgets[service]; ok {
		return budget
	}
	return r.config.Burst
}

// Share returns the service's retry share at the time now: that of an exception for the service, or else the default.
func Share(config *eelgrassbeam.Configuration, service eelgrassbeam.ServiceName, now time.Time) float64 {
	if e, ok := config.Exception(eelgrassbeam.SettingRetryShare, eelgrassbeam.TargetService, string(service), now); ok {
		return e.Number()
	}
	s, _ := config.Defaults.Service(service)
	return s.RetryShare
}
