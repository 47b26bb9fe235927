package picker

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Result classifies how an exchange with an upstream ended.
type Result string

// Results of an exchange.
const (
	// ResultAnswered is a complete response without a server error.
	ResultAnswered Result = "answered"
	// ResultServerError is a complete response with a server error, or a status that wrongly implies that the request
	// was not run.
	ResultServerError Result = "errored"
	// ResultShed is a rejection by the upstream for lack of capacity (load shedding).
	ResultShed Result = "shed"
	// ResultMisdirected is a rejection by a different upstream that now has the address.
	ResultMisdirected Result = "elsewhere"
	// ResultConnectionFailed is a connection that could not be opened or that failed during the exchange.
	ResultConnectionFailed Result = "broken"
	// ResultAbandoned is an exchange that this entry ended because of a deadline or a cancellation.
	ResultAbandoned Result = "abandoned"
)

// NoticeKind is a kind of what an upstream says of itself in its responses.
type NoticeKind string

// Kinds of notices.
const (
	// NoticeLimit is a limit of the request rate of all entries together.
	NoticeLimit NoticeKind = "limit"
	// NoticeLeaving is the end of the upstream.
	NoticeLeaving NoticeKind = "leaving"
	// NoticePause is a time for which the upstream wants no requests from this entry.
	NoticePause NoticeKind = "pause"
)

// NoticeKinds are all kinds of notices.
var NoticeKinds = []NoticeKind{NoticeLimit, NoticeLeaving, NoticePause}

// Slot is a request's reservation at an upstream, held until Release.
type Slot struct {
	Upstream eelgrassbeam.Upstream
	// Load is the upstream's estimated number of requests at the time of selection.
	Load float64
	// Position is the upstream's position among the eligible ones in the key's rendezvous order, from 0.
	Position int
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// ReportAge is the age of the upstream's load report that Load is based on; zero without a report.
	ReportAge time.Duration
	// ViewRevision is the store revision of the view used for the selection, ViewAge the time since that view was
	// applied.
	ViewRevision eelgrassbeam.Revision
	ViewAge      time.Duration

	picker     *Picker
	state      *state
	service    *service
	job        Job
	acquiredAt time.Time
}

// Release returns the slot and assigns free slots to queued requests. The report is the load that the upstream sent
// with its response; Slots is zero if it sent none.
func (s *Slot) Release(result Result, report eelgrassbeam.SiteLoad) {
	p := s.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	s.state.inFlight--
	s.record(result, report, now)
	p.applyView()
	p.assignSlots(s.service)
}

// Observe records what the upstream says of itself in its response to the slot's request. It must precede Release.
func (s *Slot) Observe(notice *eelgrassbeam.Notice) {
	if notice == nil {
		return
	}
	p := s.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	s.observeLimit(notice.Limit, now)
	if notice.IsLeaving && s.state.leavingSince.IsZero() {
		s.state.leavingSince = now
		s.logNotice("upstream_leaving", logrus.Fields{})
	}
	if until := now.Add(notice.RetryAfter); notice.RetryAfter > 0 && until.After(s.state.pausedUntil) {
		s.state.pausedUntil = until
		s.logNotice("upstream_paused", logrus.Fields{"pause_ms": notice.RetryAfter.Milliseconds()})
	}
}

func (s *Slot) observeLimit(limit float64, now time.Time) {
	u := s.state
	before := u.limit
	u.limit = limit
	switch {
	case before == 0 && limit > 0:
		s.picker.beginLimit(u, now)
		s.logNotice("upstream_limited", logrus.Fields{"limit": limit})
	case before > 0 && limit == 0:
		s.logNotice("upstream_unlimited", logrus.Fields{"limit_before": before})
	}
}

// logNotice logs a change of what the upstream says of itself.
func (s *Slot) logNotice(event string, fields logrus.Fields) {
	fields["event"], fields["upstream"], fields["request"] = event, s.Upstream.ID, s.job.Request
	s.picker.config.Log.WithFields(fields).Info("")
}

func (s *Slot) record(result Result, report eelgrassbeam.SiteLoad, now time.Time) {
	u, took := s.state, now.Sub(s.acquiredAt)
	if report.Slots > 0 {
		u.otherInFlight = max(0, float64(report.InProgress+report.Waiting-u.inFlight))
		u.reportedAt, u.pace = now, report.Pace
		s.service.observeReport(u.otherInFlight/float64(report.Slots), report.Pace)
	}
	switch result {
	case ResultAnswered:
		if u.recordSuccess() {
			s.picker.config.Log.WithFields(logrus.Fields{
				"event": "upstream_back", "upstream": s.Upstream.ID, "request": s.job.Request,
			}).Info("")
		}
		s.service.completions.add(now)
		s.service.serviceTime = ewma(s.service.serviceTime, took)
		u.serviceTime = ewma(u.serviceTime, took)
		s.picker.serviceTimes[s.job.Route.Name] = ewma(s.picker.serviceTimes[s.job.Route.Name], took)
	case ResultShed:
		if report.Slots == 0 {
			// Without a load report, assume twice as many requests as slots, so that other upstreams are selected until
			// the estimate decays.
			u.otherInFlight, u.reportedAt = float64(2*u.slots()), now
		}
	case ResultServerError, ResultConnectionFailed, ResultMisdirected:
		s.recordFailure(result, now)
	case ResultAbandoned:
		// The upstream took longer than the request could wait, so its mean service time may only rise.
		u.serviceTime = ewma(u.serviceTime, max(took, u.serviceTime))
	}
}

func (s *Slot) recordFailure(result Result, now time.Time) {
	if s.picker.view.Routing == nil {
		return
	}
	settings := s.picker.view.Routing.Services[s.job.Service]
	if s.state.recordFailure(s.acquiredAt, now, settings.ColdStart) {
		s.picker.config.Log.WithFields(logrus.Fields{
			"event": "upstream_ejected", "upstream": s.Upstream.ID, "result": result, "until_ms": s.state.ejectedUntil.Sub(now).Milliseconds(),
			"request": s.job.Request,
		}).Warn("")
	}
}

func ewma(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(ewmaWeight*float64(value-mean))
}

// rate counts events in a sliding window of one second with ten buckets.
type rate struct {
	counts     [10]int
	lastBucket int64
}

const rateBucketWidth = 100 * time.Millisecond

func (r *rate) advance(now time.Time) int64 {
	bucket := now.UnixNano() / int64(rateBucketWidth)
	for ; r.lastBucket < bucket && bucket-r.lastBucket <= int64(len(r.counts)); r.lastBucket++ {
		r.counts[(r.lastBucket+1)%int64(len(r.counts))] = 0
	}
	if bucket-r.lastBucket > int64(len(r.counts)) || bucket < r.lastBucket {
		r.counts = [10]int{}
	}
	r.lastBucket = bucket
	return bucket
}

func (r *rate) add(now time.Time) { r.counts[r.advance(now)%int64(len(r.counts))]++ }

func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	total := 0
	for _, count := range r.counts {
		total += count
	}
	return float64(total)
}
