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
	// longFactor is how much longer than those of a higher rank requests must take to leave it slots.
	longFactor = 2
	// leastBusy is the mean number of slots that higher ranks must hold to be left some.
	leastBusy = 0.1
	// reserveDivisor bounds the slots left to higher ranks as a part of all.
	reserveDivisor = 2
	// reserveMargin is added to the deviation of the slots that higher ranks hold, in slots.
	reserveMargin = 0.5
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
		if rank == next || a.guards.noFloors || !rank.isOwedSlot(float64(slots)) {
			continue
		}
		if !byFloor || rank.credit > next.credit {
			next, byFloor = rank, true
		}
	}
	return next, byFloor
}

// reserve returns the free slots that the rank leaves to higher ranks while its
// requests take much longer than theirs, so that these need not wait for the end
// of a long one. It is the deviation of a Poisson number of busy slots.
func (a *Admitter) reserve(rank *rankState, slots int) int {
	var shortest time.Duration
	for _, higher := range a.ranks[:rank.rank.Index()] {
		if mean := higher.service.value; mean > 0 && (shortest == 0 || mean < shortest) {
			shortest = mean
		}
	}
	if a.guards.noReserve || shortest == 0 || rank.service.value < longFactor*shortest {
		return 0
	}
	busy := rank.higherShare * float64(slots)
	if busy < leastBusy {
		return 0
	}
	return min(int(math.Ceil(math.Sqrt(busy)+reserveMargin)), slots/reserveDivisor)
}
