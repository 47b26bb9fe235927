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
	errNoAnswer := errors.New("no answer")
	newProbed := func() *probeStates {
		r := newProbeStates()
		r.beginProbe("u1", time.Second, now)
		r.endProbe("u1", upstream.Load{Slots: 4, InProgress: 3}, now, nil)
		return r
	}
	t.Run("a report is used for three probe intervals", func(t *testing.T) {
		is, r := is.New(t), newProbed()
		share, ok := r.usedShare("u1", time.Second, now.Add(3*time.Second))
		is.True(ok)
		is.Equal(share, 0.75)
		_, ok = r.usedShare("u1", time.Second, now.Add(3*time.Second+1))
		is.True(!ok)
	})
	t.Run("failed probes without a failed exchange do not make an upstream dead", func(t *testing.T) {
		is, r := is.New(t), newProbed()
		for range 5 {
			r.endProbe("u1", upstream.Load{}, now, errNoAnswer)
		}
		is.True(!r.isDead("u1"))
	})
	t.Run("a failed exchange brings the next probe forward, and two failed probes make the upstream dead", func(t *testing.T) {
		is, r := is.New(t), newProbed()
		r.recordExchange("u1", false, now)
		is.True(!r.beginProbe("u1", time.Second, now))
		is.True(r.beginProbe("u1", time.Second, now.Add(suspectProbeDelay)))
		r.endProbe("u1", upstream.Load{}, now, errNoAnswer)
		is.True(!r.isDead("u1"))
		r.endProbe("u1", upstream.Load{}, now, errNoAnswer)
		is.True(r.isDead("u1"))
	})
	t.Run("an answer to a request or a probe makes the upstream live again", func(t *testing.T) {
		is := is.New(t)
		for _, revive := range []func(*probeStates){
			func(r *probeStates) { r.recordExchange("u1", true, now) },
			func(r *probeStates) { r.endProbe("u1", upstream.Load{Slots: 4}, now, nil) },
		} {
			r := newProbed()
			r.recordExchange("u1", false, now)
			r.endProbe("u1", upstream.Load{}, now, errNoAnswer)
			r.endProbe("u1", upstream.Load{}, now, errNoAnswer)
			is.True(r.isDead("u1"))
			revive(r)
			is.True(!r.isDead("u1"))
		}
	})
}
