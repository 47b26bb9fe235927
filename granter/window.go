package granter

import "time"

// maxWindow bounds the events that a window remembers.
const maxWindow = 1 << 16

// window counts the events of the last interval, whichever moment it ends at.
type window struct {
	interval time.Duration
	times    []time.Time
	// head is the index of the oldest event that still counts.
	head int
}

// count returns the events after now less the interval.
func (w *window) count(now time.Time) int {
	for w.head < len(w.times) && now.Sub(w.times[w.head]) >= w.interval {
		w.head++
	}
	if w.head > 0 && 2*w.head >= len(w.times) {
		w.times = append(w.times[:0], w.times[w.head:]...)
		w.head = 0
	}
	return len(w.times) - w.head
}

// add counts an event; times must not fall.
func (w *window) add(now time.Time) { w.times = append(w.times, now) }
