package configwriter

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

// raceRounds is the number of concurrent changes by each operator.
const raceRounds = 100

func newConfigWriter(store eelgrassbeam.Store) *ConfigWriter {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{Store: store, Clock: clockwork.NewRealClock(), Log: log})
}

func initialConfiguration(eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
	return eelgrassbeam.Configuration{Defaults: eelgrassbeam.Defaults{
		LookupTTL: eelgrassbeam.Seconds(5), LookupEntries: 3, BodyLimitBytes: 1024,
		ProgressTimeout: eelgrassbeam.Seconds(1), IdempotencyWindow: eelgrassbeam.Seconds(60),
		Services: []eelgrassbeam.Service{{
			Name: "booking", Hosts: []string{"booking"}, SlotsPerUpstream: 1, ConnectionsPerUpstream: 1,
			Routes: []eelgrassbeam.Route{{Method: "*", PathPrefix: "/", Rank: eelgrassbeam.RankStandard}},
		}},
	}}, nil
}

// addDrains adds two exceptions that must be stored together.
func addDrains(name string) func(eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
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

type operator struct {
	name string
	errs []error
}

// raceOperators lets two operators change the configuration concurrently while answers of the store are lost at random.
// It returns the result of each change.
func raceOperators(t *testing.T, store *storefake.Store, trustsErrors bool) []*operator {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	store.WithLock(func(s *storefake.Store) {
		s.LoseResponse = func(operation string) bool { return operation != "list" && random.IntN(5) == 0 }
	})
	operators := []*operator{{name: "ana"}, {name: "bojan"}}
	for round := range raceRounds {
		var group sync.WaitGroup
		for _, op := range operators {
			group.Go(func() {
				configWriter := newConfigWriter(store)
				configWriter.trustsErrors = trustsErrors
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				_, err := configWriter.Change(ctx, addDrains(fmt.Sprint(op.name, round)), op.name, "")
				op.errs = append(op.errs, err)
			})
		}
		group.Wait()
	}
	return operators
}

// countMismatches compares the operators' results with the stored configuration. It returns the number of changes
// that are stored in part and of results that misreport whether the change is stored.
func countMismatches(stored eelgrassbeam.Configuration, operators []*operator) (partial, misreported int) {
	for _, op := range operators {
		for round, err := range op.errs {
			name := fmt.Sprint(op.name, round)
			count := 0
			for _, exception := range stored.Exceptions {
				if exception.Target == name {
					count++
				}
			}
			if count == 1 {
				partial++
			}
			if (err == nil) != (count == 2) {
				misreported++
			}
		}
	}
	return partial, misreported
}

func TestRacingOperators(t *testing.T) {
	for name, guarded := range map[string]bool{"unanswered writes are resolved": true, "trusting errors misreports changes": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := storefake.New()
			_, err := newConfigWriter(store).Change(t.Context(), initialConfiguration, "setup", "")
			is.NoErr(err)
			operators := raceOperators(t, store, !guarded)
			store.WithLock(func(s *storefake.Store) { s.LoseResponse = nil })
			stored, err := newConfigWriter(store).Read(t.Context())
			is.NoErr(err)
			partial, misreported := countMismatches(stored, operators)
			is.Equal(partial, 0)
			is.Equal(misreported == 0, guarded)
		})
	}
}

func TestConflict(t *testing.T) {
	is := is.New(t)
	store := storefake.New()
	_, err := newConfigWriter(store).Change(t.Context(), initialConfiguration, "setup", "")
	is.NoErr(err)
	_, err = newConfigWriter(store).Change(t.Context(), func(c eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
		_, err := newConfigWriter(store).Change(t.Context(), addDrains("other"), "bojan", "")
		is.NoErr(err)
		return addDrains("mine")(c)
	}, "ana", "")
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Change.Author, "bojan")
	stored, err := newConfigWriter(store).Read(t.Context())
	is.NoErr(err)
	is.Equal(len(stored.Exceptions), 2)
}

// TestLostAnswerThenOtherChanges loses the answer to a change and stores other changes before it is read back. The
// change is found among the recent changes at first; after too many others its outcome is unknown.
func TestLostAnswerThenOtherChanges(t *testing.T) {
	for name, test := range map[string]struct {
		others int
		want   error
	}{"listed": {others: 3}, "beyond the recent changes": {others: eelgrassbeam.MaxRecentChanges + 1, want: ErrOutcomeUnknown}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := storefake.New()
			_, err := newConfigWriter(store).Change(t.Context(), initialConfiguration, "setup", "")
			is.NoErr(err)
			lostAnswer := &lostAnswerStore{Store: store, changeByOthers: func() {
				for i := range test.others {
					_, err := newConfigWriter(store).Change(t.Context(), addDrains(fmt.Sprint("other", i)), "bojan", "")
					is.NoErr(err)
				}
			}}
			_, err = newConfigWriter(lostAnswer).Change(t.Context(), addDrains("mine"), "ana", "")
			is.True(errors.Is(err, test.want))
		})
	}
}

// lostAnswerStore loses the answer to the first update, after which other changes are stored.
type lostAnswerStore struct {
	*storefake.Store
	changeByOthers func()
}

func (o *lostAnswerStore) Update(ctx context.Context, object eelgrassbeam.Object) (eelgrassbeam.Object, error) {
	stored, err := o.Store.Update(ctx, object)
	if o.changeByOthers == nil {
		return stored, err
	}
	o.changeByOthers()
	o.changeByOthers = nil
	return eelgrassbeam.Object{}, eelgrassbeam.ErrUnavailable
}
