package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// shiftedClock is the real clock, moved on by a test.
type shiftedClock struct{ shift atomic.Int64 }

func (c *shiftedClock) Now() time.Time { return time.Now().Add(time.Duration(c.shift.Load())) }

func (c *shiftedClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// openConn counts connections that are open at once.
type openConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *openConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

func TestIdleConnection(t *testing.T) {
	is := is.New(t)
	target, _ := serve(t, func(http.ResponseWriter, *http.Request) {})
	clock := &shiftedClock{}
	c := New(Config{Clock: clock, IdleTimeout: time.Minute})
	defer c.Close()
	dials := countDials(c)
	exchange := func(id string) {
		reply, err := c.Exchange(within(t), target, post(id, ""), testLimits)
		is.NoErr(err)
		assertOutcome(t, reply, eelgrassbeam.OutcomeAnswered, "")
	}
	exchange("r1")
	exchange("r2")
	is.Equal(*dials, 1)
	clock.shift.Store(int64(2 * time.Minute))
	reply, err := c.Exchange(t.Context(), target, post("r3", ""), testLimits)
	is.NoErr(err)
	assertOutcome(t, reply, eelgrassbeam.OutcomeAnswered, "")
	is.Equal(*dials, 2)
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	target, _ := serve(t, func(http.ResponseWriter, *http.Request) {})
	c := newClient(t)
	var open, most atomic.Int64
	dial := c.config.Dial
	c.config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		for now, seen := open.Add(1), most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
		}
		return &openConn{Conn: conn, open: &open}, nil
	}
	limits := testLimits
	limits.Connections = 3
	var group sync.WaitGroup
	for worker := range 12 {
		group.Go(func() {
			for i := range 20 {
				_, _ = c.Exchange(context.Background(), target, post(fmt.Sprintf("r%d-%d", worker, i), "x"), limits)
			}
		})
	}
	group.Wait()
	is.True(most.Load() <= 3)
	c.Close()
	waitFor(t, "close of idle connections", func() bool { return open.Load() == 0 })
}
