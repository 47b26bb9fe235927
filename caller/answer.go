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

// refusal is the body of an answer that no upstream gave.
type refusal struct {
	RequestID eelgrassbeam.RequestID `json:"request_id,omitempty"`
	Outcome   eelgrassbeam.Outcome   `json:"outcome"`
	Reason    eelgrassbeam.Reason    `json:"reason"`
	// NotRun is true or absent.
	NotRun  bool   `json:"not_run,omitempty"`
	Message string `json:"message,omitempty"`

	status     int
	retryAfter time.Duration
}

func refuse(status int, id eelgrassbeam.RequestID, reason eelgrassbeam.Reason, message string) *refusal {
	return &refusal{
		RequestID: id, Outcome: eelgrassbeam.OutcomeNotRun, Reason: reason, NotRun: true, Message: message, status: status,
	}
}

func refusalOf(reply eelgrassbeam.Reply) refusal {
	return refusal{
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

func writeFault(w http.ResponseWriter, fault refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if fault.RequestID != "" {
		header.Set(HeaderRequestID, string(fault.RequestID))
	}
	header.Set(HeaderOutcome, string(fault.Outcome))
	header.Set(HeaderReason, string(fault.Reason))
	if fault.retryAfter > 0 {
		seconds := (fault.retryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	body, err := json.Marshal(fault)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeWhole(w, fault.status, body)
}

func writeAnswer(w http.ResponseWriter, request eelgrassbeam.Request, reply eelgrassbeam.Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		if !isOwnHeader(name) {
			header[name] = values
		}
	}
	header.Set(HeaderRequestID, string(request.ID))
	header.Set(HeaderOutcome, string(eelgrassbeam.OutcomeAnswered))
	if request.Method == http.MethodHead {
		w.WriteHeader(reply.Status)
		return
	}
	writeWhole(w, reply.Status, reply.Body)
}

// writeWhole announces the length, so that a caller cannot take a part for the whole.
func writeWhole(w http.ResponseWriter, status int, body []byte) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && len(body) > 0 && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
}

// forwardedHeader returns the header without the fields that hold for one connection or that the system sets itself.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			forwarded.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", HeaderRequestID, HeaderDeadline, HeaderIdempotencyKey,
	HeaderOutcome, HeaderReason,
}

func isOwnHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case HeaderOutcome, HeaderReason, "Connection", "Transfer-Encoding", "Content-Length", "Trailer":
		return true
	default:
		return false
	}
}
