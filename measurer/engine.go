// Package measurer runs the decisions under load in virtual time, next to baselines.
package measurer

import (
	"container/heap"
	"time"
)

// engine runs events in the order of their virtual times; it is an eelgrassbeam.Clock.
type engine struct {
	now    time.Time
	events eventHeap
	added  int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

func newEngine() *engine { return &engine{now: time.Unix(0, 0)} }

// Now implements eelgrassbeam.Clock.
func (e *engine) Now() time.Time { return e.now }

// After implements eelgrassbeam.Clock.
func (e *engine) After(d time.Duration) <-chan time.Time {
	woken := make(chan time.Time, 1)
	e.after(d, func() { woken <- e.now })
	return woken
}

// after runs the function once the virtual duration has passed.
func (e *engine) after(d time.Duration, run func()) {
	e.added++
	heap.Push(&e.events, event{at: e.now.Add(d), order: e.added, run: run})
}

// every runs the function now and at each interval, until the run ends.
func (e *engine) every(interval time.Duration, run func()) {
	run()
	e.after(interval, func() { e.every(interval, run) })
}

// runFor runs all events of the virtual duration.
func (e *engine) runFor(d time.Duration) {
	end := e.now.Add(d)
	for len(e.events) > 0 && !e.events[0].at.After(end) {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// eventHeap orders events by time, then by the order in which they were added.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
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
