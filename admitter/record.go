package admitter

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"
)

// Metrics counts the decisions of all admitters of a process.
type Metrics struct {
	admitted *prometheus.CounterVec
	refused  *prometheus.CounterVec
	wait     *prometheus.HistogramVec
}

// NewMetrics registers the collectors; with a nil registerer they stay unregistered.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	return &Metrics{
		admitted: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_admitter_admitted_total", Help: "Requests that were given a slot.",
		}, []string{"service", "rank"}),
		refused: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_admitter_refused_total", Help: "Requests that were refused as not run.",
		}, []string{"service", "rank", "reason"}),
		wait: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrassbeam_admitter_wait_seconds", Help: "Time that admitted requests waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service", "rank"}),
	}
}

// decision is the result of one ticket: a slot or an error.
type decision struct {
	ticket *Ticket
	slot   *Slot
	err    error
}

// notifyAll records the decisions and calls the submitters' notify functions. The caller must not hold the mutex.
func (a *Admitter) notifyAll(decided []decision) {
	for _, d := range decided {
		a.record(d)
		d.ticket.notify(d.slot, d.err)
	}
}

func (a *Admitter) record(d decision) {
	service, rank := string(a.service), string(d.ticket.rank.rank)
	wait := a.config.Clock.Now().Sub(d.ticket.queued)
	if m := a.config.Metrics; m != nil && d.err == nil {
		m.admitted.WithLabelValues(service, rank).Inc()
		m.wait.WithLabelValues(service, rank).Observe(wait.Seconds())
	} else if m != nil {
		m.refused.WithLabelValues(service, rank, reasonOf(d.err)).Inc()
	}
	if a.config.Log == nil {
		return
	}
	fields := logrus.Fields{
		"event": "decision", "kind": "admit", "request": d.ticket.request.ID, "service": service,
		"rank": rank, "team": d.ticket.request.Team, "wait": wait,
	}
	if d.err != nil {
		fields["choice"], fields["reason"] = "refused", reasonOf(d.err)
	} else {
		fields["choice"], fields["reason"] = d.slot.Upstream.ID, d.slot.reason()
	}
	a.config.Log.WithFields(fields).Info("")
}

func (s *Slot) reason() string {
	if s.byFloor {
		return "floor"
	}
	return "rank"
}

func reasonOf(err error) string {
	switch {
	case errors.Is(err, ErrQueueFull):
		return "queue_full"
	case errors.Is(err, ErrDeadline):
		return "deadline"
	case errors.Is(err, ErrNoUpstream):
		return "no_capacity"
	case errors.Is(err, ErrClosed):
		return "stopping"
	default:
		return "cancelled"
	}
}
