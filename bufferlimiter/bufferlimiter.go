// Package bufferlimiter bounds the bytes of request and response bodies that a process buffers, so that peers that send
// without end cannot exhaust an instance's memory.
package bufferlimiter

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/sync/semaphore"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// ResponseReserve is the size in bytes of a response that is covered by the reservation of its request. Most
	// responses are smaller, so that requests with small responses never wait for those with large ones.
	ResponseReserve = 64 << 10
	// responseShare is the share of the budget for the parts of responses above ResponseReserve; requests have the rest.
	responseShare = 0.5
	// serviceShare is the share of the response budget that one service may use.
	serviceShare = 0.5
	// lessUrgentShare is the share of the request budget that less urgent requests may use.
	lessUrgentShare = 0.75
)

// ErrExhausted reports that the budget has no room.
var ErrExhausted = errors.New("no room in the buffer budget")

// Config configures a Limiter.
type Config struct {
	// Bytes is the budget for all bodies.
	Bytes      int64
	Registerer prometheus.Registerer
}

// Limiter holds the budgets. It is safe for concurrent use. Lock order: Limiter.mu is held alone.
type Limiter struct {
	requests, lessUrgent, responses *semaphore.Weighted
	serviceBytes                    int64
	reserved                        *prometheus.GaugeVec
	refusals                        prometheus.Counter

	mu       sync.Mutex
	services map[eelgrassbeam.ServiceName]*semaphore.Weighted
}

// New returns a Limiter without reservations.
func New(config Config) *Limiter {
	responses := int64(float64(config.Bytes) * responseShare)
	requests := config.Bytes - responses
	factory := promauto.With(config.Registerer)
	return &Limiter{
		requests: semaphore.NewWeighted(requests), lessUrgent: semaphore.NewWeighted(int64(float64(requests) * lessUrgentShare)),
		responses: semaphore.NewWeighted(responses), serviceBytes: int64(float64(responses) * serviceShare),
		services: make(map[eelgrassbeam.ServiceName]*semaphore.Weighted),
		reserved: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "eelgrassbeam_buffer_reserved_bytes", Help: "Bytes reserved for bodies, by requests and responses.",
		}, []string{"kind"}),
		refusals: factory.NewCounter(prometheus.CounterOpts{
			Name: "eelgrassbeam_buffer_refusals_total", Help: "Requests refused because the buffer budget had no room.",
		}),
	}
}

// MaxResponseBytes returns the largest response that the budget admits, in bytes.
func (l *Limiter) MaxResponseBytes() int64 { return l.serviceBytes }

// ReserveRequest reserves bytes for a request's body, or for the first part of its response, at once or not at all. The
// caller calls release once unless an error, ErrExhausted, is returned.
func (l *Limiter) ReserveRequest(bytes int64, isUrgent bool) (release func(), err error) {
	if !isUrgent && !l.lessUrgent.TryAcquire(bytes) {
		l.refusals.Inc()
		return nil, fmt.Errorf("%w: %d bytes for a less urgent request", ErrExhausted, bytes)
	}
	if !l.requests.TryAcquire(bytes) {
		if !isUrgent {
			l.lessUrgent.Release(bytes)
		}
		l.refusals.Inc()
		return nil, fmt.Errorf("%w: %d bytes for a request", ErrExhausted, bytes)
	}
	gauge := l.reserved.WithLabelValues("request")
	gauge.Add(float64(bytes))
	return func() {
		gauge.Sub(float64(bytes))
		l.requests.Release(bytes)
		if !isUrgent {
			l.lessUrgent.Release(bytes)
		}
	}, nil
}

// ReserveResponse reserves bytes for the part of a response above ResponseReserve. The response is already on its way,
// so it waits for room until ctx is done; it then returns ErrExhausted.
func (l *Limiter) ReserveResponse(ctx context.Context, service eelgrassbeam.ServiceName, bytes int64) (release func(), err error) {
	ofService := l.service(service)
	if err := ofService.Acquire(ctx, bytes); err != nil {
		return nil, fmt.Errorf("%w: %d bytes for a response of %s: %w", ErrExhausted, bytes, service, err)
	}
	if err := l.responses.Acquire(ctx, bytes); err != nil {
		ofService.Release(bytes)
		return nil, fmt.Errorf("%w: %d bytes for a response: %w", ErrExhausted, bytes, err)
	}
	gauge := l.reserved.WithLabelValues("response")
	gauge.Add(float64(bytes))
	return func() {
		gauge.Sub(float64(bytes))
		l.responses.Release(bytes)
		ofService.Release(bytes)
	}, nil
}

func (l *Limiter) service(name eelgrassbeam.ServiceName) *semaphore.Weighted {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.services[name]
	if found == nil {
		found = semaphore.NewWeighted(l.serviceBytes)
		l.services[name] = found
	}
	return found
}
