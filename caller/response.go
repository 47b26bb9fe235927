package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

var errBadDeadline = errors.New("X-Deadline-Ms: want whole milliseconds from 1 to 600000")

// errorResponse is a response that does not come from an upstream. Its exported fields form the JSON body.
type errorResponse struct {
	RequestID eelgrassbeam.RequestID `json:"request_id,omitempty"`
	Outcome   eelgrassbeam.Outcome   `json:"outcome"`
	Reason    eelgrassbeam.Reason    `json:"reason"`
	// NotRun reports that the request was not run on an upstream; omitted from the JSON if false.
	NotRun  bool   `json:"not_run,omitempty"`
	Message string `json:"message,omitempty"`

	status     int
	retryAfter time.Duration
}

func reject(status int, id eelgrassbeam.RequestID, reason eelgrassbeam.Reason, message string) *errorResponse {
	return &errorResponse{
		RequestID: id, Outcome: eelgrassbeam.OutcomeNotRun, Reason: reason, NotRun: true, Message: message, status: status,
	}
}

func errorResponseOf(reply eelgrassbeam.Reply) errorResponse {
	return errorResponse{
		RequestID: reply.RequestID, Outcome: reply.Outcome, Reason: reply.Reason,
		NotRun: reply.Outcome == eelgrassbeam.OutcomeNotRun,
		status: statusOf(reply), retryAfter: reply.RetryAfter.Duration,
	}
}

func statusOf(reply eelgrassbeam.Reply) int {
	switch {
	case reply.Outcome == eelgrassbeam.OutcomeUnknown:
		return http.StatusBadGateway
	case reply.Reason == eelgrassbeam.ReasonDeadline:
		return http.StatusGatewayTimeout
	case reply.Reason == eelgrassbeam.ReasonQueueFull:
		return http.StatusTooManyRequests
	case reply.Reason == eelgrassbeam.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

func writeError(w http.ResponseWriter, response errorResponse) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if response.RequestID != "" {
		header.Set(HeaderRequestID, string(response.RequestID))
	}
	header.Set(HeaderOutcome, string(response.Outcome))
	header.Set(HeaderReason, string(response.Reason))
	if response.retryAfter > 0 {
		seconds := (response.retryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	body, err := json.Marshal(response)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(w, response.status, body)
}

func writeReply(w http.ResponseWriter, request eelgrassbeam.Request, reply eelgrassbeam.Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		if !isReservedResponseHeader(name) {
			header[name] = values
		}
	}
	header.Set(HeaderRequestID, string(request.ID))
	header.Set(HeaderOutcome, string(eelgrassbeam.OutcomeAnswered))
	if request.Method == http.MethodHead {
		w.WriteHeader(reply.Status)
		return
	}
	writeBody(w, reply.Status, reply.Body)
}

// writeBody sends the length first, so that the caller can tell a truncated body from a complete one. If the body
// cannot be written, it aborts the response.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && len(body) > 0 && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
}

// forwardableHeader returns a copy of the header without hop-by-hop fields and fields that this system sets itself.
func forwardableHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			forwarded.Del(textproto.TrimString(name))
		}
	}
	for _, name := range strippedRequestHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// strippedRequestHeaders lists the request header fields that are not forwarded to upstreams.
var strippedRequestHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", HeaderRequestID, HeaderDeadline, HeaderIdempotencyKey,
	HeaderOutcome, HeaderReason,
}

// isReservedResponseHeader reports whether the field of an upstream's response is not passed on, since this system or
// the HTTP server sets it.
func isReservedResponseHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case HeaderOutcome, HeaderReason, "Connection", "Transfer-Encoding", "Content-Length", "Trailer":
		return true
	default:
		return false
	}
}
