package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

// Headers of a backend's requests and responses.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline holds the remaining time of the request in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderWork sets the service time of the request as a Go duration, such as 20ms.
	HeaderWork = "X-Standin-Work"
	// HeaderBackend holds the backend's id.
	HeaderBackend = "X-Standin-Id"
	// HeaderTeamSeen holds the team for which the request came, or credentialSeen if it came with a credential.
	HeaderTeamSeen = "X-Standin-Team"
	// HeaderShed marks the rejection of a request that was not executed.
	HeaderShed = "X-Eelgrassbeam-Shed"
	// HeaderLeaving marks a rejection because the backend is draining.
	HeaderLeaving = "X-Eelgrassbeam-Leaving"
)

const (
	// credentialSeen stands for the team of a request with a credential, which no upstream may see.
	credentialSeen = "(credential)"
	// maxWorkBodyBytes is the maximum size of a request body.
	maxWorkBodyBytes = 2 << 20
	// noDeadline is the remaining time of a request without a deadline.
	noDeadline time.Duration = -1
)

// response is the request id and the body of a response.
type response struct {
	id   string
	body []byte
}

// previousResponse holds the latest response, which the SwapResponses fault sends to another request.
type previousResponse struct {
	mu       sync.Mutex
	response response
}

// swap stores the response and returns the previous one.
func (p *previousResponse) swap(next response) response {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.response
	p.response = next
	return previous
}

func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	b.setCommonHeaders(w, r)
	if expected := r.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != string(b.config.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	faults := b.faults.current()
	if faults.Freeze {
		b.freeze(r)
	}
	if faults.Draining {
		w.Header().Set(HeaderLeaving, "true")
		b.shed(w, http.StatusServiceUnavailable, errDraining)
		return
	}
	if b.faults.consume(func(f *BackendFaults) *int { return &f.Errors }) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxWorkBodyBytes))
	if err != nil {
		b.shed(w, bodyErrorStatus(err), err)
		return
	}
	work, timeLeft, err := b.parseTimes(r)
	if err != nil {
		b.shed(w, http.StatusBadRequest, err)
		return
	}
	if err := b.run(r, work, timeLeft); err != nil {
		b.shed(w, rejectionStatus(err), err)
		return
	}
	b.respond(w, r, body)
}

// setCommonHeaders sets the headers that all responses carry.
func (b *Backend) setCommonHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set(HeaderBackend, string(b.config.ID))
	if team := r.Header.Get(platform.HeaderTeam); team != "" {
		w.Header().Set(HeaderTeamSeen, team)
	}
	if r.Header.Get(platform.HeaderCredential) != "" {
		w.Header().Set(HeaderTeamSeen, credentialSeen)
	}
	running, waiting := b.slots.load()
	w.Header().Set(platform.HeaderServerLoad, fmt.Sprintf("%d,%d,%d", running, waiting, b.config.Slots))
}

// run executes the request in a slot. It returns an error if the request was not executed.
func (b *Backend) run(r *http.Request, work, timeLeft time.Duration) error {
	if isFirstUse(r) {
		work += b.config.ConnectionCost
	}
	if err := b.slots.acquire(r.Context(), timeLeft); err != nil {
		return err
	}
	defer b.slots.release()
	if err := b.counters.recordExecution(r.Header.Get(HeaderRequestID), r.Header.Get(HeaderIdempotencyKey)); err != nil {
		return err
	}
	b.simulateWork(r.Context(), work)
	return nil
}

// simulateWork waits for the service time multiplied by serviceTimeFactor, or until the context ends.
func (b *Backend) simulateWork(ctx context.Context, work time.Duration) {
	if work <= 0 {
		return
	}
	select {
	case <-b.clock.After(time.Duration(float64(work) * b.serviceTimeFactor())):
	case <-ctx.Done():
	}
}

// serviceTimeFactor returns the multiplier of service times, which falls linearly from ColdFactor to 1 during the cold
// start.
func (b *Backend) serviceTimeFactor() float64 {
	age := b.clock.Now().Sub(b.startedAt)
	if age >= b.config.ColdStart {
		return 1
	}
	elapsed := float64(age) / float64(b.config.ColdStart)
	return 1 + (b.config.ColdFactor-1)*(1-elapsed)
}

// respond echoes the request and applies the faults that affect responses.
func (b *Backend) respond(w http.ResponseWriter, r *http.Request, body []byte) {
	if b.faults.consume(func(f *BackendFaults) *int { return &f.RunThenClose }) {
		panic(http.ErrAbortHandler)
	}
	if part := b.faults.current().Endless; part != "" {
		b.sendEndlessly(w, r, part)
		return
	}
	b.delayResponse(r.Context(), b.faults.current().Delay.Duration)
	if len(body) == 0 {
		body = fmt.Appendf(nil, "%s %s\n", r.Method, r.URL.RequestURI())
	}
	sent := response{id: r.Header.Get(HeaderRequestID), body: body}
	previous := b.previous.swap(sent)
	if b.faults.consume(func(f *BackendFaults) *int { return &f.SwapResponses }) {
		sent = swappedResponse(sent, previous)
	}
	w.Header().Set(HeaderRequestID, sent.id)
	w.Header().Set(platform.HeaderServerStamp, string(b.config.ID))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(sent.body)))
	if b.faults.consume(func(f *BackendFaults) *int { return &f.Truncate }) {
		b.truncate(w, sent.body)
	}
	// The error is ignored because the client notices the truncated response.
	_, _ = io.Copy(w, bytes.NewReader(sent.body))
}

// truncate sends half of the body that Content-Length promises and aborts the connection.
func (b *Backend) truncate(w http.ResponseWriter, body []byte) {
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (b *Backend) delayResponse(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-b.clock.After(delay):
	case <-ctx.Done():
	}
}

// swappedResponse returns the previous response, or an invented one if there is none with another request id.
func swappedResponse(own, previous response) response {
	if previous.id != "" && previous.id != own.id {
		return previous
	}
	return response{id: "crossed-" + own.id, body: []byte("crossed\n")}
}

// parseTimes returns the service time of the request and its remaining time, which is noDeadline if there is no
// deadline.
func (b *Backend) parseTimes(r *http.Request) (work, timeLeft time.Duration, err error) {
	work, timeLeft = b.sampleWork(), noDeadline
	if text := r.Header.Get(HeaderWork); text != "" {
		if work, err = time.ParseDuration(text); err != nil {
			return 0, 0, err
		}
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return 0, 0, err
		}
		timeLeft = time.Duration(ms) * time.Millisecond
	}
	return work, timeLeft, nil
}

// sampleWork returns a service time from a uniform distribution over 0.5 to 1.5 times the mean.
func (b *Backend) sampleWork() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(b.config.ServiceTime) * (0.5 + b.random.Float64()))
}

// shed rejects a request that was not executed.
func (b *Backend) shed(w http.ResponseWriter, status int, reason error) {
	b.counters.update(func(c *BackendCounts) { c.Shed++ })
	w.Header().Set(HeaderShed, "true")
	w.Header().Set(platform.HeaderNotExecuted, "1")
	http.Error(w, reason.Error(), status)
}

func rejectionStatus(err error) int {
	if errors.Is(err, errDeadline) {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func bodyErrorStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}
