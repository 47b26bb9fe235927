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

// Hello asks a receiver for its incarnation, and answers with it.
type Hello struct {
	Incarnation uint64 `json:"incarnation"`
}

// CancelQuestion asks what became of an attempt.
type CancelQuestion struct {
	AttemptID   eelgrassbeam.RequestID `json:"attempt_id"`
	Incarnation uint64                 `json:"incarnation"`
	// Age is the time since the attempt was sent.
	Age eelgrassbeam.Duration `json:"age"`
}

// CancelAnswer tells what became of an attempt.
type CancelAnswer struct {
	State eelgrassbeam.Cancellation `json:"state"`
	Reply *eelgrassbeam.Reply       `json:"reply,omitempty"`
}

// Receiver is the side of a dispatcher that other entries call.
type Receiver interface {
	Forward(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error)
	Cancel(id eelgrassbeam.RequestID, incarnation uint64, age time.Duration) (eelgrassbeam.Cancellation, *eelgrassbeam.Reply)
	Incarnation() uint64
	// Loads returns the load of the sites that the entry dispatches for.
	Loads() eelgrassbeam.LoadReport
}

// LoadQuestion asks a dispatcher for its load.
type LoadQuestion struct{}

// Register lets other entries call the receiver.
func Register(server grpc.ServiceRegistrar, receiver Receiver) {
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: dispatchService,
		HandlerType: (*Receiver)(nil),
		Methods: []grpc.MethodDesc{
			peer.Unary(dispatchService, "Hello", func(r Receiver, _ context.Context, _ *Hello) (*Hello, error) {
				return &Hello{Incarnation: r.Incarnation()}, nil
			}),
			peer.Unary(dispatchService, "Forward",
				func(r Receiver, ctx context.Context, request *eelgrassbeam.Request) (*eelgrassbeam.Reply, error) {
					return handleForward(ctx, r, request)
				}),
			peer.Unary(dispatchService, "Loads",
				func(r Receiver, _ context.Context, _ *LoadQuestion) (*eelgrassbeam.LoadReport, error) {
					report := r.Loads()
					return &report, nil
				}),
			peer.Unary(dispatchService, "Cancel", func(r Receiver, _ context.Context, q *CancelQuestion) (*CancelAnswer, error) {
				state, reply := r.Cancel(q.AttemptID, q.Incarnation, q.Age.Duration)
				return &CancelAnswer{State: state, Reply: reply}, nil
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

// Peers is the Remote that calls other entries over gRPC.
type Peers struct {
	pool *peer.Pool

	mu sync.Mutex
	// incarnations are those last heard from each address.
	incarnations map[netip.AddrPort]uint64
}

// NewPeers returns a Remote over the pool.
func NewPeers(pool *peer.Pool) *Peers {
	return &Peers{pool: pool, incarnations: make(map[netip.AddrPort]uint64)}
}

// Greet implements Remote. A connection that is not ready is greeted again, so that a request to a peer that is gone
// fails before it is sent.
func (p *Peers) Greet(ctx context.Context, to eelgrassbeam.Entry) (uint64, error) {
	conn, err := p.pool.Conn(to.PeerAddress)
	if err != nil {
		return 0, err
	}
	if known, ok := p.known(to.PeerAddress); ok && conn.GetState() == connectivity.Ready {
		return known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	hello, err := peer.Call[Hello](ctx, conn, dispatchService, "Hello", &Hello{})
	if err != nil {
		return 0, fmt.Errorf("hello to %s: %w", to.ID, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnations[to.PeerAddress] = hello.Incarnation
	return hello.Incarnation, nil
}

// Forward implements Remote.
func (p *Peers) Forward(ctx context.Context, to eelgrassbeam.Entry, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
	conn, err := p.pool.Conn(to.PeerAddress)
	if err != nil {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonPeerFailed), nil
	}
	reply, err := peer.Call[eelgrassbeam.Reply](ctx, conn, dispatchService, "Forward", &request)
	if err != nil {
		return eelgrassbeam.Reply{}, fmt.Errorf("forward to %s: %w", to.ID, err)
	}
	if reply.Reason == eelgrassbeam.ReasonNoDispatcher {
		p.forget(to.PeerAddress, request.Incarnation)
	}
	return *reply, nil
}

// Cancel implements Remote.
func (p *Peers) Cancel(
	ctx context.Context, to eelgrassbeam.Entry, request eelgrassbeam.Request, age time.Duration,
) (eelgrassbeam.Cancellation, *eelgrassbeam.Reply, error) {
	conn, err := p.pool.Conn(to.PeerAddress)
	if err != nil {
		return "", nil, err
	}
	question := &CancelQuestion{
		AttemptID: request.AttemptID, Incarnation: request.Incarnation, Age: eelgrassbeam.Duration{Duration: max(age, 0)},
	}
	answer, err := peer.Call[CancelAnswer](ctx, conn, dispatchService, "Cancel", question)
	if err != nil {
		return "", nil, fmt.Errorf("cancel at %s: %w", to.ID, err)
	}
	return answer.State, answer.Reply, nil
}

// Loads asks the entry for the load of the sites that it dispatches for.
func (p *Peers) Loads(ctx context.Context, to eelgrassbeam.Entry) (eelgrassbeam.LoadReport, error) {
	conn, err := p.pool.Conn(to.PeerAddress)
	if err != nil {
		return eelgrassbeam.LoadReport{}, err
	}
	report, err := peer.Call[eelgrassbeam.LoadReport](ctx, conn, dispatchService, "Loads", &LoadQuestion{})
	if err != nil {
		return eelgrassbeam.LoadReport{}, fmt.Errorf("loads of %s: %w", to.ID, err)
	}
	return *report, nil
}

func (p *Peers) known(address netip.AddrPort) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	incarnation, ok := p.incarnations[address]
	return incarnation, ok
}

func (p *Peers) forget(address netip.AddrPort, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnations[address] == incarnation {
		delete(p.incarnations, address)
	}
}
