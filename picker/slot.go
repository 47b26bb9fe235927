package picker

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Result tells how an exchange ended.
type Result string

// The results.
const (
	// ResultAnswered is a whole answer.
	ResultAnswered Result = "answered"
	// ResultErrored is a whole answer with a server error.
	ResultErrored Result = "errored"
	// ResultShed is the upstream's refusal for want of room.
	ResultShed Result = "shed"
	// ResultElsewhere is the refusal of another upstream that has the address now.
	ResultElsewhere Result = "elsewhere"
	// ResultBroken is a connection that couldn't be opened or failed.
	ResultBroken Result = "broken"
	// ResultAbandoned is an exchange that this side ended.
	ResultAbandoned Result = "abandoned"
)

// Slot is a request's place at an upstream.
type Slot struct {
	Upstream eelgrassbeam.Upstream
	// Load is the upstream's load as it was chosen.
	Load float64
	// Order is its place among the key's homes.
	Order int
	// Waited is how long the request waited for it.
	Waited time.Duration
	// ReportAge is the age of the upstream's report of its load that Load rests on; zero for none.
	ReportAge time.Duration
	// ViewRevision is the store's revision of the view that it was chosen by, ViewAge the time since that view came.
	ViewRevision uint64
	ViewAge      time.Duration

	picker  *Picker
	state   *state
	service *service
	job     Job
	since   time.Time
}

// Release gives the slot back. The report is the load that the upstream told with its answer, with zero slots for none.
func (s *Slot) Release(result Result, report eelgrassbeam.SiteLoad) {
	p := s.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	s.state.inFlight--
	s.note(result, report, now)
	p.adopt()
	p.serveWaiting(s.service)
}

func (s *Slot) note(result Result, report eelgrassbeam.SiteLoad, now time.Time) {
	u, took := s.state, now.Sub(s.since)
	if report.Slots > 0 {
		u.foreign = max(0, float64(report.InProgress+report.Waiting-u.inFlight))
		u.reportedAt = now
	}
	switch result {
	case ResultAnswered:
		if u.succeed() {
			s.picker.config.Log.WithFields(logrus.Fields{
				"event": "upstream_back", "upstream": s.Upstream.ID, "request": s.job.Request,
			}).Info("")
		}
		s.service.served.add(now)
		s.service.latency = average(s.service.latency, took)
		u.latency = average(u.latency, took)
		s.picker.durations[s.job.Route.Name] = average(s.picker.durations[s.job.Route.Name], took)
	case ResultShed:
		if report.Slots == 0 {
			u.foreign, u.reportedAt = float64(2*u.slots()), now
		}
	case ResultErrored, ResultBroken, ResultElsewhere:
		s.fail(result, now)
	case ResultAbandoned:
		// The upstream was slower than the request could wait.
		u.latency = average(u.latency, max(took, u.latency))
	}
}

func (s *Slot) fail(result Result, now time.Time) {
	if s.picker.view.Routing == nil {
		return
	}
	terms := s.picker.view.Routing.Services[s.job.Service]
	if s.state.fail(now, terms.ColdStart) {
		s.picker.config.Log.WithFields(logrus.Fields{
			"event": "upstream_ejected", "upstream": s.Upstream.ID, "result": result, "until_ms": s.state.ejectedTo.Sub(now).Milliseconds(),
			"request": s.job.Request,
		}).Warn("")
	}
}

func average(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(averageWeight*float64(value-mean))
}

// rate counts events over the last second, in tenths.
type rate struct {
	counts [10]int
	at     int64
}

const rateTenth = 100 * time.Millisecond

func (r *rate) advance(now time.Time) int64 {
	tenth := now.UnixNano() / int64(rateTenth)
	for ; r.at < tenth && tenth-r.at <= int64(len(r.counts)); r.at++ {
		r.counts[(r.at+1)%int64(len(r.counts))] = 0
	}
	if tenth-r.at > int64(len(r.counts)) || tenth < r.at {
		r.counts = [10]int{}
	}
	r.at = tenth
	return tenth
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
