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

// offsetClock is the real clock plus an offset set by the test.
type offsetClock struct{ offset atomic.Int64 }

func (c *offsetClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

func (c *offsetClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// countingConn decrements the count of open connections when it is closed.
type countingConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countingConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

func TestIdleConnectionReuse(t *testing.T) {
	is := is.New(t)
	target, _ := serve(t, func(http.ResponseWriter, *http.Request) {})
	clock := &offsetClock{}
	c := New(Config{Clock: clock, IdleTimeout: time.Minute})
	defer c.Close()
	dials := countDials(c)
	exchange := func(id string) {
		reply, err := c.Exchange(testContext(t), target, newPost(id, ""), testLimits)
		is.NoErr(err)
		assertOutcome(t, reply, eelgrassbeam.OutcomeAnswered, "")
	}
	exchange("r1")
	exchange("r2")
	is.Equal(*dials, 1)
	clock.offset.Store(int64(2 * time.Minute))
	reply, err := c.Exchange(t.Context(), target, newPost("r3", ""), testLimits)
	is.NoErr(err)
	assertOutcome(t, reply, eelgrassbeam.OutcomeAnswered, "")
	is.Equal(*dials, 2)
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	target, _ := serve(t, func(http.ResponseWriter, *http.Request) {})
	c := newClient(t)
	var open, maxOpen atomic.Int64
	dial := c.config.Dial
	c.config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		for now, seen := open.Add(1), maxOpen.Load(); now > seen && !maxOpen.CompareAndSwap(seen, now); seen = maxOpen.Load() {
		}
		return &countingConn{Conn: conn, open: &open}, nil
	}
	limits := testLimits
	limits.Connections = 3
	var group sync.WaitGroup
	for worker := range 12 {
		group.Go(func() {
			for i := range 20 {
				_, _ = c.Exchange(context.Background(), target, newPost(fmt.Sprintf("r%d-%d", worker, i), "x"), limits)
			}
		})
	}
	group.Wait()
	is.True(maxOpen.Load() <= 3)
	c.Close()
	waitFor(t, "closing of idle connections", func() bool { return open.Load() == 0 })
}
