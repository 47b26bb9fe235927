package gossiper_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/gossiper"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/viewer"
)

const (
	// maxConfigurationBytes is the platform's limit of an object's size.
	maxConfigurationBytes = 1 << 20
	// maxConfigurationDelay is the time within which a configuration must be in force.
	maxConfigurationDelay = 3 * time.Second
	// changeInterval and replacementInterval are those of the users' incident.
	changeInterval      = 1660 * time.Millisecond
	replacementInterval = 250 * time.Millisecond
	slowLinkBytes       = 10e6 / 8 // per second and direction
	fastLinkBytes       = 200e6 / 8
	linkChunkBytes      = 16 << 10
)

// link limits the bytes per second of all connections of one entry, in each direction.
type link struct{ in, out *rate.Limiter }

func newLink(bytesPerSecond float64) *link {
	limiter := func() *rate.Limiter { return rate.NewLimiter(rate.Limit(bytesPerSecond), linkChunkBytes) }
	return &link{in: limiter(), out: limiter()}
}

type linkConn struct {
	net.Conn
	link *link
}

func (c linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), linkChunkBytes)])
	if waitErr := c.link.in.WaitN(context.Background(), n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}

func (c linkConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(written+linkChunkBytes, len(p))]
		if err := c.link.out.WaitN(context.Background(), len(chunk)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

type linkListener struct {
	net.Listener
	link *link
}

func (l linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return linkConn{Conn: conn, link: l.link}, nil
}

// emptyDirectory is a registry without entries.
type emptyDirectory struct{}

func (emptyDirectory) Register(context.Context, eelgrassbeam.Entry) error { return nil }
func (emptyDirectory) List(context.Context) ([]eelgrassbeam.Entry, error) { return nil, nil }
func (emptyDirectory) ListStale(context.Context) ([]eelgrassbeam.Entry, error) {
	return nil, nil
}

// linkedEntry is an entry's gossip and view behind a link.
type linkedEntry struct {
	*gossiper.Gossiper
	view *viewer.Viewer
}

// newZone runs the entries of one availability zone, one for each link.
func newZone(t *testing.T, links ...*link) []linkedEntry {
	t.Helper()
	is := is.New(t)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	listeners, seeds := make([]net.Listener, len(links)), make([]netip.AddrPort, len(links))
	for i := range links {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners[i], seeds[i] = listener, netip.MustParseAddrPort(listener.Addr().String())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	entries := make([]linkedEntry, len(links))
	for i, link := range links {
		clock := clockwork.NewRealClock()
		view := viewer.New(viewer.Config{
			Clock: clock, Log: log, DecodeRouting: decodeVersion, Heartbeat: time.Second, ZoneReachesStore: func() bool { return true },
		})
		view.UpdateRouting(configuration(1, 1), 1, "test")
		view.ReplaceUpstreams(nil, 1)
		pool := peer.NewPool(peer.PoolConfig{Clock: clock, Log: log, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return linkConn{Conn: conn, link: link}, err
		}})
		g := gossiper.New(gossiper.Config{
			Self:  eelgrassbeam.Entry{ID: eelgrassbeam.EntryID(fmt.Sprintf("e%02d", i)), Zone: "z", Region: "r", Address: seeds[i], PeerAddress: seeds[i]},
			Clock: clock, Log: log, Replica: view, Pool: pool, Seeds: seeds, Directory: emptyDirectory{},
			IsReady: func() bool { return true }, IsStoreReachable: func() bool { return true },
		})
		server := peer.NewServer(peer.ServerConfig{})
		g.Register(server)
		entries[i] = linkedEntry{Gossiper: g, view: view}
		group.Go(func() error { return server.Serve(linkListener{Listener: listeners[i], link: link}) })
		group.Go(func() error { return g.Run(ctx) })
		group.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					pool.Close()
					server.Stop()
					return nil
				case <-view.Changed():
					g.NotifyChange()
				}
			}
		})
	}
	return entries
}

// configuration returns a configuration of the given version and size, whose text repeats itself as one of many routes.
func configuration(version uint64, bytes int) []byte {
	random := rand.New(rand.NewPCG(version, 32))
	var text strings.Builder
	fmt.Fprintf(&text, "%d ", version)
	for text.Len() < bytes {
		id := make([]byte, 12)
		for i := range id {
			id[i] = byte(random.Uint32())
		}
		name := base64.RawURLEncoding.EncodeToString(id)
		fmt.Fprintf(&text, `{"resource_kind":"routes","metadata":{"name":"r-%s"},"spec":{"host":"shop.example","path_prefix":"/%s/",`+
			`"kind":"idempotent","timeout":"1500ms","target_latency":"600ms","priority":1,"max_attempts":2,"sticky_sessions":true,`+
			`"traffic_split":[{"service":"orders","weight":0.7},{"service":"orders-next","weight":0.3}]}},`, name[:6], name[6:])
	}
	return []byte(text.String())[:max(bytes, 2)]
}

// decodeVersion decodes the version of a configuration only, at no cost in processor time.
func decodeVersion(value []byte) (*eelgrassbeam.Routing, error) {
	var version uint64
	_, err := fmt.Sscanf(string(value[:min(len(value), 20)]), "%d", &version)
	return &eelgrassbeam.Routing{Version: version}, err
}

func (e linkedEntry) version() uint64 { return e.view.View().Routing.Version }

// awaitMembers waits until each entry knows all others.
func awaitMembers(t *testing.T, entries []linkedEntry) {
	t.Helper()
	requireSoon(t, 10*time.Second, func() string {
		for _, e := range entries {
			if got := e.LiveCount(); got != len(entries) {
				return fmt.Sprintf("an entry knows %d entries of %d", got, len(entries))
			}
		}
		return ""
	})
}

// requireSoon fails unless missing returns an empty text within the duration.
func requireSoon(t *testing.T, within time.Duration, missing func() string) {
	t.Helper()
	deadline := time.Now().Add(within)
	for missing() != "" {
		if time.Now().After(deadline) {
			t.Fatalf("after %s: %s", within, missing())
		}
		<-time.After(10 * time.Millisecond)
	}
}

func requireVersion(t *testing.T, entries []linkedEntry, version uint64) {
	t.Helper()
	requireSoon(t, maxConfigurationDelay, func() string {
		var behind []string
		for i, e := range entries {
			if got := e.version(); got != version {
				behind = append(behind, fmt.Sprintf("entry %d at version %d", i, got))
			}
		}
		return strings.Join(behind, ", ")
	})
}

// replaceUpstreams changes the upstreams of the watchers' views periodically until stop is called.
func replaceUpstreams(t *testing.T, watchers []linkedEntry) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		for revision := eelgrassbeam.Revision(2); ctx.Err() == nil; revision++ {
			change := viewer.UpstreamChange{Upstream: eelgrassbeam.Upstream{
				ID: eelgrassbeam.UpstreamID(fmt.Sprintf("u%d", revision)), Service: "orders", Zone: "z", Region: "r", State: eelgrassbeam.InstanceLive,
				Address: netip.MustParseAddrPort("192.0.2.1:8080"), Slots: 1, Sequence: uint64(revision), Revision: revision,
			}}
			for _, watcher := range watchers {
				watcher.view.ApplyUpstreams([]viewer.UpstreamChange{change}, revision)
			}
			select {
			case <-ctx.Done():
			case <-time.After(replacementInterval):
			}
		}
		return nil
	})
	return func() {
		cancel()
		_ = group.Wait()
	}
}

// Guards against entries that keep an older configuration because transfers of a large one don't end in the time of a call:
// two watchers push it to their zone at once, over links of 10 Mbit/s.
func TestLargeConfigurationReachesZoneInTime(t *testing.T) {
	// changeTwice makes two changes as watchers receive them, the second while the first may still be on its way, and
	// meanwhile replaces upstreams.
	changeTwice := func(t *testing.T, links ...*link) {
		t.Helper()
		entries := newZone(t, links...)
		awaitMembers(t, entries)
		stop := replaceUpstreams(t, entries[:2])
		defer stop()
		for version := uint64(2); version <= 3; version++ {
			value := configuration(version, maxConfigurationBytes)
			for _, watcher := range entries[:2] {
				watcher.view.UpdateRouting(value, eelgrassbeam.Revision(version), "test")
			}
			if version == 2 {
				<-time.After(changeInterval)
			}
		}
		requireVersion(t, entries, 3)
	}
	slowLinks := func(count int) []*link {
		links := make([]*link, count)
		for i := range links {
			links[i] = newLink(slowLinkBytes)
		}
		return links
	}
	t.Run("a zone whose watchers have fast links", func(t *testing.T) {
		changeTwice(t, append([]*link{newLink(fastLinkBytes), newLink(fastLinkBytes)}, slowLinks(7)...)...)
	})
	t.Run("a zone of slow links", func(t *testing.T) { changeTwice(t, slowLinks(20)...) })
}
