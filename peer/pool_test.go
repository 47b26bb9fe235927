package peer

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

func TestPool(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	t.Run("closes an idle connection but not one in use", func(t *testing.T) {
		is := is.New(t)
		pool := NewPool(PoolConfig{})
		defer pool.Close()
		first, err := pool.Conn(address)
		is.NoErr(err)
		pool.conns[address].activeCalls.Add(1)
		for range 2 * maxIdleIntervals {
			pool.closeIdle()
		}
		same, err := pool.Conn(address)
		is.NoErr(err)
		is.Equal(first, same)
		pool.conns[address].activeCalls.Add(-1)
		for range 2 * maxIdleIntervals {
			pool.closeIdle()
		}
		is.Equal(len(pool.conns), 0)
	})
	t.Run("opens no connection after Close", func(t *testing.T) {
		is := is.New(t)
		pool := NewPool(PoolConfig{})
		pool.Close()
		_, err := pool.Conn(address)
		is.True(errors.Is(err, ErrClosed))
		is.Equal(len(pool.conns), 0)
	})
}
