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
	// maxClockStep limits how far one sweep advances the recorder's clock, so that a pause of the process expires
	// nothing.
	maxClockStep = 2 * sweepInterval
)

// Config configures a Recorder.
type Config struct {
	Clock      eelgrassbeam.Clock
	Registerer prometheus.Registerer
	// Window is the maximum age of a request that can be cancelled; it must exceed the longest request timeout.
	Window time.Duration
	// CancelTimeout is the maximum duration of a cancel call; the sender ignores later responses.
	CancelTimeout time.Duration
	// Capacity is the maximum number of records; it must cover the requests received within Window plus CancelTimeout.
	Capacity int
	// ReplyBytes is the maximum total size of kept replies, in bytes.
	ReplyBytes int64
	// Incarnation identifies this run of the process; it is never reused after a restart.
	Incarnation uint64
}

// Recorder keeps the state of each request until Window plus CancelTimeout after it has ended. Its clock does not
// advance while the process is paused, so that a pause cannot expire a record that an in-flight message refers to.
type Recorder struct {
	config  Config
	metrics metrics
	// skipBarCheck lets barred requests start; for tests only.
	skipBarCheck bool

	mu        sync.Mutex
	records   map[eelgrassbeam.RequestID]*record
	settled   []settledRecord // ordered by time; may contain records that were settled again since
	replies   []settledRecord // done requests whose reply is kept, ordered by time
	bytes     int64
	now       time.Duration
	lastSweep time.Time
}

// New returns an empty recorder. Zero limits and durations in config are replaced by defaults.
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
		config:    config,
		metrics:   newMetrics(config.Registerer),
		records:   make(map[eelgrassbeam.RequestID]*record),
		lastSweep: config.Clock.Now(),
	}
}

// Incarnation returns the configured incarnation of the process.
func (r *Recorder) Incarnation() uint64 { return r.config.Incarnation }

// Run expires records until the context ends. Records never expire while it is not running.
func (r *Recorder) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.config.Clock.After(sweepInterval):
			r.advance()
		}
	}
}

// Receive records an attempt under its attempt ID. It returns ErrBarred or a *DuplicateError if the ID is already
// recorded, and ErrFull if the recorder is at capacity.
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

// Start marks the request as started; from then on it can no longer be cancelled.
func (r *Recorder) Start(id eelgrassbeam.RequestID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, ok := r.records[id]
	switch {
	case !ok:
		return ErrNotStartable
	case found.state == StateBarred && !r.skipBarCheck:
		return ErrBarred
	case found.state != StateReceived && found.state != StateBarred:
		return ErrNotStartable
	default:
		found.state = StateStarted
		return nil
	}
}

// Finish records the reply to a request that was received and not barred. A request that ends as not run before it
// started is removed, so that a burst of rejections does not fill the recorder. A later cancel treats its ID as
// unknown.
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
	r.markSettled(id, found)
	r.storeReply(id, found, reply)
}

// Cancel bars a request that has not started, including one not yet received, and reports the state of any other. It
// returns CancelRunning if the outcome is unknown: for another incarnation, for a request sent longer ago than Window,
// for a reply that was evicted, and when the recorder is at capacity.
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
		return r.barUnknown(id), nil
	}
	switch found.state {
	case StateReceived, StateBarred:
		found.state = StateBarred
		r.markSettled(id, found)
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

func (r *Recorder) barUnknown(id eelgrassbeam.RequestID) eelgrassbeam.Cancellation {
	if err := r.add(id, StateBarred); err != nil {
		return eelgrassbeam.CancelRunning
	}
	r.markSettled(id, r.records[id])
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
