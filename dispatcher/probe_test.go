package dispatcher

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

func TestReports(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	silent := errors.New("no answer")
	fresh := func() *reports {
		r := newReports()
		r.take("u1", time.Second, now)
		r.put("u1", upstream.Load{Slots: 4, InProgress: 3}, now, nil)
		return r
	}
	t.Run("a report counts for three intervals", func(t *testing.T) {
		is, r := is.New(t), fresh()
		share, ok := r.share("u1", time.Second, now.Add(3*time.Second))
		is.True(ok)
		is.Equal(share, 0.75)
		_, ok = r.share("u1", time.Second, now.Add(3*time.Second+1))
		is.True(!ok)
	})
	t.Run("probes that fail alone take no upstream out of use", func(t *testing.T) {
		is, r := is.New(t), fresh()
		for range 5 {
			r.put("u1", upstream.Load{}, now, silent)
		}
		is.True(!r.isDead("u1"))
	})
	t.Run("a failed exchange brings the next probe forward, and two failed probes end it", func(t *testing.T) {
		is, r := is.New(t), fresh()
		r.exchanged("u1", false, now)
		is.True(!r.take("u1", time.Second, now))
		is.True(r.take("u1", time.Second, now.Add(suspectProbe)))
		r.put("u1", upstream.Load{}, now, silent)
		is.True(!r.isDead("u1"))
		r.put("u1", upstream.Load{}, now, silent)
		is.True(r.isDead("u1"))
	})
	t.Run("an answer of either kind ends all doubt", func(t *testing.T) {
		is := is.New(t)
		for _, revive := range []func(*reports){
			func(r *reports) { r.exchanged("u1", true, now) },
			func(r *reports) { r.put("u1", upstream.Load{Slots: 4}, now, nil) },
		} {
			r := fresh()
			r.exchanged("u1", false, now)
			r.put("u1", upstream.Load{}, now, silent)
			r.put("u1", upstream.Load{}, now, silent)
			is.True(r.isDead("u1"))
			revive(r)
			is.True(!r.isDead("u1"))
		}
	})
}
