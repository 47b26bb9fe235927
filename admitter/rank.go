package admitter

import (
	"math"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// creditWindow bounds the floor credit that a rank saves while no slot is free.
	creditWindow = 2 * time.Second
	// shareWindow is the time constant of the slot share of higher ranks.
	shareWindow = 500 * time.Millisecond
)

// rankState is the queue of one rank and what the rank has had of the slots.
type rankState struct {
	rank  eelgrassbeam.Rank
	floor float64
	queue *fairQueue
	// inProgress counts all running requests, byFloor those that were started ahead of a higher rank.
	inProgress, byFloor int
	// credit is slot time, in seconds, that the rank's floor has given it and that it has not used.
	credit float64
	// higherShare is the recent share of the slots that higher ranks hold.
	higherShare float64
	service     mean
}

func (r *rankState) advance(elapsed time.Duration, slots float64, higher int) {
	seconds := elapsed.Seconds()
	target := r.floor * slots
	if r.queue.length > 0 {
		r.credit += max(0, target-float64(r.inProgress-r.byFloor)) * seconds
	} else {
		r.credit = min(0, r.credit+target*seconds)
	}
	r.credit -= float64(r.byFloor) * seconds
	r.credit = min(r.credit, target*creditWindow.Seconds())
	if slots > 0 {
		decay := math.Exp(-seconds / shareWindow.Seconds())
		r.higherShare = r.higherShare*decay + min(1, float64(higher)/slots)*(1-decay)
	}
}

func (r *rankState) start(byFloor bool) {
	r.inProgress++
	if byFloor {
		r.byFloor++
	}
}

func (r *rankState) finish(byFloor bool) {
	r.inProgress--
	if byFloor {
		r.byFloor--
	}
}

// isOwedSlot tells whether the rank's floor gives it the next free slot.
func (r *rankState) isOwedSlot(slots float64) bool {
	target := r.floor * slots
	held := float64(r.inProgress)
	return r.queue.length > 0 && (held+1 <= target || held < target && r.credit >= 0)
}

// nextRank returns the rank whose request starts next, and whether its floor put it ahead of a higher rank.
func (a *Admitter) nextRank() (next *rankState, byFloor bool) {
	slots := float64(a.upstreams.slots())
	for _, rank := range a.ranks {
		if rank.queue.length == 0 {
			continue
		}
		if next == nil {
			next = rank
			continue
		}
		owed := !a.guards.noFloors && rank.isOwedSlot(slots)
		if owed && (!byFloor || rank.credit > next.credit) {
			next, byFloor = rank, true
		}
	}
	return next, byFloor
}
