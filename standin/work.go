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

// Headers of a backend's requests and answers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline holds the time left in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderWork holds the work of this request, such as 20ms.
	HeaderWork = "X-Standin-Work"
	// HeaderBackend holds the backend's id.
	HeaderBackend = "X-Standin-Id"
	// HeaderShed marks a refusal of a request that has not run.
	HeaderShed = "X-Eelgrassbeam-Shed"
	// HeaderLeaving marks a refusal because the backend is leaving.
	HeaderLeaving = "X-Eelgrassbeam-Leaving"
)

const (
	// maxWorkBodyBytes bounds a request's body.
	maxWorkBodyBytes = 2 << 20
	// noDeadline stands for a request without a deadline.
	noDeadline time.Duration = -1
)

// answer is what a request is answered with.
type answer struct {
	id   string
	body []byte
}

// lastAnswer keeps the latest answer for the crossed ones.
type lastAnswer struct {
	mu     sync.Mutex
	answer answer
}

// swap keeps the answer and returns the one before it.
func (l *lastAnswer) swap(next answer) answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.answer
	l.answer = next
	return before
}

func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	b.mark(w, r)
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
		b.shed(w, http.StatusServiceUnavailable, errLeaving)
		return
	}
	if b.faults.take(func(f *BackendFaults) *int { return &f.Errors }) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxWorkBodyBytes))
	if err != nil {
		b.shed(w, bodyStatus(err), err)
		return
	}
	work, left, err := b.workArguments(r)
	if err != nil {
		b.shed(w, http.StatusBadRequest, err)
		return
	}
	if err := b.run(r, work, left); err != nil {
		b.shed(w, refusalStatus(err), err)
		return
	}
	b.answer(w, r, body)
}

// mark sets the headers that each answer carries.
func (b *Backend) mark(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set(HeaderBackend, string(b.config.ID))
	running, waiting := b.slots.load()
	w.Header().Set(platform.HeaderServerLoad, fmt.Sprintf("%d,%d,%d", running, waiting, b.config.Slots))
}

// run holds a slot for the work; an error says that the request has not run.
func (b *Backend) run(r *http.Request, work, left time.Duration) error {
	if isFirstUse(r) {
		work += b.config.ConnectionCost
	}
	if err := b.slots.acquire(r.Context(), left); err != nil {
		return err
	}
	defer b.slots.release()
	if err := b.ledger.run(r.Header.Get(HeaderRequestID), r.Header.Get(HeaderIdempotencyKey)); err != nil {
		return err
	}
	b.work(r.Context(), work)
	return nil
}

// work lasts as long as the work costs now, or until the client goes away.
func (b *Backend) work(ctx context.Context, work time.Duration) {
	if work <= 0 {
		return
	}
	select {
	case <-b.clock.After(time.Duration(float64(work) * b.costFactor())):
	case <-ctx.Done():
	}
}

// costFactor falls from the cold factor to 1 during the cold start.
func (b *Backend) costFactor() float64 {
	age := b.clock.Now().Sub(b.born)
	if age >= b.config.ColdStart {
		return 1
	}
	warm := float64(age) / float64(b.config.ColdStart)
	return 1 + (b.config.ColdFactor-1)*(1-warm)
}

// answer echoes the request, with the faults set for answers.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	if b.faults.take(func(f *BackendFaults) *int { return &f.RunThenClose }) {
		panic(http.ErrAbortHandler)
	}
	b.hold(r.Context(), b.faults.current().Delay.Duration)
	if len(body) == 0 {
		body = fmt.Appendf(nil, "%s %s\n", r.Method, r.URL.RequestURI())
	}
	own := answer{id: r.Header.Get(HeaderRequestID), body: body}
	before := b.last.swap(own)
	if b.faults.take(func(f *BackendFaults) *int { return &f.Cross }) {
		own = crossed(own, before)
	}
	w.Header().Set(HeaderRequestID, own.id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(own.body)))
	if b.faults.take(func(f *BackendFaults) *int { return &f.Truncate }) {
		b.truncate(w, own.body)
	}
	// The client sees a failed write as a cut answer.
	_, _ = io.Copy(w, bytes.NewReader(own.body))
}

// truncate sends half of the announced body and closes the connection.
func (b *Backend) truncate(w http.ResponseWriter, body []byte) {
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (b *Backend) hold(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-b.clock.After(delay):
	case <-ctx.Done():
	}
}

// crossed returns the answer before, or a made-up one if it is the same request's.
func crossed(own, before answer) answer {
	if before.id != "" && before.id != own.id {
		return before
	}
	return answer{id: "crossed-" + own.id, body: []byte("crossed\n")}
}

// workArguments returns the work and the time left, noDeadline without one.
func (b *Backend) workArguments(r *http.Request) (work, left time.Duration, err error) {
	work, left = b.drawWork(), noDeadline
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
		left = time.Duration(ms) * time.Millisecond
	}
	return work, left, nil
}

// drawWork draws a request's work evenly between half and one and a half of the mean.
func (b *Backend) drawWork() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(b.config.ServiceTime) * (0.5 + b.random.Float64()))
}

// shed answers that the request has not run.
func (b *Backend) shed(w http.ResponseWriter, status int, reason error) {
	b.ledger.update(func(c *BackendCounts) { c.Shed++ })
	w.Header().Set(HeaderShed, "true")
	w.Header().Set(platform.HeaderNotExecuted, "1")
	http.Error(w, reason.Error(), status)
}

func refusalStatus(err error) int {
	if errors.Is(err, errDeadline) {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}
