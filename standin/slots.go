package standin

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// slots limits the requests in progress. Further requests wait in a queue of limited length, for a limited time.
type slots struct {
	clock      eelgrassbeam.Clock
	semaphore  chan struct{}
	queueLimit int
	maxWait    time.Duration

	// mu guards the fields below.
	mu            sync.Mutex
	waiting       int
	inProgress    int
	maxInProgress int
}

func newSlots(clock eelgrassbeam.Clock, n, queueLimit int, wait time.Duration) *slots {
	return &slots{clock: clock, semaphore: make(chan struct{}, n), queueLimit: queueLimit, maxWait: wait}
}

// acquire takes a slot. It returns errFull if the queue is full or no slot becomes free within maxWait, errDeadline if
// timeLeft expires first, or the context's cause if the context ends. A negative timeLeft means no deadline.
func (s *slots) acquire(ctx context.Context, timeLeft time.Duration) error {
	if timeLeft == 0 {
		return errDeadline
	}
	select {
	case s.semaphore <- struct{}{}:
		s.recordStart()
		return nil
	default:
	}
	if !s.enqueue() {
		return errFull
	}
	defer s.dequeue()
	timeout, timeoutErr := s.maxWait, errFull
	if timeLeft > 0 && timeLeft < timeout {
		timeout, timeoutErr = timeLeft, errDeadline
	}
	select {
	case s.semaphore <- struct{}{}:
		s.recordStart()
		return nil
	case <-s.clock.After(timeout):
		return timeoutErr
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (s *slots) release() {
	s.mu.Lock()
	s.inProgress--
	s.mu.Unlock()
	<-s.semaphore
}

func (s *slots) recordStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress++
	s.maxInProgress = max(s.maxInProgress, s.inProgress)
}

func (s *slots) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.queueLimit {
		return false
	}
	s.waiting++
	return true
}

func (s *slots) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// usage returns the number of requests in progress and its highest value so far.
func (s *slots) usage() (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inProgress, s.maxInProgress
}

// load returns the numbers of requests in progress and waiting.
func (s *slots) load() (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inProgress, s.waiting
}
