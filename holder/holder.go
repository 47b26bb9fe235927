// Package holder keeps the configuration that is in force in this process.
package holder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

var (
	// ErrStale reports an offer below the version in force.
	ErrStale = errors.New("configuration is stale")
	// ErrDivergent reports an offer of the version in force that another change made.
	ErrDivergent = errors.New("configuration diverges")
)

// Source names where an offered configuration comes from.
type Source string

// The sources.
const (
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
)

// Config configures a Holder.
type Config struct {
	Clock      eelgrassbeam.Clock
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Holder applies only rising versions. It implements eelgrassbeam.ConfigurationSource.
type Holder struct {
	config  Config
	metrics metrics
	current atomic.Pointer[state]

	mu          sync.Mutex
	changed     chan struct{}
	subscribers []func(*eelgrassbeam.Configuration, Source)

	// acceptsLower turns the version guard off; tests only.
	acceptsLower bool
}

type state struct {
	configuration *eelgrassbeam.Configuration
	since         time.Time
	source        Source
}

type metrics struct {
	version prometheus.Gauge
	offers  *prometheus.CounterVec
}

// New returns a holder without a configuration.
func New(config Config) *Holder {
	factory := promauto.With(config.Registerer)
	return &Holder{
		config: config, changed: make(chan struct{}),
		metrics: metrics{
			version: factory.NewGauge(prometheus.GaugeOpts{
				Name: "eelgrassbeam_holder_configuration_version", Help: "Version of the configuration in force.",
			}),
			offers: factory.NewCounterVec(prometheus.CounterOpts{
				Name: "eelgrassbeam_holder_offers_total", Help: "Offered configurations by source and result.",
			}, []string{"source", "result"}),
		},
	}
}

// Configuration implements eelgrassbeam.ConfigurationSource.
func (h *Holder) Configuration() (*eelgrassbeam.Configuration, bool) {
	current := h.current.Load()
	if current == nil {
		return nil, false
	}
	return current.configuration, true
}

// InForce returns the version in force and since when; zero before there is one.
func (h *Holder) InForce() (version uint64, since time.Time) {
	current := h.current.Load()
	if current == nil {
		return 0, time.Time{}
	}
	return current.configuration.Version, current.since
}

// Offer applies the configuration if its version is above the one in force and the whole set is valid.
// It returns nil for the version in force, ErrStale for a lower one and ErrDivergent for another content of the same version.
func (h *Holder) Offer(configuration eelgrassbeam.Configuration, source Source) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	applied, err := h.check(configuration)
	h.metrics.offers.WithLabelValues(string(source), resultOf(err, applied)).Inc()
	if err != nil {
		h.logRefusal(configuration, source, err)
		return err
	}
	if applied {
		h.apply(configuration, source)
	}
	return nil
}

// Changed returns a channel that is closed when the next version is applied.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Await returns once the version or a higher one is in force.
func (h *Holder) Await(ctx context.Context, version uint64) error {
	for {
		changed := h.Changed()
		if current, _ := h.InForce(); current >= version && current > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("await version %d: %w", version, context.Cause(ctx))
		}
	}
}

// Subscribe calls the function with each version and its source in order, and at once with the one in force. It must not call Offer.
func (h *Holder) Subscribe(apply func(*eelgrassbeam.Configuration, Source)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, apply)
	if current := h.current.Load(); current != nil {
		apply(current.configuration, current.source)
	}
}

func (h *Holder) check(offered eelgrassbeam.Configuration) (applies bool, err error) {
	if offered.Version == 0 {
		return false, fmt.Errorf("%w: configuration has no version", eelgrassbeam.ErrInvalid)
	}
	current, ok := h.Configuration()
	if ok && !h.acceptsLower {
		switch {
		case offered.Version < current.Version:
			return false, fmt.Errorf("%w: version %d is below %d", ErrStale, offered.Version, current.Version)
		case offered.Version == current.Version && offered.Change.ID != current.Change.ID:
			return false, fmt.Errorf("%w: version %d is by change %q, not %q", ErrDivergent, offered.Version, current.Change.ID, offered.Change.ID)
		case offered.Version == current.Version:
			return false, nil
		}
	}
	if err := offered.Validate(); err != nil {
		return false, err
	}
	return true, nil
}

// apply puts the configuration in force; the caller holds the mutex. Recent changes serve writers only and are dropped.
func (h *Holder) apply(configuration eelgrassbeam.Configuration, source Source) {
	configuration = configuration.WithRecentChanges(nil)
	h.current.Store(&state{configuration: &configuration, since: h.config.Clock.Now(), source: source})
	h.metrics.version.Set(float64(configuration.Version))
	for _, subscriber := range h.subscribers {
		subscriber(&configuration, source)
	}
	close(h.changed)
	h.changed = make(chan struct{})
	h.config.Log.WithFields(logrus.Fields{
		"event": "config_applied", "version": configuration.Version, "change": string(configuration.Change.ID), "source": string(source),
	}).Info("")
}

func (h *Holder) logRefusal(configuration eelgrassbeam.Configuration, source Source, err error) {
	event := "config_invalid"
	if errors.Is(err, ErrStale) {
		event = "config_stale"
	}
	if errors.Is(err, ErrDivergent) {
		event = "config_divergent"
	}
	current, _ := h.InForce()
	h.config.Log.WithFields(logrus.Fields{
		"event": event, "version": configuration.Version, "in_force": current, "source": string(source), "error": err,
	}).Warn("")
}

func resultOf(err error, applied bool) string {
	switch {
	case errors.Is(err, ErrStale):
		return "stale"
	case errors.Is(err, ErrDivergent):
		return "divergent"
	case err != nil:
		return "invalid"
	case applied:
		return "applied"
	default:
		return "known"
	}
}
