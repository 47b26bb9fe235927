package eelgrassbeam

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Request is a caller's request as it is sent between entries.
type Request struct {
	ID             RequestID      `json:"id"`
	Service        ServiceName    `json:"service"`
	Rank           Rank           `json:"rank"`
	Team           TeamID         `json:"team,omitempty"`
	Idempotent     bool           `json:"idempotent,omitempty"`
	IdempotencyKey IdempotencyKey `json:"idempotency_key,omitempty"`
	// Attempt is the attempt number, counted from 1.
	Attempt int `json:"attempt"`
	// AttemptID identifies this attempt; receivers record it.
	AttemptID RequestID `json:"attempt_id,omitempty"`
	// Incarnation is the receiver's incarnation as known to the sender.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// TimeLeft is the time to the deadline when the request was sent.
	TimeLeft Duration `json:"time_left"`
	// Origin is the entry that received the request from the caller.
	Origin       EntryID  `json:"origin"`
	OriginRegion RegionID `json:"origin_region"`
	// Site is the site that the origin chose.
	Site Site `json:"site,omitzero"`
	// Grant is the ID of the shift grant in use, 0 for none.
	Grant  uint64      `json:"grant,omitempty"`
	Method string      `json:"method"`
	Host   string      `json:"host"`
	Target string      `json:"target"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// WithAttempt returns a copy with the attempt number and attempt ID.
func (r Request) WithAttempt(attempt int, id RequestID) Request {
	r.Attempt, r.AttemptID = attempt, id
	return r
}

// WithIncarnation returns a copy with the receiver's incarnation.
func (r Request) WithIncarnation(incarnation uint64) Request {
	r.Incarnation = incarnation
	return r
}

// WithSite returns a copy with the site and the ID of the shift grant, 0 for none.
func (r Request) WithSite(site Site, grant uint64) Request {
	r.Site, r.Grant = site, grant
	return r
}

// WithTimeLeft returns a copy with the time to the deadline.
func (r Request) WithTimeLeft(left Duration) Request {
	r.TimeLeft = left
	return r
}

// Size returns the size of target, header and body in bytes.
func (r Request) Size() int64 { return int64(len(r.Target)+len(r.Body)) + headerSize(r.Header) }

// Validate checks the fields that a receiver requires.
func (r Request) Validate() error {
	switch {
	case r.ID == "":
		return fmt.Errorf("%w: request has no id", ErrInvalid)
	case r.Service == "":
		return fmt.Errorf("%w: request %s has no service", ErrInvalid, r.ID)
	case r.Method == "":
		return fmt.Errorf("%w: request %s has no method", ErrInvalid, r.ID)
	case r.AttemptID == "":
		return fmt.Errorf("%w: request %s has no attempt id", ErrInvalid, r.ID)
	case r.Rank == "":
		return fmt.Errorf("%w: request %s has no rank", ErrInvalid, r.ID)
	case r.Origin == "" || r.OriginRegion == "":
		return fmt.Errorf("%w: request %s has no origin", ErrInvalid, r.ID)
	case r.Site.Service == "" || r.Site.Zone == "":
		return fmt.Errorf("%w: request %s has no site", ErrInvalid, r.ID)
	case r.Attempt < 1:
		return fmt.Errorf("%w: request %s has attempt %d: want 1 or more", ErrInvalid, r.ID, r.Attempt)
	default:
		return nil
	}
}

// Outcome states whether a request has been answered, was not run, or may have run.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered means that the reply holds the upstream's complete response.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no upstream has run the request or will run it.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// UnmarshalText decodes and validates the outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	return decodeEnum(o, "outcome", text, OutcomeAnswered, OutcomeNotRun, OutcomeUnknown)
}

// Reason is the machine-readable reason for a rejection or an unknown outcome.
type Reason string

// The reasons. ReasonKeyReused means that the idempotency key belongs to a different request, ReasonKeyUnknown that it
// is unknown whether a request with the key has run or what its reply was, and ReasonInProgress that a request with the
// key is still running, or that the same attempt was already received.
const (
	ReasonNoRoute         Reason = "no_route"
	ReasonBadRequest      Reason = "bad_request"
	ReasonTooLarge        Reason = "too_large"
	ReasonNotReady        Reason = "not_ready"
	ReasonStopping        Reason = "stopping"
	ReasonQueueFull       Reason = "queue_full"
	ReasonDeadline        Reason = "deadline"
	ReasonNoCapacity      Reason = "no_capacity"
	ReasonNoDispatcher    Reason = "no_dispatcher"
	ReasonCancelled       Reason = "cancelled"
	ReasonUpstreamFailed  Reason = "upstream_failed"
	ReasonUpstreamRefused Reason = "upstream_refused"
	ReasonPeerFailed      Reason = "peer_failed"
	ReasonKeyReused       Reason = "key_reused"
	ReasonKeyUnknown      Reason = "key_unknown"
	ReasonInProgress      Reason = "in_progress"
	ReasonRetryBudget     Reason = "retry_budget"
	ReasonNoBuffer        Reason = "no_buffer"
	// ReasonCredentialMissing, ReasonCredentialInvalid and ReasonCredentialUnknown mean that no team has sent the request.
	ReasonCredentialMissing Reason = "credential_missing"
	ReasonCredentialInvalid Reason = "credential_invalid"
	ReasonCredentialUnknown Reason = "credential_unknown"
	// ReasonQuota means that the request is beyond the quota of its team.
	ReasonQuota Reason = "quota"
)

// Reply is the result of a request at a receiver.
type Reply struct {
	RequestID RequestID `json:"request_id"`
	Outcome   Outcome   `json:"outcome"`
	// Reason is empty if the request was answered.
	Reason Reason `json:"reason,omitempty"`
	// RetryAfter is the suggested delay before a retry, zero if a retry is not useful.
	RetryAfter Duration    `json:"retry_after,omitzero"`
	Status     int         `json:"status,omitempty"`
	Header     http.Header `json:"header,omitempty"`
	Body       []byte      `json:"body,omitempty"`
	Upstream   UpstreamID  `json:"upstream,omitempty"`
	Dispatcher EntryID     `json:"dispatcher,omitempty"`
	// Load is the load reported with the reply: the site's load from its dispatcher, or the upstream's own load in
	// replies of upstream.Client.
	Load SiteLoad `json:"load,omitzero"`
	// Notice is set in replies of upstream.Client if the upstream responded.
	Notice *Notice `json:"-" cbor:"-"`
}

// Notice is what an upstream says of itself in a response, besides its load.
type Notice struct {
	// Limit is the number of requests per second that it takes from all entries together; zero for no limit.
	Limit float64
	// IsLeaving reports whether it accepts no new requests, since it is leaving.
	IsLeaving bool
	// RetryAfter is how long it wants no further requests from this entry, if it rejected the request; zero if it doesn't
	// say.
	RetryAfter time.Duration
}

// SiteLoad is the load of a site as counted by its dispatcher. Package upstream also uses it for the load that one
// upstream reports.
type SiteLoad struct {
	// Slots is the limit of requests in progress.
	Slots int `json:"slots"`
	// InProgress is the number of requests in progress.
	InProgress int `json:"in_progress"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// Pace is how long work takes on the upstream's machine at present, as a multiple of the usual time; zero if not
	// reported.
	Pace float64 `json:"pace,omitempty"`
	// RankWaiting is the number of queued requests of each rank, most urgent first.
	RankWaiting [RankCount]int `json:"rank_waiting"`
}

// RequestsAhead returns the number of requests in progress plus those queued at the given rank or a more urgent one.
func (l SiteLoad) RequestsAhead(rank Rank) int {
	ahead := l.InProgress
	for _, waiting := range l.RankWaiting[:rank.Index()+1] {
		ahead += waiting
	}
	return ahead
}

// NotRun returns a reply with OutcomeNotRun and the reason.
func NotRun(id RequestID, reason Reason) Reply {
	return Reply{RequestID: id, Outcome: OutcomeNotRun, Reason: reason}
}

// Unknown returns a reply with OutcomeUnknown and the reason.
func Unknown(id RequestID, reason Reason) Reply {
	return Reply{RequestID: id, Outcome: OutcomeUnknown, Reason: reason}
}

// WithRetryAfter returns a copy with the suggested delay before a retry.
func (r Reply) WithRetryAfter(after Duration) Reply {
	r.RetryAfter = after
	return r
}

// WithLoad returns a copy with the site's load.
func (r Reply) WithLoad(load SiteLoad) Reply {
	r.Load = load
	return r
}

// Size returns the size of header and body in bytes.
func (r Reply) Size() int64 { return int64(len(r.Body)) + headerSize(r.Header) }

func headerSize(header http.Header) int64 {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return int64(total)
}

// Validate checks that the reply belongs to the request and has a valid outcome and status.
func (r Reply) Validate(id RequestID) error {
	if r.RequestID != id {
		return fmt.Errorf("%w: reply is for request %q, not %q", ErrInvalid, r.RequestID, id)
	}
	if r.Outcome == "" {
		return fmt.Errorf("%w: reply %s has no outcome", ErrInvalid, id)
	}
	if r.Outcome == OutcomeAnswered && (r.Status < 200 || r.Status > 599) {
		return fmt.Errorf("%w: reply %s has status %d", ErrInvalid, id, r.Status)
	}
	return nil
}

// Forwarder forwards a request to an upstream and returns the reply. An error means that the outcome is unknown.
type Forwarder interface {
	Forward(ctx context.Context, request Request) (Reply, error)
}

// Cancellation is a receiver's answer to a cancel request.
type Cancellation string

// The answers to a cancel request.
const (
	// CancelNotStarted means that the request has not started and is now prevented from starting.
	CancelNotStarted Cancellation = "not_started"
	// CancelRunning means that the request has started, or that its state or reply is unknown.
	CancelRunning Cancellation = "running"
	// CancelDone means that the request has completed; its reply is included.
	CancelDone Cancellation = "done"
)

// UnmarshalText decodes and validates the answer.
func (c *Cancellation) UnmarshalText(text []byte) error {
	return decodeEnum(c, "cancellation", text, CancelNotStarted, CancelRunning, CancelDone)
}
