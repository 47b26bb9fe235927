// Package configholder holds the configuration that is in force in this process and refuses those that it supersedes.
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
	// ErrStale reports an offered configuration that doesn't supersede the one in force.
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

// ConfigHolder holds the configuration in force and applies only those that supersede it. It implements
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

// InForce returns the revision of the configuration in force and the time at which it was applied; both are zero before
// the first one.
func (h *ConfigHolder) InForce() (revision eelgrassbeam.Revision, since time.Time) {
	current := h.current.Load()
	if current == nil {
		return 0, time.Time{}
	}
	return current.configuration.Revision(), current.since
}

// Offer applies the configuration if it is valid and supersedes the one in force. Offering the configuration in force
// again has no effect and returns nil. Errors wrap ErrStale if it doesn't supersede that one, ErrDivergent for the version
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

// Await returns once the configuration or one that descends from it is in force, or with an error when the context ends.
func (h *ConfigHolder) Await(ctx context.Context, id eelgrassbeam.ConfigurationID) error {
	for {
		changed := h.Changed()
		if current, ok := h.Configuration(); ok && current.Includes(id) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("await version %s: %w", id.Revision, context.Cause(ctx))
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
		case offered.ID() == current.ID():
			return false, nil
		case offered.Revision() == current.Revision():
			return false, fmt.Errorf("%w: version %s in force was made by change %q, the offered one by %q", ErrDivergent, offered.Revision(), current.Change.ID, offered.Change.ID)
		case !offered.Supersedes(current):
			return false, fmt.Errorf("%w: version %s doesn't supersede version %s in force", ErrStale, offered.Revision(), current.Revision())
		}
	}
	if err := offered.Validate(); err != nil {
		return false, err
	}
	return true, nil
}

// apply puts the configuration in force. The caller holds h.mu.
func (h *ConfigHolder) apply(configuration eelgrassbeam.Configuration, source Source) {
	previous, _ := h.Configuration()
	h.current.Store(&appliedConfiguration{configuration: &configuration, since: h.config.Clock.Now(), source: source})
	h.metrics.version.Set(float64(configuration.Version))
	for _, subscriber := range h.subscribers {
		subscriber(&configuration, source)
	}
	close(h.changed)
	h.changed = make(chan struct{})
	h.config.Log.WithFields(logrus.Fields{
		"event": "config_applied", "version": configuration.Version, "era": configuration.Era, "change": string(configuration.Change.ID), "source": string(source),
	}).Info("")
	h.logLostChanges(previous, &configuration)
}

// logLostChanges logs the changes that end with the previous configuration because the store was restored from a copy
// without them and has since stored another change.
func (h *ConfigHolder) logLostChanges(previous, applied *eelgrassbeam.Configuration) {
	if previous == nil || previous.Era == applied.Era || applied.Includes(previous.ID()) {
		return
	}
	h.config.Log.WithFields(logrus.Fields{
		"event": "config_changes_lost", "version": applied.Version, "era": applied.Era, "change": string(applied.Change.ID),
		"lost": previous.ChangesMissingFrom(applied),
	}).Warn("")
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
		"event": event, "version": configuration.Version, "era": configuration.Era, "in_force": current.String(), "source": string(source), "error": err,
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
