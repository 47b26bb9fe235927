package test

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

// entryAction returns an action on the process of one entry. Actions on the same entry run one after another.
func entryAction(do func(e *soakEntry, d disruption) error, planned bool) actionFunc {
	return func(s *soak, d disruption) error {
		e := s.fleet.entries[d.target%len(s.fleet.entries)]
		defer s.acquire(e.name)()
		defer s.disruptions.begin(e.name, planned)()
		return do(e, d)
	}
}

func killEntry(e *soakEntry, d disruption) error {
	e.kill()
	<-time.After(d.duration)
	return e.start()
}

func stopEntry(e *soakEntry, d disruption) error {
	started := time.Now()
	if err := e.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-e.process.exited:
	case <-time.After(soakStopGrace):
		e.kill()
		return fmt.Errorf("%s did not exit within its grace period of %s", e.name, soakStopGrace)
	}
	if e.process.err != nil {
		return fmt.Errorf("%s exited after %s: %w", e.name, time.Since(started), e.process.err)
	}
	<-time.After(d.duration / 4)
	return e.start()
}

// killWhileStopping kills an entry during its planned stop. The SIGHUP requests a reload while the entry is stopping.
func killWhileStopping(e *soakEntry, d disruption) error {
	if err := errors.Join(e.signal(syscall.SIGTERM), e.signal(syscall.SIGHUP)); err != nil {
		return err
	}
	<-time.After(d.duration / 2)
	return killEntry(e, d)
}

func pauseEntry(e *soakEntry, d disruption) error {
	if err := e.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	<-time.After(d.duration)
	return e.signal(syscall.SIGCONT)
}

func reloadEntry(s *soak, d disruption) error {
	err := s.fleet.entries[d.target%len(s.fleet.entries)].signal(syscall.SIGHUP)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

func killAll(s *soak, d disruption) error {
	defer s.disruptions.begin("", false)()
	var releases []func()
	for _, e := range s.fleet.entries {
		releases = append(releases, s.acquire(e.name))
	}
	defer func() {
		for _, release := range releases {
			release()
		}
	}()
	var errs []error
	for _, e := range s.fleet.entries {
		e.kill()
	}
	<-time.After(d.duration)
	for _, e := range s.fleet.entries {
		errs = append(errs, e.start())
	}
	return errors.Join(errs...)
}

func restartInTurn(s *soak, d disruption) error {
	var errs []error
	for i := range s.fleet.entries {
		d.target = i
		errs = append(errs, entryAction(stopEntry, true)(s, d))
		if time.Since(s.began) > s.length {
			break
		}
	}
	return errors.Join(errs...)
}

func storeAction(faults func(d *disruption) standin.PlatformFaults) actionFunc {
	return func(s *soak, d disruption) error {
		defer s.acquire("store")()
		defer s.disruptions.begin("", true)()
		err := s.fleet.storeFaults(faults(&d))
		<-time.After(d.duration)
		return errors.Join(err, s.fleet.storeFaults(standin.PlatformFaults{}))
	}
}

func dropStoreHistory(s *soak, _ disruption) error {
	defer s.disruptions.begin("", true)()
	_, err := doHTTP("POST", s.fleet.storeURL()+"/control/forget", nil)
	return err
}

// pickStoreLink, pickCallerLink and pickBackendLink return a link and the name of the entry that its loss disrupts; an
// empty name means all.
func pickStoreLink(f *soakFleet, target int) (*link, string) {
	e := f.entries[target%len(f.entries)]
	return e.storeLink, e.name
}

func pickCallerLink(f *soakFleet, target int) (*link, string) {
	e := f.entries[target%len(f.entries)]
	return e.callerLink, e.name
}

func pickBackendLink(f *soakFleet, target int) (*link, string) {
	return f.backends[target%len(f.backends)].link, ""
}

func linkAction(pick func(f *soakFleet, target int) (*link, string), do func(l *link, d disruption) error) actionFunc {
	return func(s *soak, d disruption) error {
		l, name := pick(s.fleet, d.target)
		defer s.acquire(l.name)()
		defer s.disruptions.begin(name, false)()
		return do(l, d)
	}
}

func cutLink(l *link, d disruption) error {
	err := l.cut()
	<-time.After(d.duration)
	return errors.Join(err, l.heal())
}

func cutBackend(s *soak, d disruption) error {
	return linkAction(pickBackendLink, func(l *link, d disruption) error {
		s.disruptions.recordClose(s.backendOf(d).name)
		return cutLink(l, d)
	})(s, d)
}

func freezeLink(l *link, _ disruption) error { return l.freeze() }

// freezeCallerLink lasts until callers have timed out on frozen connections and closed the idle ones.
func freezeCallerLink(l *link, _ disruption) error {
	err := l.freeze()
	<-time.After(soakClientTimeout + soakIdleTimeout)
	return err
}

func applyToxic(kind, attributes string, streams ...string) func(*link, disruption) error {
	return func(l *link, d disruption) error {
		end, err := l.addToxics(kind, attributes, streams...)
		if err != nil {
			return err
		}
		<-time.After(d.duration)
		return end()
	}
}

func (s *soak) backendOf(d disruption) *soakBackend {
	return s.fleet.backends[d.target%len(s.fleet.backends)]
}

func killBackend(s *soak, d disruption) error {
	b := s.backendOf(d)
	defer s.acquire(b.name)()
	defer s.disruptions.begin(b.name, false)()
	s.disruptions.recordClose(b.name)
	b.process.kill()
	<-time.After(d.duration)
	return s.fleet.startBackend(b)
}

// drainBackend stops a backend as planned: the backend reports that it is draining, keeps serving for a while and
// exits. Then another backend takes over its address. No disruption is recorded, because callers must not notice.
func drainBackend(s *soak, d disruption) error {
	b := s.backendOf(d)
	defer s.acquire(b.name)()
	if err := b.process.signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-b.process.exited
	s.disruptions.recordClose(b.name)
	return s.fleet.startBackend(b)
}

func pauseBackend(s *soak, d disruption) error {
	b := s.backendOf(d)
	defer s.acquire(b.name)()
	defer s.disruptions.begin(b.name, false)()
	err := b.process.signal(syscall.SIGSTOP)
	<-time.After(d.duration)
	return errors.Join(err, b.process.signal(syscall.SIGCONT))
}

// injectBackendFaults injects one of the faults into a backend.
func injectBackendFaults(faults ...string) actionFunc {
	return func(s *soak, d disruption) error {
		b := s.backendOf(d)
		defer s.acquire(b.name)()
		url := "http://" + b.process.address("address") + "/standin/faults"
		_, err := doHTTP("PUT", url, []byte(faults[d.target%len(faults)]))
		<-time.After(d.duration)
		_, end := doHTTP("PUT", url, []byte("{}"))
		return errors.Join(err, end)
	}
}

func changeConfiguration(changes int) actionFunc {
	return func(s *soak, _ disruption) error {
		defer s.acquire("configuration")()
		for range changes {
			if err := s.fleet.operator.configure(s.fleet.operator.latest().version + 3); err != nil { // versions need not be consecutive
				return err
			}
			<-time.After(50 * time.Millisecond)
		}
		return nil
	}
}

func evacuateZone(s *soak, d disruption) error {
	zone := zoneOf(d.target)
	defer s.acquire("evacuation")()
	if err := s.fleet.operator.evacuate(zone); err != nil {
		return err
	}
	<-time.After(d.duration)
	return s.fleet.operator.takeBack(zone)
}
