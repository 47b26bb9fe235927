package httpserver

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// maxErrorBytes bounds the error in a log line, which may quote what the caller sent.
const maxErrorBytes = 256

// rejectionReason is the machine-readable reason for a rejection.
type rejectionReason string

const (
	reasonHeaderTooLarge rejectionReason = "header_too_large"
	reasonHeaderTimeout  rejectionReason = "header_timeout"
	reasonBadRequest     rejectionReason = "bad_request"
	reasonInvalidHeader  rejectionReason = "invalid_header"
	reasonBodyTooLarge   rejectionReason = "body_too_large"
	reasonBodyTimeout    rejectionReason = "body_timeout"
	reasonBadBody        rejectionReason = "bad_body"
	reasonNoBuffer       rejectionReason = "no_buffer"
)

// rejection is the server's own response to a request, which the handler does not get.
type rejection struct {
	status int
	reason rejectionReason
	// err is the cause, nil if there is none beside the reason.
	err error
	// request is nil if its header could not be read.
	request *http.Request
}

func newRejections(registerer prometheus.Registerer) *prometheus.CounterVec {
	rejections := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "eelgrassbeam_rejected_requests_total", Help: "Requests rejected while they were read, by status and reason.",
	}, []string{"status", "reason"})
	if registerer != nil {
		registerer.MustRegister(rejections)
	}
	return rejections
}

// recordRejection counts and logs a rejection that is sent to the caller.
func (c *connection) recordRejection(r *rejection) {
	c.server.rejections.WithLabelValues(strconv.Itoa(r.status), string(r.reason)).Inc()
	if c.server.config.Log == nil {
		return
	}
	fields := logrus.Fields{
		"event": "request_rejected", "status": r.status, "reason": r.reason,
		"bytes_read": c.position() - c.requestStart, "remote": c.conn.RemoteAddr().String(),
	}
	if r.err != nil {
		text := r.err.Error()
		fields["error"] = text[:min(len(text), maxErrorBytes)]
	}
	if r.request != nil {
		fields["request"] = r.request.Header.Get(c.server.config.RequestIDHeader)
	}
	c.server.config.Log.WithFields(fields).Info("")
}
