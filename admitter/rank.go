package admitter

import (
	"math"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// creditWindow bounds the floor credit that a rank accumulates while no slot is free.
	creditWindow = 2 * time.Second
	// shareWindow is the time constant of the moving average of the slot share that higher ranks hold.
	shareWindow = 500 * time.Millisecond
	// longServiceFactor is the multiple of the shortest mean service time of the higher ranks from which a rank's own
	// mean service time counts as long. A rank with long requests leaves slots free for the higher ranks.
	longServiceFactor = 2
	// minHigherBusy is the mean number of slots that higher ranks must hold before slots are reserved for them.
	minHigherBusy = 0.1
	// reserveDivisor bounds the reserve: at most 1/reserveDivisor of all slots.
	reserveDivisor = 2
	// reserveMargin is added to the standard deviation of the slots that higher ranks hold, in slots.
	reserveMargin = 0.5
)

// rankState is the queue of one rank with its use of slots.
type rankState struct {
	rank  eelgrassbeam.Rank
	floor float64
	queue *fairQueue
	// inProgress counts all requests in progress, byFloor those that the floor started ahead of a higher rank.
	inProgress, byFloor int
	// credit is the slot time, in slot seconds, that the floor entitles the rank to, less the slot time used by
	// requests that the floor started. It may be negative.
	credit float64
	// higherShare is the moving average of the share of slots that higher ranks hold, 0 to 1.
	higherShare float64
	serviceTime mean
}

// advance updates the credit and the slot share of higher ranks. A rank without waiting requests recovers negative
// credit but accumulates none.
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

// isEntitledToSlot reports whether the floor entitles the rank to the next free slot. If the floor is not a whole
// number of slots, the rank gets the last, partial one only while its credit is not negative.
func (r *rankState) isEntitledToSlot(slots float64) bool {
	target := r.floor * slots
	held := float64(r.inProgress)
	return r.queue.length > 0 && (held+1 <= target || held < target && r.credit >= 0)
}

// nextRank returns the rank whose request starts next, and whether the floor put it ahead of a higher rank. It
// returns nil if no request may start.
func (a *Admitter) nextRank() (next *rankState, byFloor bool) {
	slots, free := a.upstreams.slots(), a.upstreams.free()
	isHighest := true
	for _, rank := range a.ranks {
		if rank.queue.length == 0 {
			continue
		}
		if isHighest && free > a.reserve(rank, slots) {
			next = rank
		}
		isHighest = false
		if rank == next || a.disabled.floors || !rank.isEntitledToSlot(float64(slots)) {
			continue
		}
		if !byFloor || rank.credit > next.credit {
			next, byFloor = rank, true
		}
	}
	return next, byFloor
}

// reserve returns the number of free slots that the rank leaves to higher ranks. It is zero unless the rank's
// requests take much longer than theirs: short requests then need not wait for a long one to end. The reserve is
// the standard deviation of a Poisson-distributed number of busy slots, plus reserveMargin.
func (a *Admitter) reserve(rank *rankState, slots int) int {
	var shortest time.Duration
	for _, higher := range a.ranks[:rank.rank.Index()] {
		if mean := higher.serviceTime.value; mean > 0 && (shortest == 0 || mean < shortest) {
			shortest = mean
		}
	}
	if a.disabled.reserve || shortest == 0 || rank.serviceTime.value < longServiceFactor*shortest {
		return 0
	}
	busy := rank.higherShare * float64(slots)
	if busy < minHigherBusy {
		return 0
	}
	return min(int(math.Ceil(math.Sqrt(busy)+reserveMargin)), slots/reserveDivisor)
}
