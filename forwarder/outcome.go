package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/picker"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

// maxLoggedPath is the maximum length, in bytes, of a path in the log.
const maxLoggedPath = 256

// outcome describes how a request's latest attempt ended, or why the request was rejected without one.
type outcome struct {
	reply  eelgrassbeam.Reply
	result picker.Result
	// wasSent reports whether the request reached an upstream, which may have rejected it.
	wasSent bool
	// status overrides the status code derived from the reply; zero for none.
	status     int
	retryAfter time.Duration
}

// classify derives the outcome of an attempt from the reply and error of its exchange.
func classify(ctx context.Context, reply eelgrassbeam.Reply, err error) outcome {
	o := outcome{reply: reply, wasSent: true}
	switch {
	case errors.Is(err, upstream.ErrShed):
		o.result = picker.ResultShed
	case errors.Is(err, upstream.ErrMisdirected):
		o.result = picker.ResultMisdirected
	case err == nil && impliesNotRun(reply.Status):
		// The upstream did not mark the request as not run, so the caller must not get a status that implies that it
		// was not run.
		o.reply = eelgrassbeam.Unknown(reply.RequestID, eelgrassbeam.ReasonUpstreamFailed)
		o.result = picker.ResultServerError
	case err == nil && reply.Status >= http.StatusInternalServerError:
		o.result = picker.ResultServerError
	case err == nil:
		o.result = picker.ResultAnswered
	case errors.Is(err, upstream.ErrTruncated) && errors.Is(ctx.Err(), context.DeadlineExceeded):
		// The upstream began a response and did not complete it in time.
		o.result, o.status = picker.ResultConnectionFailed, http.StatusGatewayTimeout
	case errors.Is(err, upstream.ErrNoBuffer), ctx.Err() != nil:
		o.result = picker.ResultAbandoned
		o.wasSent = reply.Outcome != eelgrassbeam.OutcomeNotRun
	default:
		o.result = picker.ResultConnectionFailed
		o.wasSent = reply.Outcome != eelgrassbeam.OutcomeNotRun
	}
	return o
}

// impliesNotRun reports whether callers conclude from the status that the request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// isRetryable reports whether the request may be sent to another upstream after the outcome.
func (o outcome) isRetryable(idempotent bool) bool {
	if o.reply.Outcome == eelgrassbeam.OutcomeNotRun {
		return true
	}
	return idempotent && o.result != picker.ResultAnswered && o.result != picker.ResultAbandoned
}

// statusCode returns the HTTP status of the response to the caller.
func (o outcome) statusCode() int {
	switch {
	case o.status != 0:
		return o.status
	case o.reply.Outcome == eelgrassbeam.OutcomeAnswered:
		return o.reply.Status
	case o.reply.Outcome == eelgrassbeam.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case o.result == picker.ResultAbandoned:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// complete answers the caller, unless it has disconnected, and records the request in metrics and log.
func (f *Forwarder) complete(w http.ResponseWriter, r *http.Request, c *call, o outcome) {
	status := o.statusCode()
	if r.Context().Err() == nil {
		f.write(w, r, c, o, status)
	}
	f.config.Metrics.observe(c, o, status, f.config.Clock.Now().Sub(c.startedAt))
	f.log(r, c, o, status)
}

func (f *Forwarder) write(w http.ResponseWriter, r *http.Request, c *call, o outcome, status int) {
	header := w.Header()
	if o.reply.Outcome == eelgrassbeam.OutcomeAnswered {
		for name, values := range o.reply.Header {
			header[name] = values
		}
		writeBody(w, r, status, o.reply.Body)
		return
	}
	if c.request.ID != "" {
		header.Set(upstream.HeaderRequestID, string(c.request.ID))
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		retryAfter := o.retryAfter
		if retryAfter == 0 && c.route != nil {
			retryAfter = f.config.Picker.RetryAfter(f.job(c))
		}
		header.Set("Retry-After", formatSeconds(retryAfter))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	writeBody(w, r, status, []byte(o.reply.Reason+"\n"))
}

func (f *Forwarder) log(r *http.Request, c *call, o outcome, status int) {
	fields := logrus.Fields{
		"event": "request", "request": c.request.ID, "service": c.request.Service, "outcome": o.reply.Outcome,
		"reason": o.reply.Reason, "status": status, "took_ms": f.config.Clock.Now().Sub(c.startedAt).Milliseconds(),
		"waited_ms": c.waited.Milliseconds(), "sent": c.sent,
	}
	if c.route != nil {
		fields["route"], fields["configuration_version"] = c.route.Name, c.routing.Version
	}
	if c.team != nil {
		fields["team"], fields["priority"] = c.team.ID, c.priority()
	}
	if o.reply.Reason == eelgrassbeam.ReasonNoRoute {
		fields["host"], fields["path"] = r.Host, r.URL.Path[:min(len(r.URL.Path), maxLoggedPath)]
		fields["configuration_version"], fields["routes"] = c.routing.Version, len(c.routing.Routes)
	}
	if c.lastSlot != nil {
		fields["key"] = c.key
		fields["upstream"], fields["order"] = c.lastSlot.Upstream.ID, c.lastSlot.Position
		fields["load"], fields["load_age_ms"] = c.lastSlot.Load, c.lastSlot.ReportAge.Milliseconds()
		fields["view_revision"], fields["view_age_ms"] = c.lastSlot.ViewRevision, c.lastSlot.ViewAge.Milliseconds()
	}
	if r.Context().Err() != nil {
		fields["caller"] = "gone"
	}
	f.config.Log.WithFields(fields).Info("")
}
