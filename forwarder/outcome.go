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

// outcome is what became of a request so far.
type outcome struct {
	reply  eelgrassbeam.Reply
	result picker.Result
	// wasSent tells that the request reached an upstream, which may have refused it.
	wasSent bool
	// status is set where the reply's outcome doesn't say it all.
	status     int
	retryAfter time.Duration
}

// judge tells what an exchange means for the request.
func judge(ctx context.Context, reply eelgrassbeam.Reply, err error) outcome {
	o := outcome{reply: reply, wasSent: true}
	switch {
	case errors.Is(err, upstream.ErrShed):
		o.result = picker.ResultShed
	case errors.Is(err, upstream.ErrElsewhere):
		o.result = picker.ResultMisdirected
	case err == nil && isPromise(reply.Status):
		// The upstream does not say that it has not run the request, so its status must not promise that.
		o.reply = eelgrassbeam.Unknown(reply.RequestID, eelgrassbeam.ReasonUpstreamFailed)
		o.result = picker.ResultServerError
	case err == nil && reply.Status >= http.StatusInternalServerError:
		o.result = picker.ResultServerError
	case err == nil:
		o.result = picker.ResultAnswered
	case ctx.Err() != nil:
		o.result = picker.ResultAbandoned
		o.wasSent = reply.Outcome != eelgrassbeam.OutcomeNotRun
	default:
		o.result = picker.ResultConnectionFailed
		o.wasSent = reply.Outcome != eelgrassbeam.OutcomeNotRun
	}
	return o
}

// isPromise tells whether callers take the status for a promise that the request was not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// isRepeatable tells whether the request may go to another upstream after the outcome.
func (o outcome) isRepeatable(idempotent bool) bool {
	if o.reply.Outcome == eelgrassbeam.OutcomeNotRun {
		return true
	}
	return idempotent && o.result != picker.ResultAnswered && o.result != picker.ResultAbandoned
}

// statusCode returns the status of the answer to the caller.
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

// finish answers the caller and logs the request.
func (f *Forwarder) finish(w http.ResponseWriter, r *http.Request, fl *flight, o outcome) {
	status := o.statusCode()
	if r.Context().Err() == nil {
		f.write(w, r, fl, o, status)
	}
	f.config.Metrics.observe(fl, o, status, f.config.Clock.Now().Sub(fl.began))
	f.log(r, fl, o, status)
}

func (f *Forwarder) write(w http.ResponseWriter, r *http.Request, fl *flight, o outcome, status int) {
	header := w.Header()
	if o.reply.Outcome == eelgrassbeam.OutcomeAnswered {
		for name, values := range o.reply.Header {
			header[name] = values
		}
		writeBody(w, r, status, o.reply.Body)
		return
	}
	if fl.request.ID != "" {
		header.Set(upstream.HeaderRequestID, string(fl.request.ID))
	}
	if status == http.StatusServiceUnavailable {
		retryAfter := o.retryAfter
		if retryAfter == 0 && fl.route != nil {
			retryAfter = f.config.Picker.RetryAfter(f.job(fl))
		}
		header.Set("Retry-After", seconds(retryAfter))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	writeBody(w, r, status, []byte(o.reply.Reason+"\n"))
}

func (f *Forwarder) log(r *http.Request, fl *flight, o outcome, status int) {
	fields := logrus.Fields{
		"event": "request", "request": fl.request.ID, "service": fl.request.Service, "outcome": o.reply.Outcome,
		"reason": o.reply.Reason, "status": status, "took_ms": f.config.Clock.Now().Sub(fl.began).Milliseconds(),
		"waited_ms": fl.waited.Milliseconds(), "sent": fl.sent,
	}
	if fl.route != nil {
		fields["route"], fields["configuration_version"] = fl.route.Name, fl.routing.Version
	}
	if fl.last != nil {
		fields["key"] = fl.key
		fields["upstream"], fields["order"] = fl.last.Upstream.ID, fl.last.Position
		fields["load"], fields["load_age_ms"] = fl.last.Load, fl.last.ReportAge.Milliseconds()
		fields["view_revision"], fields["view_age_ms"] = fl.last.ViewRevision, fl.last.ViewAge.Milliseconds()
	}
	if r.Context().Err() != nil {
		fields["caller"] = "gone"
	}
	f.config.Log.WithFields(fields).Info("")
}
