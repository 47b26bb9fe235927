package recorder

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	defaultWindow        = 30 * time.Second
	defaultCapacity      = 100_000
	defaultReplyBytes    = 8 << 20
	defaultCancelTimeout = time.Second
	sweepInterval        = 500 * time.Millisecond
	maxStep              = 2 * sweepInterval
)

// Config configures a Recorder.
type Config struct {
	Clock      eelgrassbeam.Clock
	Registerer prometheus.Registerer
	// Window is the greatest age of a request that a cancel may bar; keep it above the longest deadline.
	Window time.Duration
	// CancelTimeout is how long a cancel may take; its sender disregards later answers.
	CancelTimeout time.Duration
	// Capacity bounds the number of requests remembered; those of Window and CancelTimeout have to fit.
	Capacity int
	// ReplyBytes bounds the replies kept, in bytes.
	ReplyBytes int64
	// Incarnation names this run of the process; it never returns after a restart.
	Incarnation uint64
}

// Recorder keeps the state of each request for the window after it has ended.
// Its time stands still while the process is paused, so that a pause never
// expires a record that a message still in flight refers to.
type Recorder struct {
	config  Config
	metrics metrics
	// ignoreBars is for tests: requests start although they are barred.
	ignoreBars bool

	mu      sync.Mutex
	records map[eelgrassbeam.RequestID]*record
	settled []settlement // in order of time; may name records that were settled again
	kept    []settlement // done requests whose reply is kept, in order of time
	bytes   int64
	now     time.Duration
	swept   time.Time
}

// New returns an empty recorder.
func New(config Config) *Recorder {
	if config.Window <= 0 {
		config.Window = defaultWindow
	}
	if config.CancelTimeout <= 0 {
		config.CancelTimeout = defaultCancelTimeout
	}
	if config.Capacity <= 0 {
		config.Capacity = defaultCapacity
	}
	if config.ReplyBytes <= 0 {
		config.ReplyBytes = defaultReplyBytes
	}
	return &Recorder{
		config:  config,
		metrics: newMetrics(config.Registerer),
		records: make(map[eelgrassbeam.RequestID]*record),
		swept:   config.Clock.Now(),
	}
}

// Incarnation names this run of the process.
func (r *Recorder) Incarnation() uint64 { return r.config.Incarnation }

// Run expires records until the context ends. Without it none expires.
func (r *Recorder) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.config.Clock.After(sweepInterval):
			r.sweep()
		}
	}
}

// Receive takes one attempt at a request under an id of its own. An id that was started or barred is never taken again.
func (r *Recorder) Receive(id eelgrassbeam.RequestID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, ok := r.records[id]
	switch {
	case !ok:
		return r.add(id, StateReceived)
	case found.state == StateBarred:
		return ErrBarred
	default:
		return &DuplicateError{State: found.state, Reply: found.reply}
	}
}

// Start decides that the request runs; from here on a cancel no longer bars it.
func (r *Recorder) Start(id eelgrassbeam.RequestID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, ok := r.records[id]
	switch {
	case !ok:
		return ErrState
	case found.state == StateBarred && !r.ignoreBars:
		return ErrBarred
	case found.state != StateReceived && found.state != StateBarred:
		return ErrState
	default:
		found.state = StateStarted
		return nil
	}
}

// Finish records the reply to a request that was received and not barred. A
// request that ends as not run before it started is forgotten, so that a flood
// of refusals does not fill the record; a cancel then bars its id as an unseen one.
func (r *Recorder) Finish(id eelgrassbeam.RequestID, reply eelgrassbeam.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, ok := r.records[id]
	if !ok || found.state == StateBarred || found.state == StateDone {
		return
	}
	if found.state == StateReceived && reply.Outcome == eelgrassbeam.OutcomeNotRun {
		delete(r.records, id)
		return
	}
	found.state = StateDone
	r.settle(id, found)
	r.keep(id, found, reply)
}

// Cancel bars a request that has not started, also one not yet received, and
// tells the truth about any other. It answers running where nothing is known:
// for another incarnation, for a request sent longer ago than the window, and
// for a reply no longer kept.
func (r *Recorder) Cancel(
	id eelgrassbeam.RequestID, incarnation uint64, sentAge time.Duration,
) (eelgrassbeam.Cancellation, *eelgrassbeam.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer, reply := r.cancel(id, incarnation, sentAge)
	r.metrics.cancels.WithLabelValues(string(answer)).Inc()
	return answer, reply
}

func (r *Recorder) cancel(
	id eelgrassbeam.RequestID, incarnation uint64, sentAge time.Duration,
) (eelgrassbeam.Cancellation, *eelgrassbeam.Reply) {
	if incarnation != r.config.Incarnation || sentAge < 0 || sentAge > r.config.Window {
		return eelgrassbeam.CancelRunning, nil
	}
	found, ok := r.records[id]
	if !ok {
		return r.barUnseen(id), nil
	}
	switch found.state {
	case StateReceived, StateBarred:
		found.state = StateBarred
		r.settle(id, found)
		return eelgrassbeam.CancelNotStarted, nil
	case StateDone:
		if found.reply == nil {
			return eelgrassbeam.CancelRunning, nil
		}
		return eelgrassbeam.CancelDone, found.reply
	default:
		return eelgrassbeam.CancelRunning, nil
	}
}

func (r *Recorder) barUnseen(id eelgrassbeam.RequestID) eelgrassbeam.Cancellation {
	if err := r.add(id, StateBarred); err != nil {
		return eelgrassbeam.CancelRunning
	}
	r.settle(id, r.records[id])
	return eelgrassbeam.CancelNotStarted
}

func (r *Recorder) add(id eelgrassbeam.RequestID, state State) error {
	if len(r.records) >= r.config.Capacity {
		r.metrics.full.Inc()
		return ErrFull
	}
	r.records[id] = &record{state: state}
	r.metrics.records.Set(float64(len(r.records)))
	return nil
}
