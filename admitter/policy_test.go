package admitter

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func TestSetPolicy(t *testing.T) {
	waiting := func(t *testing.T, s *site, n int) (slots, refused *int) {
		t.Helper()
		slots, refused = new(int), new(int)
		for range n {
			s.Submit(request("a", eelgrassbeam.RankStandard), s.in(time.Hour), func(_ *Slot, err error) {
				if err == nil {
					*slots++
				}
				if errors.Is(err, ErrQueueFull) {
					*refused++
				}
			})
		}
		return slots, refused
	}
	t.Run("waiting requests stay queued", func(t *testing.T) {
		is, s := is.New(t), newSite(t, 1)
		slots, refused := waiting(t, s, 4)
		service := s.config.Service
		s.SetPolicy(service, nil)
		is.Equal(*slots, 1)
		is.Equal(*refused, 0)
		is.Equal(s.Load().Waiting, 3)
	})
	t.Run("teams keep their start interval", func(t *testing.T) {
		is, s := is.New(t), newSite(t, 1)
		waiting(t, s, 4)
		standard := s.ranks[eelgrassbeam.RankStandard.Index()]
		standard.queue.teams["a"].startInterval.observe(s.in(time.Second))
		before := standard.queue.teams["a"].startInterval
		s.SetPolicy(s.config.Service, nil)
		is.Equal(standard.queue.teams["a"].startInterval, before)
	})
	t.Run("a lower queue limit refuses the excess requests", func(t *testing.T) {
		is, s := is.New(t), newSite(t, 1)
		_, refused := waiting(t, s, 4)
		service := s.config.Service
		service.Ranks = []eelgrassbeam.RankPolicy{{Rank: eelgrassbeam.RankStandard, Deadline: eelgrassbeam.Seconds(1), QueueLimit: 1}}
		s.SetPolicy(service, nil)
		is.Equal(*refused, 2)
		is.Equal(s.Load().Waiting, 1)
	})
}

// Guards against a data race between a change of the policy and the record of a decision.
func TestPolicyChangesBesideDecisions(t *testing.T) {
	s := newSite(t, 1)
	service := s.config.Service
	var group errgroup.Group
	group.Go(func() error {
		for range 100 {
			s.SetPolicy(service, nil)
		}
		return nil
	})
	for range 100 {
		s.Submit(request("a", eelgrassbeam.RankUrgent), s.in(0), func(*Slot, error) {})
	}
	_ = group.Wait()
}
