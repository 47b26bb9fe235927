// Package measurer simulates load in virtual time to measure the real admission, routing and shift decisions against
// simple baselines.
package measurer

import (
	"container/heap"
	"time"
)

// engine is a discrete-event scheduler. It implements eelgrassbeam.Clock with its virtual time.
type engine struct {
	now       time.Time
	events    eventHeap
	scheduled int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

func newEngine() *engine { return &engine{now: time.Unix(0, 0)} }

// Now implements eelgrassbeam.Clock.
func (e *engine) Now() time.Time { return e.now }

// After implements eelgrassbeam.Clock.
func (e *engine) After(d time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	e.after(d, func() { fired <- e.now })
	return fired
}

// after schedules a call of the function after the virtual duration.
func (e *engine) after(d time.Duration, run func()) {
	e.scheduled++
	heap.Push(&e.events, event{at: e.now.Add(d), sequence: e.scheduled, run: run})
}

// every calls the function immediately, and again after each interval until the run ends.
func (e *engine) every(interval time.Duration, run func()) {
	run()
	e.after(interval, func() { e.every(interval, run) })
}

// runFor runs all events that are due within the virtual duration, then sets the clock to its end.
func (e *engine) runFor(d time.Duration) {
	end := e.now.Add(d)
	for len(e.events) > 0 && !e.events[0].at.After(end) {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// eventHeap is a heap of events, sorted by time and, at the same time, by the order in which they were scheduled.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}
