// Package caller serves callers' requests and lookups over HTTP.
package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// The headers of callers' requests and of the responses to them.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderTeam           = "X-Team"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "X-Eelgrassbeam-Outcome"
	HeaderReason         = "X-Eelgrassbeam-Reason"
)

// maxDeadline is the longest deadline that a caller may request.
const maxDeadline = 10 * time.Minute

// Sender runs a validated request and returns its outcome, with the upstream's response if there is one.
type Sender interface {
	Send(ctx context.Context, request eelgrassbeam.Request) eelgrassbeam.Reply
}

// Config configures a Handler.
type Config struct {
	Self          eelgrassbeam.Entry
	Clock         eelgrassbeam.Clock
	Log           logrus.FieldLogger
	Registerer    prometheus.Registerer
	Configuration eelgrassbeam.ConfigurationSource
	Sender        Sender
	// TimeLimit returns the maximum time to the deadline of a new request, zero if this entry is stopping and accepts none any
	// more. If it is nil, deadlines are not limited.
	TimeLimit func() time.Duration
}

// Handler is the http.Handler for callers' requests.
type Handler struct {
	config  Config
	metrics metrics
}

// New returns a Handler.
func New(config Config) *Handler {
	return &Handler{config: config, metrics: newMetrics(config.Registerer)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := h.config.Clock.Now()
	request, rejection := h.parse(w, r)
	if rejection != nil {
		h.metrics.count(request, eelgrassbeam.OutcomeNotRun)
		writeError(w, *rejection)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), request.TimeLeft.Duration)
	defer cancel()
	reply := h.config.Sender.Send(ctx, request)
	h.metrics.observe(request, reply, h.config.Clock.Now().Sub(start))
	h.logReply(request, reply)
	if reply.Outcome == eelgrassbeam.OutcomeAnswered {
		writeReply(w, request, reply)
		return
	}
	writeError(w, errorResponseOf(reply))
}

// parse validates the request. The rank and the idempotency come from the configuration only, not from the caller.
func (h *Handler) parse(w http.ResponseWriter, r *http.Request) (eelgrassbeam.Request, *errorResponse) {
	request := eelgrassbeam.Request{
		Attempt: 1, Origin: h.config.Self.ID, OriginRegion: h.config.Self.Region,
		Method: r.Method, Host: hostOf(r), Target: eelgrassbeam.OriginTarget(r),
	}
	if err := decodeHeaders(r.Header, &request); err != nil {
		return request, reject(http.StatusBadRequest, request.ID, eelgrassbeam.ReasonBadRequest, err.Error())
	}
	configuration, ok := h.config.Configuration.Configuration()
	if !ok {
		return request, reject(http.StatusServiceUnavailable, request.ID, eelgrassbeam.ReasonNotReady, "no configuration yet")
	}
	service, ok := configuration.Defaults.ServiceByHost(request.Host)
	if !ok {
		return request, reject(http.StatusNotFound, request.ID, eelgrassbeam.ReasonNoRoute, "no service has this host")
	}
	request.Service = service.Name
	route, ok := service.Route(r.Method, eelgrassbeam.TargetPath(request.Target))
	if !ok {
		return request, reject(http.StatusNotFound, request.ID, eelgrassbeam.ReasonNoRoute, "no route has this method and path")
	}
	if service.IsAmbiguous(r.Method, eelgrassbeam.TargetPath(request.Target)) {
		return request, reject(http.StatusBadRequest, request.ID, eelgrassbeam.ReasonBadRequest, "dot segments lead to another route")
	}
	request.Rank, request.Idempotent = route.Rank, route.Idempotent
	if request.TimeLeft.Duration == 0 {
		request.TimeLeft = service.Policy(route.Rank).Deadline
	}
	if rejection := readBody(w, r, configuration.Defaults.BodyLimitBytes, &request); rejection != nil {
		return request, rejection
	}
	return request, h.limitTime(&request)
}

// limitTime limits the request's deadline by TimeLimit, or rejects the request.
func (h *Handler) limitTime(request *eelgrassbeam.Request) *errorResponse {
	if h.config.TimeLimit == nil {
		return nil
	}
	limit := h.config.TimeLimit()
	if limit <= 0 {
		return reject(http.StatusServiceUnavailable, request.ID, eelgrassbeam.ReasonStopping, "this entry stops")
	}
	request.TimeLeft.Duration = min(request.TimeLeft.Duration, limit)
	return nil
}

func decodeHeaders(header http.Header, request *eelgrassbeam.Request) error {
	id := header.Get(HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	deadline, err := decodeDeadline(header.Get(HeaderDeadline))
	if err != nil {
		return err
	}
	request.TimeLeft = deadline
	request.Header = forwardableHeader(header)
	return errors.Join(
		request.ID.UnmarshalText([]byte(id)),
		request.Team.UnmarshalText([]byte(header.Get(HeaderTeam))),
		request.IdempotencyKey.UnmarshalText([]byte(header.Get(HeaderIdempotencyKey))),
	)
}

func decodeDeadline(text string) (eelgrassbeam.Duration, error) {
	if text == "" {
		return eelgrassbeam.Duration{}, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 1 || milliseconds > maxDeadline.Milliseconds() {
		return eelgrassbeam.Duration{}, errBadDeadline
	}
	return eelgrassbeam.Milliseconds(milliseconds), nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64, request *eelgrassbeam.Request) *errorResponse {
	if r.ContentLength > limit {
		return reject(http.StatusRequestEntityTooLarge, request.ID, eelgrassbeam.ReasonTooLarge, "body is over the limit")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return reject(http.StatusRequestEntityTooLarge, request.ID, eelgrassbeam.ReasonTooLarge, "body is over the limit")
	}
	if err != nil {
		return reject(http.StatusBadRequest, request.ID, eelgrassbeam.ReasonBadRequest, "body ended early")
	}
	request.Body = body
	return nil
}

func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}

func (h *Handler) logReply(request eelgrassbeam.Request, reply eelgrassbeam.Reply) {
	h.config.Log.WithFields(logrus.Fields{
		"event": "request", "request": request.ID, "service": request.Service, "rank": request.Rank,
		"team": request.Team, "outcome": reply.Outcome, "reason": reply.Reason, "status": reply.Status,
		"dispatcher": reply.Dispatcher, "upstream": reply.Upstream,
	}).Debug("")
}
