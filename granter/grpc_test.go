package granter_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/dispatcher"
	"github.com/eelgrassbeam/eelgrassbeam/granter"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/recorder"
	"github.com/eelgrassbeam/eelgrassbeam/retrylimiter"
	"github.com/eelgrassbeam/eelgrassbeam/router"
	"github.com/eelgrassbeam/eelgrassbeam/sender"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

const (
	shiftCap     = 40
	incarnation  = 7
	awaitTimeout = 20 * time.Second
)

// shiftEnv is an origin in one region and a dispatcher with its upstream in another, connected by gRPC.
type shiftEnv struct {
	*granter.Granter
	clock         clockwork.Clock
	configuration eelgrassbeam.Configuration
	fleet         *eelgrassbeam.Fleet
	dispatcher    *dispatcher.Dispatcher
	sender        *sender.Sender
	asker         granter.Asker
	isPartitioned atomic.Bool
	sent          atomic.Int64

	mu sync.Mutex
	// accepted holds the times at which requests were accepted.
	accepted []time.Time
}

func (env *shiftEnv) Fleet() *eelgrassbeam.Fleet { return env.fleet }
func (env *shiftEnv) Configuration() (*eelgrassbeam.Configuration, bool) {
	return &env.configuration, true
}

func (env *shiftEnv) Owner(*eelgrassbeam.Fleet, eelgrassbeam.Site) (eelgrassbeam.Entry, bool) {
	return env.fleet.Entries[1], true
}

func (env *shiftEnv) MayDispatch(*eelgrassbeam.Fleet, eelgrassbeam.Site, time.Time) (time.Time, bool) {
	return time.Time{}, true
}

func (env *shiftEnv) SiteLoad(site eelgrassbeam.Site) (eelgrassbeam.SiteLoad, bool) {
	return env.dispatcher.SiteLoad(site)
}

func (env *shiftEnv) Ask(ctx context.Context, to eelgrassbeam.Entry, request granter.CreditRequest) (granter.CreditReply, error) {
	if env.isPartitioned.Load() {
		return granter.CreditReply{}, errors.New("cut")
	}
	return env.asker.Ask(ctx, to, request)
}

func (env *shiftEnv) Spend(request eelgrassbeam.Request, now time.Time) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	ok := env.Granter.Spend(request, now)
	if ok {
		env.accepted = append(env.accepted, now)
	}
	return ok
}

// newShiftEnv starts both ends. The origin's region has one drained upstream if drained is set, else none.
func newShiftEnv(t *testing.T, drained bool) *shiftEnv {
	t.Helper()
	is := is.New(t)
	env := &shiftEnv{clock: clockwork.NewRealClock()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	backend := standin.NewBackend(standin.BackendConfig{ID: "u1", Service: "booking", ServiceTime: 5 * time.Millisecond, Slots: 8, Clock: env.clock})
	server, listeners := backend.Server(), [2]net.Listener{}
	for i := range listeners {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners[i] = listener
	}
	env.setView(netip.MustParseAddrPort(listeners[0].Addr().String()), netip.MustParseAddrPort(listeners[1].Addr().String()), drained)
	origin, remote := env.fleet.Entries[0], env.fleet.Entries[1]
	env.Granter = granter.New(granter.Config{
		Self: remote, Incarnation: incarnation, Clock: env.clock, Fleet: env, Configuration: env, Assigner: env, Loads: env,
	})
	upstreams := upstream.New(upstream.Config{Clock: env.clock, Log: log})
	records := recorder.New(recorder.Config{Clock: env.clock, Incarnation: incarnation})
	env.dispatcher = dispatcher.New(dispatcher.Config{
		Self: remote, Incarnation: incarnation, Clock: env.clock, Log: log, Fleet: env, Configuration: env, Assigner: env,
		Grants: env, Recorder: records, Upstreams: upstreams,
	})
	peers := peer.NewServer(peer.ServerConfig{})
	peer.RegisterPing(peers)
	sender.Register(peers, env.dispatcher)
	granter.Register(peers, env.Granter)
	pool := peer.NewPool(peer.PoolConfig{Clock: env.clock, Log: log})
	env.asker = granter.NewPeerClient(pool)
	creditPool := granter.NewCreditPool(granter.CreditPoolConfig{Self: origin, Clock: env.clock, Log: log, Fleet: env, Owners: env, Asker: env})
	chooser := router.New(router.Config{Self: origin, Fleet: env, Configuration: env, Credits: creditPool, Random: rand.NewPCG(1, 0)})
	env.sender = sender.New(sender.Config{
		Self: origin, Clock: env.clock, Log: log, Fleet: env, Configuration: env, Budget: retrylimiter.New(retrylimiter.Config{}),
		Owners: env, Remote: sender.NewPeerClient(pool), Chooser: chooser,
	})
	for _, part := range []eelgrassbeam.Runner{env.Granter, upstreams, records, env.dispatcher, creditPool, pool} {
		group.Go(func() error { return part.Run(ctx) })
	}
	group.Go(func() error { return peers.Serve(listeners[1]) })
	group.Go(func() error {
		if err := server.Serve(listeners[0]); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	t.Cleanup(func() {
		cancel()
		pool.Close()
		peers.Stop()
		upstreams.Close()
		backend.Close()
		is.NoErr(server.Close())
		is.NoErr(group.Wait())
		goleak.VerifyNone(t)
	})
	return env
}

// setView sets the fleet and the configuration.
func (env *shiftEnv) setView(backend, remote netip.AddrPort, drained bool) {
	upstreamIn := func(id eelgrassbeam.UpstreamID, region eelgrassbeam.RegionID, address netip.AddrPort) eelgrassbeam.Upstream {
		return eelgrassbeam.Upstream{
			ID: id, Service: "booking", Address: address, Zone: eelgrassbeam.ZoneID(region), Region: region, State: eelgrassbeam.InstanceLive,
		}
	}
	env.fleet = &eelgrassbeam.Fleet{
		Revision: 1,
		Entries: []eelgrassbeam.Entry{
			{ID: "e0", Zone: "r0", Region: "r0", State: eelgrassbeam.InstanceLive},
			{ID: "e1", Zone: "r1", Region: "r1", State: eelgrassbeam.InstanceLive, PeerAddress: remote},
		},
		Upstreams: []eelgrassbeam.Upstream{upstreamIn("u1", "r1", backend)},
	}
	env.configuration.Defaults = eelgrassbeam.Defaults{
		ShiftCapPerSecond: shiftCap, RegionHeadroom: 0.1, LinkMegabitsPerSecond: 1000, BodyLimitBytes: 1 << 20,
		ProgressTimeout: eelgrassbeam.Seconds(2),
		Services:        []eelgrassbeam.Service{{Name: "booking", SlotsPerUpstream: 8, ConnectionsPerUpstream: 16}},
	}
	if drained {
		env.fleet.Upstreams = append(env.fleet.Upstreams, upstreamIn("u0", "r0", backend))
		env.configuration.Exceptions = []eelgrassbeam.Exception{{
			Setting: eelgrassbeam.SettingDrain, TargetKind: eelgrassbeam.TargetRegion, Target: "r0", Value: "true",
		}}
	}
}

func (env *shiftEnv) send() eelgrassbeam.Reply {
	return env.sender.Send(context.Background(), eelgrassbeam.Request{
		ID:      eelgrassbeam.RequestID("q" + strconv.FormatInt(env.sent.Add(1), 10)),
		Service: "booking", Rank: eelgrassbeam.RankUrgent, Idempotent: true, TimeLeft: eelgrassbeam.Seconds(5),
		Origin: "e0", OriginRegion: "r0", Method: http.MethodGet, Host: "booking.example", Target: "/tables",
	})
}

// await sends requests until one has the wanted outcome.
func (env *shiftEnv) await(t *testing.T, want eelgrassbeam.Outcome) eelgrassbeam.Reply {
	t.Helper()
	for begin := env.clock.Now(); env.clock.Now().Sub(begin) < awaitTimeout; {
		if reply := env.send(); reply.Outcome == want {
			return reply
		}
	}
	t.Fatalf("no request was %s within %s", want, awaitTimeout)
	return eelgrassbeam.Reply{}
}

// flood sends requests from several concurrent callers and returns how many were answered.
func (env *shiftEnv) flood(t *testing.T, requestsPerCaller int) int {
	t.Helper()
	var answered atomic.Int64
	var group errgroup.Group
	for range 16 {
		group.Go(func() error {
			for range requestsPerCaller {
				switch reply := env.send(); reply.Outcome {
				case eelgrassbeam.OutcomeAnswered:
					answered.Add(1)
				case eelgrassbeam.OutcomeNotRun:
				default:
					return errors.New(string(reply.Outcome) + ": " + string(reply.Reason))
				}
			}
			return nil
		})
	}
	is.New(t).NoErr(group.Wait())
	return int(answered.Load())
}

func (env *shiftEnv) checkCap(t *testing.T) {
	t.Helper()
	env.mu.Lock()
	defer env.mu.Unlock()
	slices.SortFunc(env.accepted, time.Time.Compare)
	most := 0
	for i, first := range env.accepted {
		count := 0
		for _, at := range env.accepted[i:] {
			if at.Sub(first) < granter.CapInterval {
				count++
			}
		}
		most = max(most, count)
	}
	t.Logf("%d requests shifted, at most %d in an interval", len(env.accepted), most)
	is.New(t).True(most > 0 && most <= shiftCap)
}

func TestShiftOverGRPC(t *testing.T) {
	for _, c := range []struct {
		name    string
		drained bool
	}{{"drained region", true}, {"region without upstreams", false}} {
		t.Run(c.name, func(t *testing.T) {
			is, env := is.New(t), newShiftEnv(t, c.drained)
			env.await(t, eelgrassbeam.OutcomeAnswered)
			is.True(env.flood(t, 12) > 0)
			env.checkCap(t)

			env.isPartitioned.Store(true)
			refused := env.await(t, eelgrassbeam.OutcomeNotRun)
			is.Equal(refused.Reason, eelgrassbeam.ReasonNoCapacity)
			env.await(t, eelgrassbeam.OutcomeNotRun)
			before := len(env.accepted)
			is.Equal(env.flood(t, 3), 0)
			is.Equal(len(env.accepted), before)

			env.isPartitioned.Store(false)
			env.await(t, eelgrassbeam.OutcomeAnswered)
			env.checkCap(t)
		})
	}
}
