package bufferlimiter

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const testBudget = 1 << 20

func newLimiter() *Limiter {
	return New(Config{Bytes: testBudget, Registerer: prometheus.NewRegistry()})
}

// fill reserves requests of 1 KiB until there is no room and returns the number of bytes reserved.
func fill(l *Limiter, isUrgent bool) int {
	total := 0
	for {
		if _, err := l.ReserveRequest(1<<10, isUrgent); err != nil {
			return total
		}
		total += 1 << 10
	}
}

func requireExhausted(t *testing.T, err error) {
	t.Helper()
	is.New(t).True(errors.Is(err, ErrExhausted))
}

func TestRequests(t *testing.T) {
	t.Run("urgent requests keep a share", func(t *testing.T) {
		is, l := is.New(t), newLimiter()
		const requests = testBudget * (1 - responseShare)
		is.Equal(fill(l, false), int(requests*lessUrgentShare))
		is.Equal(fill(l, true), int(requests*(1-lessUrgentShare)))
	})
	t.Run("released bytes can be reserved again", func(t *testing.T) {
		is, l := is.New(t), newLimiter()
		for range 10 {
			release, err := l.ReserveRequest(testBudget/4, false)
			is.NoErr(err)
			_, err = l.ReserveRequest(testBudget/2, true)
			requireExhausted(t, err)
			release()
		}
	})
}

func TestResponses(t *testing.T) {
	soon := func(t *testing.T) context.Context {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	t.Run("one service leaves room for another", func(t *testing.T) {
		is, l := is.New(t), newLimiter()
		_, err := l.ReserveResponse(t.Context(), "a", l.MaxResponseBytes())
		is.NoErr(err)
		_, err = l.ReserveResponse(soon(t), "a", 1)
		requireExhausted(t, err)
		_, err = l.ReserveResponse(t.Context(), "b", l.MaxResponseBytes())
		is.NoErr(err)
		_, err = l.ReserveResponse(soon(t), "c", 1)
		requireExhausted(t, err)
	})
	t.Run("a response waits for room", func(t *testing.T) {
		is, l := is.New(t), newLimiter()
		release, err := l.ReserveResponse(t.Context(), "a", l.MaxResponseBytes())
		is.NoErr(err)
		time.AfterFunc(10*time.Millisecond, release)
		_, err = l.ReserveResponse(t.Context(), "a", l.MaxResponseBytes())
		is.NoErr(err)
	})
	t.Run("responses leave the budget of requests alone", func(t *testing.T) {
		is, l := is.New(t), newLimiter()
		for _, service := range []eelgrassbeam.ServiceName{"a", "b"} {
			_, err := l.ReserveResponse(t.Context(), service, l.MaxResponseBytes())
			is.NoErr(err)
		}
		_, err := l.ReserveRequest(testBudget/4, true)
		is.NoErr(err)
	})
}
