package standin

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// slots bounds the work in progress; work beyond it waits a bounded time in a bounded queue.
type slots struct {
	clock eelgrassbeam.Clock
	free  chan struct{}
	limit int
	wait  time.Duration

	// mu guards all below.
	mu            sync.Mutex
	waiting       int
	inProgress    int
	maxInProgress int
}

func newSlots(clock eelgrassbeam.Clock, n, queueLimit int, wait time.Duration) *slots {
	return &slots{clock: clock, free: make(chan struct{}, n), limit: queueLimit, wait: wait}
}

// acquire takes a slot and returns errFull or errDeadline if none is free in time; a negative left means no deadline.
func (s *slots) acquire(ctx context.Context, left time.Duration) error {
	if left == 0 {
		return errDeadline
	}
	select {
	case s.free <- struct{}{}:
		s.started()
		return nil
	default:
	}
	if !s.enqueue() {
		return errFull
	}
	defer s.dequeue()
	wait, late := s.wait, errFull
	if left > 0 && left < wait {
		wait, late = left, errDeadline
	}
	select {
	case s.free <- struct{}{}:
		s.started()
		return nil
	case <-s.clock.After(wait):
		return late
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (s *slots) release() {
	s.mu.Lock()
	s.inProgress--
	s.mu.Unlock()
	<-s.free
}

func (s *slots) started() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress++
	s.maxInProgress = max(s.maxInProgress, s.inProgress)
}

func (s *slots) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.limit {
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

// progress returns the work in progress now and the most there was at once.
func (s *slots) progress() (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inProgress, s.maxInProgress
}

// load returns the work in progress and the work that waits.
func (s *slots) load() (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inProgress, s.waiting
}
