package loadgenerator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/caller"
)

// workHeader sets the service time of the request at a stand-in backend server.
const workHeader = "X-Standin-Work"

// Outcome is what a caller knows about the execution of its request.
type Outcome string

// The outcomes. Answered, NotRun and Unknown are reported by the entry; Lost is a transport failure; Crossed is the
// response to another request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	Lost     Outcome = "lost"
	Crossed  Outcome = "crossed"
)

// Result is the result of one request.
type Result struct {
	ID      eelgrassbeam.RequestID
	Kind    RequestKind
	Team    eelgrassbeam.TeamID
	Outcome Outcome
	Status  int
	Reason  string
	Latency time.Duration
	// Err is the transport error of a lost request, otherwise nil.
	Err error
}

func (g *LoadGenerator) send(ctx context.Context, address string, kind RequestKind, n int) Result {
	id := eelgrassbeam.RequestID(fmt.Sprintf("%s-%d", g.config.Prefix, n))
	result := Result{ID: id, Kind: kind, Team: teamOf(kind, n)}
	begin := g.config.Clock.Now()
	response, body, err := g.exchange(ctx, address, kind, result)
	result.Latency = g.config.Clock.Now().Sub(begin)
	if err != nil {
		result.Outcome, result.Err = Lost, err
		return result
	}
	result.Status = response.StatusCode
	result.Reason = response.Header.Get(caller.HeaderReason)
	result.Outcome = Outcome(response.Header.Get(caller.HeaderOutcome))
	if !isOwnResponse(result, response, body) {
		result.Outcome = Crossed
	}
	return result
}

func (g *LoadGenerator) exchange(ctx context.Context, address string, kind RequestKind, result Result) (*http.Response, string, error) {
	var body io.Reader
	if kind.Method == http.MethodPost {
		body = strings.NewReader(bodyOf(result.ID))
	}
	request, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+address+kind.Path+"?id="+string(result.ID), body)
	if err != nil {
		return nil, "", err
	}
	request.Host = kind.Host
	// Without GetBody, the transport cannot send the body again, so it does not retry a POST when a reused connection
	// fails.
	request.GetBody = nil
	request.Header.Set(caller.HeaderRequestID, string(result.ID))
	setUnlessEmpty(request.Header, caller.HeaderTeam, string(result.Team))
	if g.config.Deadline > 0 {
		request.Header.Set(caller.HeaderDeadline, strconv.FormatInt(g.config.Deadline.Milliseconds(), 10))
	}
	if kind.Work > 0 {
		request.Header.Set(workHeader, kind.Work.String())
	}
	if kind.Keyed {
		request.Header.Set(caller.HeaderIdempotencyKey, "key-"+string(result.ID))
	}
	response, err := g.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

func setUnlessEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func bodyOf(id eelgrassbeam.RequestID) string { return "body of " + string(id) }

// isOwnResponse reports whether the response has the request's id and, if the request was answered with status 200,
// echoes its body or ends with its id.
func isOwnResponse(result Result, response *http.Response, body string) bool {
	if response.Header.Get(caller.HeaderRequestID) != string(result.ID) {
		return false
	}
	if result.Outcome != Answered || result.Status != http.StatusOK {
		return true
	}
	if result.Kind.Method == http.MethodPost {
		return body == bodyOf(result.ID)
	}
	return strings.HasSuffix(strings.TrimSpace(body), "?id="+string(result.ID))
}

func teamOf(kind RequestKind, n int) eelgrassbeam.TeamID {
	if len(kind.Teams) == 0 {
		return ""
	}
	return kind.Teams[n%len(kind.Teams)]
}
