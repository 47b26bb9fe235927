package deduplicator

import (
	"context"
	"fmt"

	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const keyService = "eelgrassbeam.key"

// Receiver handles the calls of other entries to a home.
type Receiver interface {
	Do(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error)
	Recall(request eelgrassbeam.Request) RecallResponse
}

// Register adds the receiver's gRPC service to the server.
func Register(server grpc.ServiceRegistrar, receiver Receiver) {
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: keyService,
		HandlerType: (*Receiver)(nil),
		Methods: []grpc.MethodDesc{
			peer.UnaryMethod(keyService, "Do",
				func(r Receiver, ctx context.Context, request *eelgrassbeam.Request) (*eelgrassbeam.Reply, error) {
					return handleDo(ctx, r, request)
				}),
			peer.UnaryMethod(keyService, "Recall",
				func(r Receiver, _ context.Context, request *eelgrassbeam.Request) (*RecallResponse, error) {
					recalled := r.Recall(*request)
					return &recalled, nil
				}),
		},
	}, receiver)
}

func handleDo(ctx context.Context, r Receiver, request *eelgrassbeam.Request) (*eelgrassbeam.Reply, error) {
	if request.IdempotencyKey == "" || request.ID == "" || request.TimeLeft.Duration <= 0 {
		return nil, fmt.Errorf("%w: request %q: missing idempotency key, request ID or time left", eelgrassbeam.ErrInvalid, request.ID)
	}
	reply, err := r.Do(ctx, *request)
	return &reply, err
}

// PeerClient implements Remote over gRPC.
type PeerClient struct{ pool *peer.Pool }

// NewPeerClient returns a PeerClient that uses the connections of the pool.
func NewPeerClient(pool *peer.Pool) *PeerClient { return &PeerClient{pool: pool} }

// Do implements Remote.
func (p *PeerClient) Do(ctx context.Context, home eelgrassbeam.Entry, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
	conn, err := p.pool.Conn(home.PeerAddress)
	if err != nil {
		return eelgrassbeam.Reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, request.TimeLeft.Duration)
	defer cancel()
	reply, err := peer.Call[eelgrassbeam.Reply](ctx, conn, keyService, "Do", &request)
	if err != nil {
		return eelgrassbeam.Reply{}, fmt.Errorf("send request to key home %s: %w", home.ID, err)
	}
	return *reply, nil
}

// Recall implements Remote.
func (p *PeerClient) Recall(ctx context.Context, home eelgrassbeam.Entry, request eelgrassbeam.Request) (RecallResponse, error) {
	conn, err := p.pool.Conn(home.PeerAddress)
	if err != nil {
		return RecallResponse{}, err
	}
	recalled, err := peer.Call[RecallResponse](ctx, conn, keyService, "Recall", &request)
	if err != nil {
		return RecallResponse{}, fmt.Errorf("recall reply from previous key home %s: %w", home.ID, err)
	}
	return *recalled, nil
}
