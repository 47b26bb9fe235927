// Package configholder holds the configuration that is in force in this process and refuses older versions.
package configholder

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
	// ErrStale reports an offered configuration with a lower version than the one in force.
	ErrStale = errors.New("stale configuration")
	// ErrDivergent reports an offered configuration that has the version in force but was made by another change.
	ErrDivergent = errors.New("divergent configuration")
)

// Source is where an offered configuration comes from.
type Source string

// The sources of configurations: the platform's object store, and other entries.
const (
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
)

// Config configures a ConfigHolder.
type Config struct {
	Clock      eelgrassbeam.Clock
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
}

// ConfigHolder holds the configuration in force and applies increasing versions only. It implements
// eelgrassbeam.ConfigurationSource.
type ConfigHolder struct {
	config  Config
	metrics metrics
	current atomic.Pointer[appliedConfiguration]

	mu          sync.Mutex
	changed     chan struct{}
	subscribers []func(*eelgrassbeam.Configuration, Source)

	// acceptsStale disables the version check; for tests only.
	acceptsStale bool
}

type appliedConfiguration struct {
	configuration *eelgrassbeam.Configuration
	since         time.Time
	source        Source
}

type metrics struct {
	version prometheus.Gauge
	offers  *prometheus.CounterVec
}

// New returns a ConfigHolder without a configuration.
func New(config Config) *ConfigHolder {
	factory := promauto.With(config.Registerer)
	return &ConfigHolder{
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
func (h *ConfigHolder) Configuration() (*eelgrassbeam.Configuration, bool) {
	current := h.current.Load()
	if current == nil {
		return nil, false
	}
	return current.configuration, true
}

// InForce returns the version in force and the time at which it was applied; both are zero before the first one.
func (h *ConfigHolder) InForce() (version uint64, since time.Time) {
	current := h.current.Load()
	if current == nil {
		return 0, time.Time{}
	}
	return current.configuration.Version, current.since
}

// Offer applies the configuration if it is valid and its version is above the one in force. Offering the configuration
// in force again has no effect and returns nil. Errors wrap ErrStale for a lower version, ErrDivergent for the version
// in force if another change made the offered one, or eelgrassbeam.ErrInvalid.
func (h *ConfigHolder) Offer(configuration eelgrassbeam.Configuration, source Source) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	applied, err := h.check(configuration)
	h.metrics.offers.WithLabelValues(string(source), resultOf(err, applied)).Inc()
	if err != nil {
		h.logRejection(configuration, source, err)
		return err
	}
	if applied {
		h.apply(configuration, source)
	}
	return nil
}

// Changed returns a channel that is closed once the next version is applied.
func (h *ConfigHolder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Await returns once the version or a higher one is in force, or with an error when the context ends.
func (h *ConfigHolder) Await(ctx context.Context, version uint64) error {
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

// Subscribe calls the function immediately with the configuration in force, if any, and then with each one that is
// applied, in order. The function must not call Offer, since the ConfigHolder is locked while it runs.
func (h *ConfigHolder) Subscribe(apply func(*eelgrassbeam.Configuration, Source)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, apply)
	if current := h.current.Load(); current != nil {
		apply(current.configuration, current.source)
	}
}

func (h *ConfigHolder) check(offered eelgrassbeam.Configuration) (applies bool, err error) {
	if offered.Version == 0 {
		return false, fmt.Errorf("%w: configuration has no version", eelgrassbeam.ErrInvalid)
	}
	current, ok := h.Configuration()
	if ok && !h.acceptsStale {
		switch {
		case offered.Version < current.Version:
			return false, fmt.Errorf("%w: version %d is below version %d in force", ErrStale, offered.Version, current.Version)
		case offered.Version == current.Version && offered.Change.ID != current.Change.ID:
			return false, fmt.Errorf("%w: version %d in force was made by change %q, the offered one by %q", ErrDivergent, offered.Version, current.Change.ID, offered.Change.ID)
		case offered.Version == current.Version:
			return false, nil
		}
	}
	if err := offered.Validate(); err != nil {
		return false, err
	}
	return true, nil
}

// apply puts the configuration in force without its recent changes, which only writers need. The caller holds h.mu.
func (h *ConfigHolder) apply(configuration eelgrassbeam.Configuration, source Source) {
	configuration = configuration.WithRecentChanges(nil)
	h.current.Store(&appliedConfiguration{configuration: &configuration, since: h.config.Clock.Now(), source: source})
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

func (h *ConfigHolder) logRejection(configuration eelgrassbeam.Configuration, source Source, err error) {
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
