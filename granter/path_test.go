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
	"github.com/eelgrassbeam/eelgrassbeam/retrier"
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

// shiftPath is an origin in one region and a dispatcher with its upstream in another, connected by gRPC.
type shiftPath struct {
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

func (p *shiftPath) Fleet() *eelgrassbeam.Fleet { return p.fleet }
func (p *shiftPath) Configuration() (*eelgrassbeam.Configuration, bool) {
	return &p.configuration, true
}

func (p *shiftPath) Owner(*eelgrassbeam.Fleet, eelgrassbeam.Site) (eelgrassbeam.Entry, bool) {
	return p.fleet.Entries[1], true
}

func (p *shiftPath) MayDispatch(*eelgrassbeam.Fleet, eelgrassbeam.Site, time.Time) (time.Time, bool) {
	return time.Time{}, true
}

func (p *shiftPath) SiteLoad(site eelgrassbeam.Site) (eelgrassbeam.SiteLoad, bool) {
	return p.dispatcher.SiteLoad(site)
}

func (p *shiftPath) Ask(ctx context.Context, to eelgrassbeam.Entry, question granter.Question) (granter.Answer, error) {
	if p.isPartitioned.Load() {
		return granter.Answer{}, errors.New("cut")
	}
	return p.asker.Ask(ctx, to, question)
}

func (p *shiftPath) Spend(request eelgrassbeam.Request, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok := p.Granter.Spend(request, now)
	if ok {
		p.accepted = append(p.accepted, now)
	}
	return ok
}

// newPath starts both ends. The origin's region has one drained upstream if drained is set, else none.
func newPath(t *testing.T, drained bool) *shiftPath {
	t.Helper()
	is := is.New(t)
	p := &shiftPath{clock: clockwork.NewRealClock()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	backend := standin.NewBackend(standin.BackendConfig{ID: "u1", Service: "booking", ServiceTime: 5 * time.Millisecond, Slots: 8, Clock: p.clock})
	servers, listeners := backend.Server(), [2]net.Listener{}
	for i := range listeners {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners[i] = listener
	}
	p.setView(netip.MustParseAddrPort(listeners[0].Addr().String()), netip.MustParseAddrPort(listeners[1].Addr().String()), drained)
	origin, remote := p.fleet.Entries[0], p.fleet.Entries[1]
	p.Granter = granter.New(granter.Config{
		Self: remote, Incarnation: incarnation, Clock: p.clock, Fleet: p, Configuration: p, Tenures: p, Loads: p,
	})
	upstreams := upstream.New(upstream.Config{Clock: p.clock, Log: log})
	records := recorder.New(recorder.Config{Clock: p.clock, Incarnation: incarnation})
	p.dispatcher = dispatcher.New(dispatcher.Config{
		Self: remote, Incarnation: incarnation, Clock: p.clock, Log: log, Fleet: p, Configuration: p, Assigner: p,
		Grants: p, Recorder: records, Upstreams: upstreams,
	})
	peers := peer.NewServer(nil)
	peer.RegisterPing(peers)
	sender.Register(peers, p.dispatcher)
	granter.Register(peers, p.Granter)
	pool := peer.NewPool(peer.PoolConfig{Clock: p.clock, Log: log})
	p.asker = granter.NewPeers(pool)
	wallet := granter.NewWallet(granter.WalletConfig{Self: origin, Clock: p.clock, Log: log, Fleet: p, Owners: p, Asker: p})
	chooser := router.New(router.Config{Self: origin, Fleet: p, Configuration: p, Credits: wallet, Random: rand.NewPCG(1, 0)})
	p.sender = sender.New(sender.Config{
		Self: origin, Clock: p.clock, Log: log, Fleet: p, Configuration: p, Budget: retrier.New(retrier.Config{}),
		Owners: p, Remote: sender.NewPeers(pool), Chooser: chooser,
	})
	for _, part := range []eelgrassbeam.Runner{p.Granter, upstreams, records, p.dispatcher, wallet, pool} {
		group.Go(func() error { return part.Run(ctx) })
	}
	group.Go(func() error { return peers.Serve(listeners[1]) })
	group.Go(func() error {
		if err := servers.Serve(listeners[0]); !errors.Is(err, http.ErrServerClosed) {
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
		is.NoErr(servers.Close())
		is.NoErr(group.Wait())
		goleak.VerifyNone(t)
	})
	return p
}

// setView sets the fleet and the configuration.
func (p *shiftPath) setView(backend, remote netip.AddrPort, drained bool) {
	upstreamIn := func(id eelgrassbeam.UpstreamID, region eelgrassbeam.RegionID, address netip.AddrPort) eelgrassbeam.Upstream {
		return eelgrassbeam.Upstream{
			ID: id, Service: "booking", Address: address, Zone: eelgrassbeam.ZoneID(region), Region: region, State: eelgrassbeam.InstanceLive,
		}
	}
	p.fleet = &eelgrassbeam.Fleet{
		Revision: 1,
		Entries: []eelgrassbeam.Entry{
			{ID: "e0", Zone: "r0", Region: "r0", State: eelgrassbeam.InstanceLive},
			{ID: "e1", Zone: "r1", Region: "r1", State: eelgrassbeam.InstanceLive, PeerAddress: remote},
		},
		Upstreams: []eelgrassbeam.Upstream{upstreamIn("u1", "r1", backend)},
	}
	p.configuration.Defaults = eelgrassbeam.Defaults{
		ShiftCapPerSecond: shiftCap, RegionHeadroom: 0.1, LinkMegabits: 1000, BodyLimitBytes: 1 << 20,
		ProgressTimeout: eelgrassbeam.Seconds(2),
		Services:        []eelgrassbeam.Service{{Name: "booking", SlotsPerUpstream: 8, ConnectionsPerUpstream: 16}},
	}
	if drained {
		p.fleet.Upstreams = append(p.fleet.Upstreams, upstreamIn("u0", "r0", backend))
		p.configuration.Exceptions = []eelgrassbeam.Exception{{
			Setting: eelgrassbeam.SettingDrain, TargetKind: eelgrassbeam.TargetRegion, Target: "r0", Value: "true",
		}}
	}
}

func (p *shiftPath) send() eelgrassbeam.Reply {
	return p.sender.Send(context.Background(), eelgrassbeam.Request{
		ID:      eelgrassbeam.RequestID("q" + strconv.FormatInt(p.sent.Add(1), 10)),
		Service: "booking", Rank: eelgrassbeam.RankUrgent, Idempotent: true, TimeLeft: eelgrassbeam.Seconds(5),
		Origin: "e0", OriginRegion: "r0", Method: http.MethodGet, Host: "booking.example", Target: "/tables",
	})
}

// await sends requests until one has the wanted outcome.
func (p *shiftPath) await(t *testing.T, want eelgrassbeam.Outcome) eelgrassbeam.Reply {
	t.Helper()
	for begin := p.clock.Now(); p.clock.Now().Sub(begin) < awaitTimeout; {
		if reply := p.send(); reply.Outcome == want {
			return reply
		}
	}
	t.Fatalf("no request was %s within %s", want, awaitTimeout)
	return eelgrassbeam.Reply{}
}

// flood sends requests from several concurrent callers and returns how many were answered.
func (p *shiftPath) flood(t *testing.T, each int) int {
	t.Helper()
	var answered atomic.Int64
	var group errgroup.Group
	for range 16 {
		group.Go(func() error {
			for range each {
				switch reply := p.send(); reply.Outcome {
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

func (p *shiftPath) checkCap(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortFunc(p.accepted, time.Time.Compare)
	most := 0
	for i, first := range p.accepted {
		count := 0
		for _, at := range p.accepted[i:] {
			if at.Sub(first) < granter.Interval {
				count++
			}
		}
		most = max(most, count)
	}
	t.Logf("%d requests shifted, at most %d in an interval", len(p.accepted), most)
	is.New(t).True(most > 0 && most <= shiftCap)
}

func TestPath(t *testing.T) {
	for _, c := range []struct {
		name    string
		drained bool
	}{{"drained region", true}, {"region without upstreams", false}} {
		t.Run(c.name, func(t *testing.T) {
			is, p := is.New(t), newPath(t, c.drained)
			p.await(t, eelgrassbeam.OutcomeAnswered)
			is.True(p.flood(t, 12) > 0)
			p.checkCap(t)

			p.isPartitioned.Store(true)
			refused := p.await(t, eelgrassbeam.OutcomeNotRun)
			is.Equal(refused.Reason, eelgrassbeam.ReasonNoCapacity)
			p.await(t, eelgrassbeam.OutcomeNotRun)
			before := len(p.accepted)
			is.Equal(p.flood(t, 3), 0)
			is.Equal(len(p.accepted), before)

			p.isPartitioned.Store(false)
			p.await(t, eelgrassbeam.OutcomeAnswered)
			p.checkCap(t)
		})
	}
}
