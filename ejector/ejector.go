// Package ejector takes failing upstreams out of use for a time.
package ejector

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// The defaults of Config.
const (
	DefaultConsecutive = 5
	DefaultErrorRate   = 0.5
	DefaultMaxShare    = 0.34
	DefaultBaseTime    = 2 * time.Second
	DefaultMaxTime     = time.Minute
)

// Config configures an Ejector; zero fields mean the defaults.
type Config struct {
	Clock eelgrassbeam.Clock
	// Consecutive is the number of failures in a row that ejects.
	Consecutive int
	// ErrorRate is the recent share of failures that ejects, if it is an outlier in its site.
	ErrorRate float64
	// MaxShare bounds the share of the site's upstreams that are ejected at once.
	MaxShare float64
	// BaseTime is the length of a first ejection; each further one doubles up to MaxTime.
	BaseTime, MaxTime time.Duration
	// Log receives one line a decision; nil for none.
	Log logrus.FieldLogger
	// Metrics count decisions; nil for none.
	Metrics *Metrics
}

// Metrics count the ejections of all ejectors of a process.
type Metrics struct{ ejected *prometheus.CounterVec }

// NewMetrics registers the collectors; a nil registerer keeps them unregistered.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	return &Metrics{ejected: promauto.With(registerer).NewCounterVec(prometheus.CounterOpts{
		Name: "eelgrassbeam_ejector_ejected_total", Help: "Upstreams taken out of use, by reason.",
	}, []string{"reason"})}
}

// Ejector watches the upstreams of one site. It is safe for concurrent use.
type Ejector struct {
	config Config
	// unbounded ejects any number; tests use it to see the bound's effect.
	unbounded bool

	mu      sync.Mutex
	members map[eelgrassbeam.UpstreamID]*member
}

// New returns an Ejector without members.
func New(config Config) *Ejector {
	if config.Consecutive == 0 {
		config.Consecutive = DefaultConsecutive
	}
	if config.ErrorRate == 0 {
		config.ErrorRate = DefaultErrorRate
	}
	if config.MaxShare == 0 {
		config.MaxShare = DefaultMaxShare
	}
	if config.BaseTime == 0 {
		config.BaseTime = DefaultBaseTime
	}
	if config.MaxTime == 0 {
		config.MaxTime = DefaultMaxTime
	}
	return &Ejector{config: config, members: make(map[eelgrassbeam.UpstreamID]*member)}
}

// SetMembers replaces the site's upstreams; those that stay keep their history.
func (e *Ejector) SetMembers(ids []eelgrassbeam.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	members := make(map[eelgrassbeam.UpstreamID]*member, len(ids))
	for _, id := range ids {
		members[id] = e.members[id]
		if members[id] == nil {
			members[id] = &member{state: stateUsed}
		}
	}
	e.members = members
}

// Record notes how work at the upstream ended and tells whether its Slots have changed.
func (e *Ejector) Record(id eelgrassbeam.UpstreamID, failed bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.members[id]
	if !ok {
		return false
	}
	now := e.config.Clock.Now()
	m.refresh(now)
	m.record(failed)
	switch {
	case m.state == stateEjected:
		return false
	case m.state == stateProbed && !failed:
		m.restore(now)
		e.log(id, "restored", "probe_ok")
		return true
	case m.state == stateProbed:
		e.eject(id, m, now, "probe_failed")
		return true
	case !failed:
		m.forgive(now)
		return false
	}
	reason, outlier := e.reason(m)
	if !outlier || !e.mayEject(now) {
		return false
	}
	e.eject(id, m, now, reason)
	return true
}

// Slots returns the upstream's slots of its full ones: none while it is ejected, one while it is probed.
func (e *Ejector) Slots(id eelgrassbeam.UpstreamID, full int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.members[id]
	if !ok {
		return full
	}
	m.refresh(e.config.Clock.Now())
	switch m.state {
	case stateEjected:
		return 0
	case stateProbed:
		return min(1, full)
	default:
		return full
	}
}

// NextReturn returns when the next ejection ends; false without one.
func (e *Ejector) NextReturn() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	var next time.Time
	for _, m := range e.members {
		m.refresh(now)
		if m.state == stateEjected && (next.IsZero() || m.until.Before(next)) {
			next = m.until
		}
	}
	return next, !next.IsZero()
}

func (e *Ejector) reason(m *member) (string, bool) {
	switch {
	case m.consecutive >= e.config.Consecutive:
		return "consecutive", true
	case m.samples >= minSamples && m.errorRate >= e.config.ErrorRate && m.errorRate >= outlierFactor*e.otherRate(m):
		return "error_rate", true
	default:
		return "", false
	}
}

// otherRate returns the mean error rate of the other upstreams in use.
func (e *Ejector) otherRate(m *member) float64 {
	sum, count := 0.0, 0
	for _, other := range e.members {
		if other != m && other.state == stateUsed {
			sum += other.errorRate
			count++
		}
	}
	return sum / float64(max(1, count))
}

// mayEject tells whether one more ejection stays within the bound and leaves an upstream in use.
func (e *Ejector) mayEject(now time.Time) bool {
	if e.unbounded {
		return true
	}
	out := 0
	for _, m := range e.members {
		m.refresh(now)
		if m.state != stateUsed {
			out++
		}
	}
	bound := max(1, int(e.config.MaxShare*float64(len(e.members))))
	return out < bound && out+1 < len(e.members)
}

func (e *Ejector) eject(id eelgrassbeam.UpstreamID, m *member, now time.Time, reason string) {
	m.eject(now, e.config)
	if e.config.Metrics != nil {
		e.config.Metrics.ejected.WithLabelValues(reason).Inc()
	}
	e.log(id, "ejected", reason)
}

func (e *Ejector) log(id eelgrassbeam.UpstreamID, choice, reason string) {
	if e.config.Log == nil {
		return
	}
	e.config.Log.WithFields(logrus.Fields{
		"event": "decision", "kind": "eject", "upstream": id, "choice": choice, "reason": reason,
	}).Info("")
}
