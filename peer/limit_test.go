package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// blob is a message of any size.
type blob struct{ Data []byte }

// Guards against a peer's message that exhausts the memory, also one that is small only while it is compressed.
func TestMaxMessageBytes(t *testing.T) {
	const limit = 64 << 10
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(ServerConfig{MaxMessageBytes: limit})
	echo := func(_ any, _ context.Context, b *blob) (*blob, error) { return b, nil }
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: "test", HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{UnaryMethod("test", "Echo", echo)},
	}, struct{}{})
	pool := NewPool(PoolConfig{Clock: clockwork.NewRealClock()})
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		pool.Close()
		server.Stop()
		_ = group.Wait()
	})
	conn, err := pool.Conn(netip.MustParseAddrPort(listener.Addr().String()))
	is.NoErr(err)
	for name, options := range map[string][]grpc.CallOption{"plain": nil, "compressed": {Compressed()}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Call[blob](t.Context(), conn, "test", "Echo", &blob{Data: make([]byte, limit/2)}, options...)
			is.NoErr(err)
			_, err = Call[blob](t.Context(), conn, "test", "Echo", &blob{Data: make([]byte, 2*limit)}, options...)
			is.Equal(status.Code(err), codes.ResourceExhausted)
		})
	}
}
