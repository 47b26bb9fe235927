package sender

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	dispatchService = "eelgrassbeam.dispatch"
	helloTimeout    = time.Second
)

// Hello is both the request for a receiver's incarnation and the response with it.
type Hello struct {
	Incarnation uint64 `json:"incarnation"`
}

// CancelRequest asks a receiver to cancel an attempt, or to report its outcome.
type CancelRequest struct {
	AttemptID   eelgrassbeam.RequestID `json:"attempt_id"`
	Incarnation uint64                 `json:"incarnation"`
	// Age is the time since the attempt was sent.
	Age eelgrassbeam.Duration `json:"age"`
}

// CancelResponse reports whether the attempt was cancelled, is running or is done.
type CancelResponse struct {
	State eelgrassbeam.Cancellation `json:"state"`
	Reply *eelgrassbeam.Reply       `json:"reply,omitempty"`
}

// Receiver handles the calls of other entries to a dispatcher.
type Receiver interface {
	Forward(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error)
	Cancel(id eelgrassbeam.RequestID, incarnation uint64, age time.Duration) (eelgrassbeam.Cancellation, *eelgrassbeam.Reply)
	Incarnation() uint64
	// Loads returns the load of the sites for which the entry dispatches.
	Loads() eelgrassbeam.LoadReport
}

// LoadRequest asks a dispatcher for the load of its sites.
type LoadRequest struct{}

// Register adds the receiver's gRPC service to the server.
func Register(server grpc.ServiceRegistrar, receiver Receiver) {
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: dispatchService,
		HandlerType: (*Receiver)(nil),
		Methods: []grpc.MethodDesc{
			peer.UnaryMethod(dispatchService, "Hello", func(r Receiver, _ context.Context, _ *Hello) (*Hello, error) {
				return &Hello{Incarnation: r.Incarnation()}, nil
			}),
			peer.UnaryMethod(dispatchService, "Forward",
				func(r Receiver, ctx context.Context, request *eelgrassbeam.Request) (*eelgrassbeam.Reply, error) {
					return handleForward(ctx, r, request)
				}),
			peer.UnaryMethod(dispatchService, "Loads",
				func(r Receiver, _ context.Context, _ *LoadRequest) (*eelgrassbeam.LoadReport, error) {
					report := r.Loads()
					return &report, nil
				}),
			peer.UnaryMethod(dispatchService, "Cancel", func(r Receiver, _ context.Context, request *CancelRequest) (*CancelResponse, error) {
				state, reply := r.Cancel(request.AttemptID, request.Incarnation, request.Age.Duration)
				return &CancelResponse{State: state, Reply: reply}, nil
			}),
		},
	}, receiver)
}

func handleForward(ctx context.Context, r Receiver, request *eelgrassbeam.Request) (*eelgrassbeam.Reply, error) {
	if err := request.Validate(); err != nil {
		return nil, err
	}
	reply, err := r.Forward(ctx, *request)
	return &reply, err
}

// PeerClient implements Remote over gRPC.
type PeerClient struct {
	pool *peer.Pool

	mu sync.Mutex
	// incarnations holds the last known incarnation of each address.
	incarnations map[netip.AddrPort]uint64
}

// NewPeerClient returns a PeerClient that uses the connections of the pool.
func NewPeerClient(pool *peer.Pool) *PeerClient {
	return &PeerClient{pool: pool, incarnations: make(map[netip.AddrPort]uint64)}
}

// Incarnation implements Remote. The cached incarnation is used only while the connection is ready; otherwise the peer
// is called again, so that a request to an unavailable peer fails before it is sent.
func (p *PeerClient) Incarnation(ctx context.Context, to eelgrassbeam.Entry) (uint64, error) {
	conn, err := p.pool.Conn(to.PeerAddress)
	if err != nil {
		return 0, err
	}
	if known, ok := p.knownIncarnation(to.PeerAddress); ok && conn.GetState() == connectivity.Ready {
		return known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	hello, err := peer.Call[Hello](ctx, conn, dispatchService, "Hello", &Hello{})
	if err != nil {
		return 0, fmt.Errorf("get incarnation of entry %s: %w", to.ID, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnations[to.PeerAddress] = hello.Incarnation
	return hello.Incarnation, nil
}

// Forward implements Remote.
func (p *PeerClient) Forward(ctx context.Context, to eelgrassbeam.Entry, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
	conn, err := p.pool.Conn(to.PeerAddress)
	if err != nil {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonPeerFailed), nil
	}
	reply, err := peer.Call[eelgrassbeam.Reply](ctx, conn, dispatchService, "Forward", &request)
	if err != nil {
		return eelgrassbeam.Reply{}, fmt.Errorf("forward request to entry %s: %w", to.ID, err)
	}
	if reply.Reason == eelgrassbeam.ReasonNoDispatcher {
		p.removeIncarnation(to.PeerAddress, request.Incarnation)
	}
	return *reply, nil
}

// Cancel implements Remote.
func (p *PeerClient) Cancel(
	ctx context.Context, to eelgrassbeam.Entry, request eelgrassbeam.Request, age time.Duration,
) (eelgrassbeam.Cancellation, *eelgrassbeam.Reply, error) {
	conn, err := p.pool.Conn(to.PeerAddress)
	if err != nil {
		return "", nil, err
	}
	cancel := &CancelRequest{
		AttemptID: request.AttemptID, Incarnation: request.Incarnation, Age: eelgrassbeam.Duration{Duration: max(age, 0)},
	}
	response, err := peer.Call[CancelResponse](ctx, conn, dispatchService, "Cancel", cancel)
	if err != nil {
		return "", nil, fmt.Errorf("cancel attempt at entry %s: %w", to.ID, err)
	}
	return response.State, response.Reply, nil
}

// Loads returns the load of the sites for which the given entry dispatches.
func (p *PeerClient) Loads(ctx context.Context, to eelgrassbeam.Entry) (eelgrassbeam.LoadReport, error) {
	conn, err := p.pool.Conn(to.PeerAddress)
	if err != nil {
		return eelgrassbeam.LoadReport{}, err
	}
	report, err := peer.Call[eelgrassbeam.LoadReport](ctx, conn, dispatchService, "Loads", &LoadRequest{})
	if err != nil {
		return eelgrassbeam.LoadReport{}, fmt.Errorf("get load report of entry %s: %w", to.ID, err)
	}
	return *report, nil
}

func (p *PeerClient) knownIncarnation(address netip.AddrPort) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	incarnation, ok := p.incarnations[address]
	return incarnation, ok
}

func (p *PeerClient) removeIncarnation(address netip.AddrPort, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnations[address] == incarnation {
		delete(p.incarnations, address)
	}
}
