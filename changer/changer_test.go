package changer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/storefake"
)

const rounds = 100

func newChanger(store eelgrassbeam.Store) *Changer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{Store: store, Clock: clockwork.NewRealClock(), Log: log})
}

func firstVersion(eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
	return eelgrassbeam.Configuration{Defaults: eelgrassbeam.Defaults{
		LookupTTL: eelgrassbeam.Seconds(5), LookupEntries: 3, BodyLimitBytes: 1024,
		ProgressTimeout: eelgrassbeam.Seconds(1), IdempotencyWindow: eelgrassbeam.Seconds(60),
		Services: []eelgrassbeam.Service{{
			Name: "booking", Hosts: []string{"booking"}, SlotsPerUpstream: 1, ConnectionsPerUpstream: 1,
			Routes: []eelgrassbeam.Route{{Method: "*", PathPrefix: "/", Rank: eelgrassbeam.RankStandard}},
		}},
	}}, nil
}

// drain adds two exceptions that belong together.
func drain(name string) func(eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
	return func(c eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
		exceptions := slices.Clone(c.Exceptions)
		for _, part := range []string{"a", "b"} {
			exceptions = append(exceptions, eelgrassbeam.Exception{
				ID: name + part, Setting: eelgrassbeam.SettingDrain, TargetKind: eelgrassbeam.TargetUpstream,
				Target: name, Value: "true", Reason: "test",
			})
		}
		return c.WithExceptions(exceptions), nil
	}
}

type racer struct {
	name string
	errs []error
}

// race lets two operators change at once, with answers lost at random, and returns what each was told.
func race(t *testing.T, store *storefake.Store, trustsErrors bool) []*racer {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	store.Set(func(s *storefake.Store) {
		s.Lose = func(operation string) bool { return operation != "list" && random.IntN(5) == 0 }
	})
	racers := []*racer{{name: "ana"}, {name: "bojan"}}
	for round := range rounds {
		var group sync.WaitGroup
		for _, r := range racers {
			group.Go(func() {
				changer := newChanger(store)
				changer.trustsErrors = trustsErrors
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				_, err := changer.Change(ctx, drain(fmt.Sprint(r.name, round)), r.name, "")
				r.errs = append(r.errs, err)
			})
		}
		group.Wait()
	}
	return racers
}

// lies counts the answers that the stored configuration belies.
func lies(stored eelgrassbeam.Configuration, racers []*racer) (halves, told int) {
	for _, r := range racers {
		for round, err := range r.errs {
			name := fmt.Sprint(r.name, round)
			count := 0
			for _, exception := range stored.Exceptions {
				if exception.Target == name {
					count++
				}
			}
			if count == 1 {
				halves++
			}
			if (err == nil) != (count == 2) {
				told++
			}
		}
	}
	return halves, told
}

func TestRacingOperators(t *testing.T) {
	for name, guarded := range map[string]bool{"guard on": true, "guard off lies": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := storefake.New()
			_, err := newChanger(store).Change(t.Context(), firstVersion, "setup", "")
			is.NoErr(err)
			racers := race(t, store, !guarded)
			store.Set(func(s *storefake.Store) { s.Lose = nil })
			stored, err := newChanger(store).Read(t.Context())
			is.NoErr(err)
			halves, told := lies(stored, racers)
			is.Equal(halves, 0)
			is.Equal(told == 0, guarded)
		})
	}
}

func TestConflict(t *testing.T) {
	is := is.New(t)
	store := storefake.New()
	_, err := newChanger(store).Change(t.Context(), firstVersion, "setup", "")
	is.NoErr(err)
	_, err = newChanger(store).Change(t.Context(), func(c eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
		_, err := newChanger(store).Change(t.Context(), drain("other"), "bojan", "")
		is.NoErr(err)
		return drain("mine")(c)
	}, "ana", "")
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Other.Author, "bojan")
	stored, err := newChanger(store).Read(t.Context())
	is.NoErr(err)
	is.Equal(len(stored.Exceptions), 2)
}

// TestOvertaken loses the answer of a change that others overtake before it is read back.
func TestOvertaken(t *testing.T) {
	for name, test := range map[string]struct {
		others int
		want   error
	}{"listed": {others: 3}, "beyond the list": {others: eelgrassbeam.MaxRecentChanges + 1, want: ErrOutcomeUnknown}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := storefake.New()
			_, err := newChanger(store).Change(t.Context(), firstVersion, "setup", "")
			is.NoErr(err)
			overtaker := &overtaker{Store: store, overtake: func() {
				for i := range test.others {
					_, err := newChanger(store).Change(t.Context(), drain(fmt.Sprint("other", i)), "bojan", "")
					is.NoErr(err)
				}
			}}
			_, err = newChanger(overtaker).Change(t.Context(), drain("mine"), "ana", "")
			is.True(errors.Is(err, test.want))
		})
	}
}

// overtaker loses the first update's answer and runs other changes before any further call.
type overtaker struct {
	*storefake.Store
	overtake func()
}

func (o *overtaker) Update(ctx context.Context, object eelgrassbeam.Object) (eelgrassbeam.Object, error) {
	stored, err := o.Store.Update(ctx, object)
	if o.overtake == nil {
		return stored, err
	}
	o.overtake()
	o.overtake = nil
	return eelgrassbeam.Object{}, eelgrassbeam.ErrUnavailable
}
