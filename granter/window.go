package granter

import "time"

// maxWindowEvents bounds the rates and link capacities, and with them the number of events in a window.
const maxWindowEvents = 1 << 16

// sample is an event with its amount.
type sample struct {
	at     time.Time
	amount int64
}

// window is a sliding window that counts the events of the last interval and adds up their amounts.
type window struct {
	interval time.Duration
	samples  []sample
	// head is the index of the oldest event within the interval.
	head  int
	total int64
}

// count drops the events older than the interval and returns the number of the others.
func (w *window) count(now time.Time) int {
	for w.head < len(w.samples) && now.Sub(w.samples[w.head].at) >= w.interval {
		w.total -= w.samples[w.head].amount
		w.head++
	}
	if w.head > 0 && 2*w.head >= len(w.samples) {
		w.samples = append(w.samples[:0], w.samples[w.head:]...)
		w.head = 0
	}
	return len(w.samples) - w.head
}

// sum returns the total amount of the events within the interval.
func (w *window) sum(now time.Time) int64 {
	w.count(now)
	return w.total
}

// add records an event; now must not be before that of the previous event.
func (w *window) add(now time.Time, amount int64) {
	w.samples = append(w.samples, sample{at: now, amount: amount})
	w.total += amount
}
