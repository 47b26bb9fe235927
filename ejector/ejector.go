// Package ejector implements outlier ejection: it takes failing upstreams of a site out of use for a time.
package ejector

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Defaults of Config.
const (
	DefaultConsecutive = 5
	DefaultErrorRate   = 0.5
	DefaultMaxShare    = 0.34 // just above a third: 2 of 6 upstreams, where 0.33 would give 1
	DefaultBaseTime    = 2 * time.Second
	DefaultMaxTime     = time.Minute
)

// Config configures an Ejector; zero values select the defaults.
type Config struct {
	Clock eelgrassbeam.Clock
	// Consecutive is the number of consecutive failures after which an upstream is ejected.
	Consecutive int
	// ErrorRate is the recent share of failures, 0 to 1, from which an upstream is ejected if it is an outlier in
	// its site.
	ErrorRate float64
	// MaxShare is the maximum share, 0 to 1, of the site's upstreams that may be out of use at once. One may always be,
	// unless it is the only one.
	MaxShare float64
	// BaseTime is the duration of the first ejection. The duration doubles with each further one, up to MaxTime, and is
	// BaseTime again after the upstream has been in use for backoffResetFactor times the last ejection.
	BaseTime, MaxTime time.Duration
	// Log receives one line per decision; nil disables it.
	Log logrus.FieldLogger
	// Metrics count ejections; nil disables them.
	Metrics *Metrics
}

// Metrics counts the ejections of all ejectors of a process.
type Metrics struct{ ejected *prometheus.CounterVec }

// NewMetrics registers the collectors; with a nil registerer they stay unregistered.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	return &Metrics{ejected: promauto.With(registerer).NewCounterVec(prometheus.CounterOpts{
		Name: "eelgrassbeam_ejector_ejected_total", Help: "Upstreams taken out of use, by reason.",
	}, []string{"reason"})}
}

// Ejector tracks the failures of the upstreams of one site. It is safe for concurrent use.
type Ejector struct {
	config Config
	// unbounded disables the bound on ejected upstreams, so that tests can show its effect.
	unbounded bool

	mu        sync.Mutex
	upstreams map[eelgrassbeam.UpstreamID]*upstreamState
}

// New returns an Ejector without upstreams.
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
	return &Ejector{config: config, upstreams: make(map[eelgrassbeam.UpstreamID]*upstreamState)}
}

// SetUpstreams replaces the set of upstreams; those that stay keep their history.
func (e *Ejector) SetUpstreams(ids []eelgrassbeam.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	upstreams := make(map[eelgrassbeam.UpstreamID]*upstreamState, len(ids))
	for _, id := range ids {
		upstreams[id] = e.upstreams[id]
		if upstreams[id] == nil {
			upstreams[id] = &upstreamState{state: stateInUse}
		}
	}
	e.upstreams = upstreams
}

// Record records the result of a request at the upstream and reports whether that changed the number of slots it may
// use.
func (e *Ejector) Record(id eelgrassbeam.UpstreamID, failed bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, ok := e.upstreams[id]
	if !ok {
		return false
	}
	now := e.config.Clock.Now()
	u.endExpiredEjection(now)
	u.record(failed)
	switch {
	case u.state == stateEjected:
		return false
	case u.state == stateProbed && !failed:
		u.restore(now)
		e.log(id, "restored", "probe_ok")
		return true
	case u.state == stateProbed:
		e.eject(id, u, now, "probe_failed")
		return true
	case !failed:
		u.resetBackoff(now)
		return false
	}
	reason, outlier := e.reason(u)
	if !outlier || !e.mayEject(now) {
		return false
	}
	e.eject(id, u, now, reason)
	return true
}

// Slots returns how many of its full slots the upstream may use: none while it is ejected, one while it is probed.
func (e *Ejector) Slots(id eelgrassbeam.UpstreamID, full int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, ok := e.upstreams[id]
	if !ok {
		return full
	}
	u.endExpiredEjection(e.config.Clock.Now())
	switch u.state {
	case stateEjected:
		return 0
	case stateProbed:
		return min(1, full)
	default:
		return full
	}
}

// NextProbe returns when the next ejection ends and its upstream is probed; false if none is ejected.
func (e *Ejector) NextProbe() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	var next time.Time
	for _, u := range e.upstreams {
		u.endExpiredEjection(now)
		if u.state == stateEjected && (next.IsZero() || u.ejectedUntil.Before(next)) {
			next = u.ejectedUntil
		}
	}
	return next, !next.IsZero()
}

func (e *Ejector) reason(u *upstreamState) (string, bool) {
	switch {
	case u.consecutive >= e.config.Consecutive:
		return "consecutive", true
	case u.samples >= minSamples && u.errorRate >= e.config.ErrorRate && u.errorRate >= outlierFactor*e.othersErrorRate(u):
		return "error_rate", true
	default:
		return "", false
	}
}

// othersErrorRate returns the mean error rate of the other upstreams in use.
func (e *Ejector) othersErrorRate(u *upstreamState) float64 {
	sum, count := 0.0, 0
	for _, other := range e.upstreams {
		if other != u && other.state == stateInUse {
			sum += other.errorRate
			count++
		}
	}
	return sum / float64(max(1, count))
}

// mayEject reports whether one more ejection stays within MaxShare and leaves at least one upstream in use.
func (e *Ejector) mayEject(now time.Time) bool {
	if e.unbounded {
		return true
	}
	notUsed := 0
	for _, u := range e.upstreams {
		u.endExpiredEjection(now)
		if u.state != stateInUse {
			notUsed++
		}
	}
	bound := max(1, int(e.config.MaxShare*float64(len(e.upstreams))))
	return notUsed < bound && notUsed+1 < len(e.upstreams)
}

func (e *Ejector) eject(id eelgrassbeam.UpstreamID, u *upstreamState, now time.Time, reason string) {
	u.eject(now, e.config)
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
