package picker

import (
	"cmp"
	"hash/maphash"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	// retryInterval is the time between looks for slots that came free by time alone.
	retryInterval = 20 * time.Millisecond
	// homeCount is the number of upstreams that a key is homed on; see docs/design-platform.md.
	homeCount = 2
	// extraHomes is the number of homes that take extraRoom requests above their slots: a short queue where the object is
	// known beats a free slot where it isn't.
	extraHomes = 2
	extraRoom  = 6.0
	// extraRoomBehind is that room for requests of a route that is less urgent than another one of the service.
	extraRoomBehind = 1.0
	// strangerFactor is how much longer an upstream works on an object that it hasn't handled lately.
	strangerFactor = 5.0
	// coldFactor is how much longer a cold upstream works.
	coldFactor = 2.0
	// orderStep is the cost of each place further down among the homes, as a share of the work.
	orderStep = 0.6
	// loadWeight is the cost of a full upstream, as a share of the work, so that equal homes share the load.
	loadWeight = 0.3
	// zoneDistance and regionDistance are what a way costs: its delay there and back and its price by the byte.
	zoneDistance   = 30 * time.Millisecond
	regionDistance = 120 * time.Millisecond
	// minWork is the work of a route of which nothing is known yet.
	minWork = 100 * time.Millisecond
	// reportHalf is the time in which a report of load loses half of its weight.
	reportHalf = 400 * time.Millisecond
	// averageWeight is the weight of the newest value in a running mean.
	averageWeight = 0.1
	// memoryLife is how long an upstream is taken to know an object.
	memoryLife = 8 * time.Second
	// maxMemory bounds the objects remembered by upstream.
	maxMemory = 512
	// ejectFailures in a row take an upstream out of use, for ejectBase and twice as long each time up to ejectMax.
	ejectFailures = 2
	ejectBase     = 500 * time.Millisecond
	ejectMax      = 4 * time.Second
	// minServedRate is the least rate of answers a second from which a wait is estimated.
	minServedRate = 3.0
	// coldHomes is the number of entries that share the rate of a cold upstream.
	coldHomes = 2
	// coldHomeLife is how long the choice of those entries holds: short against the seconds after which a lost entry is noticed.
	coldHomeLife = 200 * time.Millisecond
	// maxOrders bounds the keys whose homes are remembered by service.
	maxOrders = 2048
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// state is what is known about one start of an upstream.
type state struct {
	upstream eelgrassbeam.Upstream
	// distance is what the way costs, as time; isEvacuated tells that the upstream's zone gets no new work. Both follow the view.
	distance    time.Duration
	isEvacuated bool
	inFlight    int
	// foreign is the number of other entries' requests at the latest report.
	foreign    float64
	reportedAt time.Time
	latency    time.Duration
	failures   int
	ejections  int
	ejectedTo  time.Time
	// coldTo is until when this entry takes the upstream for cold by its own findings.
	coldTo        time.Time
	coldAllowance float64
	coldAt        time.Time
	// isColdHome is whether this entry shares the upstream's cold rate, as found at coldHomeAt.
	isColdHome bool
	coldHomeAt time.Time
	memory     map[uint64]time.Time
}

func newState(upstream eelgrassbeam.Upstream) *state {
	return &state{upstream: upstream, memory: make(map[uint64]time.Time)}
}

func (u *state) slots() int { return max(u.upstream.Slots, 1) }

// load estimates the requests at the upstream: this entry's, which it knows, and the others', from the latest report. The report
// loses weight with its age, so that an entry which others crowd out tries again.
func (u *state) load(now time.Time) float64 {
	if u.foreign == 0 {
		return float64(u.inFlight)
	}
	return float64(u.inFlight) + u.foreign*decay(now.Sub(u.reportedAt), reportHalf)
}

// speed returns the upstream's usual time as a multiple of the service's.
func (u *state) speed(s *service) float64 {
	if u.latency == 0 || s.latency == 0 {
		return 1
	}
	return min(max(float64(u.latency)/float64(s.latency), 0.5), 6)
}

func (u *state) isEjected(now time.Time) bool { return now.Before(u.ejectedTo) }

func (u *state) isCold(now time.Time) bool {
	return now.Before(u.upstream.ColdUntil) || now.Before(u.coldTo)
}

// coldTokens returns how many requests the cold upstream may get from this entry now.
func (u *state) coldTokens(now time.Time, perSecond float64) float64 {
	if u.coldAt.IsZero() {
		u.coldAllowance = 1
	} else {
		u.coldAllowance = min(1, u.coldAllowance+now.Sub(u.coldAt).Seconds()*perSecond)
	}
	u.coldAt = now
	return u.coldAllowance
}

func (u *state) knows(object uint64, now time.Time) bool {
	at, ok := u.memory[object]
	return ok && now.Sub(at) < memoryLife
}

func (u *state) remember(object uint64, now time.Time) {
	if object == 0 {
		return
	}
	if len(u.memory) >= maxMemory {
		clear(u.memory)
	}
	u.memory[object] = now
}

// fail notes a failed exchange; several in a row take the upstream out of use.
func (u *state) fail(now time.Time, coldStart time.Duration) bool {
	u.failures++
	if u.failures < ejectFailures {
		return false
	}
	u.failures = 0
	u.ejectedTo = now.Add(min(ejectBase<<u.ejections, ejectMax))
	u.ejections = min(u.ejections+1, 4)
	u.coldTo = u.ejectedTo.Add(coldStart)
	return true
}

// succeed notes an answer and tells whether it is the first after an ejection.
func (u *state) succeed() bool {
	wasEjected := u.ejections > 0
	u.failures, u.ejections = 0, 0
	return wasEjected
}

var keySeed = maphash.MakeSeed()

// objectOf identifies the object that the job concerns, zero for none that upstreams remember.
func objectOf(job Job) uint64 {
	if job.Key == "" || !job.Route.Sticky {
		return 0
	}
	return max(maphash.String(keySeed, job.Route.Name+"\x00"+job.Key), 1)
}

// orderKey is what a key's homes depend on beside the upstreams.
type orderKey struct{ prefix, key string }

// order returns the service's upstreams in the order of the key's homes, by weighted rendezvous hashing: all entries with the same view
// agree, and a lost upstream moves only its own keys. A request without a key has an order of its own.
func (s *service) order(job Job) []*state {
	if job.Key == "" {
		return s.sorted(orderKey{job.Route.PathPrefix, string(job.Request)})
	}
	key := orderKey{job.Route.PathPrefix, job.Key}
	if found, ok := s.orders[key]; ok {
		return found
	}
	if len(s.orders) >= maxOrders {
		clear(s.orders)
	}
	s.orders[key] = s.sorted(key)
	return s.orders[key]
}

func (s *service) sorted(key orderKey) []*state {
	type scored struct {
		state *state
		score float64
	}
	found := make([]scored, len(s.upstreams))
	for i, u := range s.upstreams {
		found[i] = scored{state: u, score: homeScore(key, u)}
	}
	slices.SortFunc(found, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	order := make([]*state, len(found))
	for i := range found {
		order[i] = found[i].state
	}
	return order
}

// homeScore is higher the better the upstream fits as a home of the key, in proportion to its slots.
func homeScore(key orderKey, u *state) float64 {
	return assigner.Weigh(xxhash.Sum64String(key.prefix+"\x00"+key.key+"\x00"+string(u.upstream.ID)), float64(u.slots()))
}
