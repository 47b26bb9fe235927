package test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

// disturbance is one fault or one piece of planned work.
type disturbance struct {
	at, lasts time.Duration
	kind      string
	// target picks an entry, a backend or a zone.
	target int
}

func (d disturbance) String() string {
	return fmt.Sprintf("%s +%s %s target %d", d.at.Round(time.Millisecond), d.lasts.Round(time.Millisecond), d.kind, d.target)
}

// act carries a disturbance out and returns once it is over.
type act func(s *soak, d disturbance) error

// acts are all kinds of disturbance.
var acts = map[string]act{
	"entry_kill":        entryAct(killEntry, false),
	"entry_stop":        entryAct(stopEntry, true),
	"entry_stop_killed": entryAct(killStopping, false),
	"entry_pause":       entryAct(pauseEntry, false),
	"entry_hup":         hupEntry,
	"all_kill":          killAll,
	"all_roll":          rollAll,
	"store_down":        storeAct(func(*disturbance) standin.PlatformFaults { return standin.PlatformFaults{Down: true} }),
	"store_slow": storeAct(func(*disturbance) standin.PlatformFaults {
		return standin.PlatformFaults{Slow: eelgrassbeam.Duration{Duration: 300 * time.Millisecond}}
	}),
	"store_silent": storeAct(func(*disturbance) standin.PlatformFaults { return standin.PlatformFaults{SilentWatch: true} }),
	"store_lose": storeAct(func(d *disturbance) standin.PlatformFaults {
		return standin.PlatformFaults{LoseAnswers: 3 + d.target%5}
	}),
	"store_forget":    forgetStore,
	"store_cut":       linkAct(toStore, cutLink),
	"store_freeze":    linkAct(toStore, freezeLink),
	"store_delay":     linkAct(toStore, toxicLink("latency", `{"latency":200,"jitter":100}`, "upstream", "downstream")),
	"front_cut":       linkAct(toFront, cutLink),
	"front_freeze":    linkAct(toFront, freezeFront),
	"front_delay":     linkAct(toFront, toxicLink("latency", `{"latency":100,"jitter":80}`, "upstream", "downstream")),
	"front_one_way":   linkAct(toFront, toxicLink("timeout", `{"timeout":0}`, "downstream")),
	"front_reset":     linkAct(toFront, toxicLink("reset_peer", `{"timeout":50}`, "downstream")),
	"backend_kill":    killBackend,
	"backend_leave":   leaveBackend,
	"backend_pause":   pauseBackend,
	"backend_cut":     linkAct(toBackend, cutLink),
	"backend_freeze":  linkAct(toBackend, freezeLink),
	"backend_delay":   linkAct(toBackend, toxicLink("latency", `{"latency":150,"jitter":100}`, "upstream", "downstream")),
	"backend_one_way": linkAct(toBackend, toxicLink("timeout", `{"timeout":0}`, "downstream")),
	"backend_deaf":    linkAct(toBackend, toxicLink("timeout", `{"timeout":0}`, "upstream")),
	"backend_reset":   linkAct(toBackend, toxicLink("reset_peer", `{"timeout":20}`, "downstream")),
	"backend_faults":  spoilBackend,
	"config_change":   changeConfiguration(1),
	"config_storm":    changeConfiguration(6),
	"zone_evacuate":   evacuateZone,
}

// plan draws a schedule that the seed alone decides.
func plan(seed uint64, length time.Duration) []disturbance {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := make([]string, 0, len(acts))
	for kind := range acts {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	var schedule []disturbance
	for range 4 + random.IntN(10) {
		schedule = append(schedule, disturbance{
			at:    time.Duration(random.Float64() * 0.8 * float64(length)),
			lasts: time.Duration((0.3 + 3*random.Float64()) * float64(time.Second)),
			kind:  kinds[random.IntN(len(kinds))], target: random.IntN(1000),
		})
	}
	if random.IntN(3) == 0 { // the worst moment to lose all processes is right after a change
		at := time.Duration(0.75 * float64(length))
		schedule = append(schedule, disturbance{at: at, kind: "config_change"},
			disturbance{at: at + 20*time.Millisecond, lasts: 500 * time.Millisecond, kind: "all_kill"})
	}
	slices.SortFunc(schedule, func(a, b disturbance) int { return int(a.at - b.at) })
	return schedule
}

// trouble tells when something was disturbed.
type trouble struct {
	// name is the only entry or backend that it concerns, empty for all.
	name     string
	planned  bool
	from, to time.Time
}

// troubles is safe for concurrent use.
type troubles struct {
	mu  sync.Mutex
	all []trouble
}

// begin notes a disturbance and returns what notes its end.
func (t *troubles) begin(name string, planned bool) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := len(t.all)
	t.all = append(t.all, trouble{name: name, planned: planned, from: time.Now()})
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.all[at].to = time.Now()
	}
}

// touched tells whether the entry or backend was disturbed between the times or shortly before; planned work counts if it is asked for.
func (t *troubles) touched(name string, from, to time.Time, planned bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = from.Add(-soakTouch)
	return slices.ContainsFunc(t.all, func(x trouble) bool {
		if x.planned && !planned || x.name != "" && x.name != name {
			return false
		}
		return x.from.Before(to) && (x.to.IsZero() || x.to.After(from))
	})
}

// entryAct runs one after the other what is done to one entry's process.
func entryAct(do func(e *soakEntry, d disturbance) error, planned bool) act {
	return func(s *soak, d disturbance) error {
		e := s.fleet.entries[d.target%len(s.fleet.entries)]
		defer s.turn(e.name)()
		defer s.troubles.begin(e.name, planned)()
		return do(e, d)
	}
}

func killEntry(e *soakEntry, d disturbance) error {
	e.kill()
	<-time.After(d.lasts)
	return e.start()
}

func stopEntry(e *soakEntry, d disturbance) error {
	begun := time.Now()
	if err := e.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-e.process.exited:
	case <-time.After(soakGrace):
		e.kill()
		return fmt.Errorf("%s does not end within its grace of %s", e.name, soakGrace)
	}
	if e.process.err != nil {
		return fmt.Errorf("%s ended after %s: %w", e.name, time.Since(begun), e.process.err)
	}
	<-time.After(d.lasts / 4)
	return e.start()
}

func killStopping(e *soakEntry, d disturbance) error {
	if err := errors.Join(e.signal(syscall.SIGTERM), e.signal(syscall.SIGHUP)); err != nil {
		return err
	}
	<-time.After(d.lasts / 2)
	return killEntry(e, d)
}

func pauseEntry(e *soakEntry, d disturbance) error {
	if err := e.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	<-time.After(d.lasts)
	return e.signal(syscall.SIGCONT)
}

func hupEntry(s *soak, d disturbance) error {
	err := s.fleet.entries[d.target%len(s.fleet.entries)].signal(syscall.SIGHUP)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

func killAll(s *soak, d disturbance) error {
	defer s.troubles.begin("", false)()
	var releases []func()
	for _, e := range s.fleet.entries {
		releases = append(releases, s.turn(e.name))
	}
	defer func() {
		for _, release := range releases {
			release()
		}
	}()
	var faults []error
	for _, e := range s.fleet.entries {
		e.kill()
	}
	<-time.After(d.lasts)
	for _, e := range s.fleet.entries {
		faults = append(faults, e.start())
	}
	return errors.Join(faults...)
}

func rollAll(s *soak, d disturbance) error {
	var faults []error
	for i := range s.fleet.entries {
		d.target = i
		faults = append(faults, entryAct(stopEntry, true)(s, d))
		if time.Since(s.began) > s.length {
			break
		}
	}
	return errors.Join(faults...)
}

func storeAct(faults func(d *disturbance) standin.PlatformFaults) act {
	return func(s *soak, d disturbance) error {
		defer s.turn("store")()
		defer s.troubles.begin("", false)()
		err := s.fleet.storeFaults(faults(&d))
		<-time.After(d.lasts)
		return errors.Join(err, s.fleet.storeFaults(standin.PlatformFaults{}))
	}
}

func forgetStore(s *soak, _ disturbance) error {
	defer s.troubles.begin("", false)()
	_, err := control("POST", "http://"+s.fleet.storeURL()+"/control/forget", nil)
	return err
}

// toStore, toFront and toBackend pick a link and what its loss disturbs.
func toStore(f *fleet, target int) (*link, string) {
	e := f.entries[target%len(f.entries)]
	return e.toStore, e.name
}

func toFront(f *fleet, target int) (*link, string) {
	e := f.entries[target%len(f.entries)]
	return e.front, e.name
}

func toBackend(f *fleet, target int) (*link, string) {
	return f.backends[target%len(f.backends)].link, ""
}

func linkAct(pick func(f *fleet, target int) (*link, string), do func(l *link, d disturbance) error) act {
	return func(s *soak, d disturbance) error {
		l, name := pick(s.fleet, d.target)
		defer s.turn(l.name)()
		defer s.troubles.begin(name, false)()
		return do(l, d)
	}
}

func cutLink(l *link, d disturbance) error {
	err := l.cut()
	<-time.After(d.lasts)
	return errors.Join(err, l.heal())
}

func freezeLink(l *link, _ disturbance) error { return l.freeze() }

// freezeFront lasts until callers have noticed and their idle connections are gone.
func freezeFront(l *link, _ disturbance) error {
	err := l.freeze()
	<-time.After(soakPatience + soakIdle)
	return err
}

func toxicLink(kind, attributes string, streams ...string) func(*link, disturbance) error {
	return func(l *link, d disturbance) error {
		end, err := l.disturb(kind, attributes, streams...)
		if err != nil {
			return err
		}
		<-time.After(d.lasts)
		return end()
	}
}

func (s *soak) backendOf(d disturbance) *soakBackend {
	return s.fleet.backends[d.target%len(s.fleet.backends)]
}

func killBackend(s *soak, d disturbance) error {
	b := s.backendOf(d)
	defer s.turn(b.name)()
	defer s.troubles.begin(b.name, false)()
	b.process.kill()
	<-time.After(d.lasts)
	return s.fleet.startBackend(b)
}

// leaveBackend is planned work: the backend reports that it leaves, serves on and ends, and another takes its address.
func leaveBackend(s *soak, d disturbance) error {
	b := s.backendOf(d)
	defer s.turn(b.name)()
	if err := b.process.signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-b.process.exited
	return s.fleet.startBackend(b)
}

func pauseBackend(s *soak, d disturbance) error {
	b := s.backendOf(d)
	defer s.turn(b.name)()
	defer s.troubles.begin(b.name, false)()
	err := b.process.signal(syscall.SIGSTOP)
	<-time.After(d.lasts)
	return errors.Join(err, b.process.signal(syscall.SIGCONT))
}

func spoilBackend(s *soak, d disturbance) error {
	b := s.backendOf(d)
	defer s.turn(b.name)()
	kinds := []string{`{"truncate":4}`, `{"cross":4}`, `{"errors":8}`, `{"run_then_close":4}`, `{"delay":"400ms"}`, `{"mislead_full":true}`}
	url := "http://" + b.process.address("address") + "/standin/faults"
	_, err := control("PUT", url, []byte(kinds[d.target%len(kinds)]))
	<-time.After(d.lasts)
	_, end := control("PUT", url, []byte("{}"))
	return errors.Join(err, end)
}

func changeConfiguration(changes int) act {
	return func(s *soak, _ disturbance) error {
		defer s.turn("configuration")()
		for range changes {
			if err := s.fleet.configure(s.fleet.latest().version + 3); err != nil {
				return err
			}
			<-time.After(50 * time.Millisecond)
		}
		return nil
	}
}

func evacuateZone(s *soak, d disturbance) error {
	zone := zoneOf(d.target)
	defer s.turn("evacuation")()
	err := s.fleet.put("evacuations", zone, map[string]any{})
	<-time.After(d.lasts)
	return errors.Join(err, s.fleet.remove("evacuations", zone))
}

// turn waits until nothing else is done to the named thing and returns what gives it free.
func (s *soak) turn(name string) func() {
	lock, _ := s.turns.LoadOrStore(name, &sync.Mutex{})
	held, _ := lock.(*sync.Mutex)
	held.Lock()
	return held.Unlock
}

func planText(schedule []disturbance) string {
	lines := make([]string, len(schedule))
	for i, d := range schedule {
		lines[i] = d.String()
	}
	return strings.Join(lines, "\n")
}
