package test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

// disruption is an injected fault or a planned operation.
type disruption struct {
	// at is the start, relative to that of the schedule.
	at, duration time.Duration
	kind         string
	// target selects an entry, a backend, a zone or a kind of fault, as an index modulo their number.
	target int
}

func (d disruption) String() string {
	return fmt.Sprintf("%s +%s %s target %d", d.at.Round(time.Millisecond), d.duration.Round(time.Millisecond), d.kind, d.target)
}

// actionFunc runs a disruption and returns once it has ended.
type actionFunc func(s *soak, d disruption) error

// actions maps each kind of disruption to its action. Adding or renaming a kind changes the schedule of each seed.
var actions = map[string]actionFunc{
	"entry_kill":        entryAction(killEntry, false),
	"entry_stop":        entryAction(stopEntry, true),
	"entry_stop_killed": entryAction(killWhileStopping, false),
	"entry_pause":       entryAction(pauseEntry, false),
	"entry_hup":         reloadEntry,
	"all_kill":          killAll,
	"all_roll":          restartInTurn,
	"store_down":        storeAction(func(*disruption) standin.PlatformFaults { return standin.PlatformFaults{Down: true} }),
	"store_slow": storeAction(func(*disruption) standin.PlatformFaults {
		return standin.PlatformFaults{Slow: eelgrassbeam.Duration{Duration: 300 * time.Millisecond}}
	}),
	"store_silent": storeAction(func(*disruption) standin.PlatformFaults { return standin.PlatformFaults{SilentWatch: true} }),
	"store_lose": storeAction(func(d *disruption) standin.PlatformFaults {
		return standin.PlatformFaults{DropWriteResponses: 3 + d.target%5}
	}),
	"store_forget":    dropStoreHistory,
	"store_cut":       linkAction(pickStoreLink, cutLink),
	"store_freeze":    linkAction(pickStoreLink, freezeLink),
	"store_delay":     linkAction(pickStoreLink, applyToxic("latency", `{"latency":200,"jitter":100}`, "upstream", "downstream")),
	"front_cut":       linkAction(pickCallerLink, cutLink),
	"front_freeze":    linkAction(pickCallerLink, freezeCallerLink),
	"front_delay":     linkAction(pickCallerLink, applyToxic("latency", `{"latency":100,"jitter":80}`, "upstream", "downstream")),
	"front_one_way":   linkAction(pickCallerLink, applyToxic("timeout", `{"timeout":0}`, "downstream")),
	"front_reset":     linkAction(pickCallerLink, applyToxic("reset_peer", `{"timeout":50}`, "downstream")),
	"backend_kill":    killBackend,
	"backend_leave":   drainBackend,
	"backend_pause":   pauseBackend,
	"backend_cut":     cutBackend,
	"backend_freeze":  linkAction(pickBackendLink, freezeLink),
	"backend_delay":   linkAction(pickBackendLink, applyToxic("latency", `{"latency":150,"jitter":100}`, "upstream", "downstream")),
	"backend_one_way": linkAction(pickBackendLink, applyToxic("timeout", `{"timeout":0}`, "downstream")),
	"backend_deaf":    linkAction(pickBackendLink, applyToxic("timeout", `{"timeout":0}`, "upstream")),
	"backend_reset":   linkAction(pickBackendLink, applyToxic("reset_peer", `{"timeout":20}`, "downstream")),
	"backend_faults":  injectBackendFaults(`{"truncate":4}`, `{"cross":4}`, `{"errors":8}`, `{"run_then_close":4}`, `{"delay":"400ms"}`, `{"mislead_full":true}`),
	"config_change":   changeConfiguration(1),
	"config_storm":    changeConfiguration(6),
	"zone_evacuate":   evacuateZone,
}

// lateActions are drawn after and apart from actions, so that the schedules of earlier seeds only gain disruptions.
var lateActions = map[string]actionFunc{
	"backend_endless": injectBackendFaults(`{"endless":"header"}`, `{"endless":"chunks"}`, `{"endless":"body"}`, `{"endless":"trickle"}`),
}

// actionOf returns the action of a kind of disruption.
func actionOf(kind string) actionFunc {
	if action, ok := actions[kind]; ok {
		return action
	}
	if kind == restoration {
		return restoreStore
	}
	return lateActions[kind]
}

// lateActionChance is the share of schedules that draw a late action.
const lateActionChance = 0.4

// newSchedule returns a random schedule that depends only on the case.
func newSchedule(c soakCase) []disruption {
	schedule := drawFaults(c.seed, c.length)
	if c.restores {
		schedule = withRestoration(schedule, c)
	}
	slices.SortFunc(schedule, func(a, b disruption) int { return int(a.at - b.at) })
	return schedule
}

// drawFaults returns the disruptions other than restorations, in no order.
func drawFaults(seed uint64, length time.Duration) []disruption {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := make([]string, 0, len(actions))
	for kind := range actions {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	var schedule []disruption
	for range 4 + random.IntN(10) {
		schedule = append(schedule, disruption{
			at:       time.Duration(random.Float64() * 0.8 * float64(length)),
			duration: time.Duration((0.3 + 3*random.Float64()) * float64(time.Second)),
			kind:     kinds[random.IntN(len(kinds))], target: random.IntN(1000),
		})
	}
	if random.IntN(3) == 0 { // losing all entries at once is most harmful right after a configuration change
		at := time.Duration(0.75 * float64(length))
		schedule = append(schedule, disruption{at: at, kind: "config_change"},
			disruption{at: at + 20*time.Millisecond, duration: 500 * time.Millisecond, kind: "all_kill"})
	}
	late := rand.New(rand.NewPCG(seed, 1))
	for _, kind := range slices.Sorted(maps.Keys(lateActions)) {
		if late.Float64() < lateActionChance {
			schedule = append(schedule, disruption{
				at:       time.Duration(late.Float64() * 0.8 * float64(length)),
				duration: time.Duration((0.3 + 3*late.Float64()) * float64(time.Second)), kind: kind, target: late.IntN(1000),
			})
		}
	}
	return schedule
}

// disruptionPeriod is a time during which one entry or backend, or everything, was disrupted.
type disruptionPeriod struct {
	// name is the entry or backend that is disrupted, or empty for all.
	name string
	// planned is set if no request may go without a response: for planned operations, and for disturbances of the store.
	planned  bool
	from, to time.Time
}

// disruptions records the periods of all disruptions. It is safe for concurrent use.
type disruptions struct {
	mu  sync.Mutex
	all []disruptionPeriod
	// closes are the times at which connections of each backend were closed.
	closes map[string][]time.Time
}

// recordClose records that connections of the backend are closed now. Unlike a broken network, the proxy of a link and the
// kernel of a killed process close them in order, which also ends a response without a length.
func (ds *disruptions) recordClose(backend string) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.closes == nil {
		ds.closes = make(map[string][]time.Time)
	}
	ds.closes[backend] = append(ds.closes[backend], time.Now())
}

// closed reports whether connections of the backend were closed between from and to.
func (ds *disruptions) closed(backend string, from, to time.Time) bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return slices.ContainsFunc(ds.closes[backend], func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// begin records the start of a disruption and returns a function that records its end.
func (ds *disruptions) begin(name string, planned bool) func() {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	at := len(ds.all)
	ds.all = append(ds.all, disruptionPeriod{name: name, planned: planned, from: time.Now()})
	return func() {
		ds.mu.Lock()
		defer ds.mu.Unlock()
		ds.all[at].to = time.Now()
	}
}

// disrupted reports whether the entry or backend was disrupted between from and to or within soakSettle before. Planned
// disruptions and those of the store count only if includePlanned is set.
func (ds *disruptions) disrupted(name string, from, to time.Time, includePlanned bool) bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	from = from.Add(-soakSettle)
	return slices.ContainsFunc(ds.all, func(period disruptionPeriod) bool {
		if period.planned && !includePlanned || period.name != "" && period.name != name {
			return false
		}
		return period.from.Before(to) && (period.to.IsZero() || period.to.After(from))
	})
}

// acquire waits until no other disruption of the named target is running, and returns the function that releases it.
func (s *soak) acquire(name string) func() {
	lock, _ := s.locks.LoadOrStore(name, &sync.Mutex{})
	held, _ := lock.(*sync.Mutex)
	held.Lock()
	return held.Unlock
}

func formatSchedule(schedule []disruption) string {
	lines := make([]string, len(schedule))
	for i, d := range schedule {
		lines[i] = d.String()
	}
	return strings.Join(lines, "\n")
}
