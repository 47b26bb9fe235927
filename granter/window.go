package granter

import "time"

// maxWindow bounds the events that a window remembers.
const maxWindow = 1 << 16

// occurrence is an event with its amount.
type occurrence struct {
	at     time.Time
	amount int64
}

// window counts the events of the last interval, whichever moment it ends at, and sums their amounts.
type window struct {
	interval time.Duration
	events   []occurrence
	// head is the index of the oldest event that still counts.
	head  int
	total int64
}

// count returns the events after now less the interval.
func (w *window) count(now time.Time) int {
	for w.head < len(w.events) && now.Sub(w.events[w.head].at) >= w.interval {
		w.total -= w.events[w.head].amount
		w.head++
	}
	if w.head > 0 && 2*w.head >= len(w.events) {
		w.events = append(w.events[:0], w.events[w.head:]...)
		w.head = 0
	}
	return len(w.events) - w.head
}

// sum returns the amount of the events that count returns.
func (w *window) sum(now time.Time) int64 {
	w.count(now)
	return w.total
}

// add counts an event; times must not fall.
func (w *window) add(now time.Time, amount int64) {
	w.events = append(w.events, occurrence{at: now, amount: amount})
	w.total += amount
}
