package relayer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
	"github.com/eelgrassbeam/eelgrassbeam/configholder"
	"github.com/eelgrassbeam/eelgrassbeam/monitor"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/storefake"
)

// trafficCounter counts the bytes of accepted connections in both directions, and the server's writes.
type trafficCounter struct{ bytes, writes atomic.Int64 }

type countingListener struct {
	net.Listener
	traffic *trafficCounter
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, traffic: l.traffic}, err
}

type countingConn struct {
	net.Conn
	traffic *trafficCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// member is one entry with the components under test.
type member struct {
	self         eelgrassbeam.Entry
	configHolder *configholder.ConfigHolder
	monitor      *monitor.Monitor
	relayer      *Relayer
	assigner     *assigner.Assigner
	registry     *prometheus.Registry
	stop         func()
}

func instance(entry eelgrassbeam.Entry) eelgrassbeam.Instance {
	return eelgrassbeam.Instance{
		ID: string(entry.ID), Kind: eelgrassbeam.InstanceEntry, State: eelgrassbeam.InstanceLive,
		Zone: entry.Zone, Region: entry.Region, Address: entry.PeerAddress, PeerAddress: entry.PeerAddress,
	}
}

// startFleet runs perZone entries in each zone, at production intervals, with one backend server registered per zone.
func startFleet(t *testing.T, zones, perZone int) ([]*member, *storefake.Store, *trafficCounter) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	store, traffic := storefake.New(), &trafficCounter{}
	var listeners []net.Listener
	var entries []eelgrassbeam.Entry
	var instances []eelgrassbeam.Instance
	for zone := range zones {
		id := eelgrassbeam.ZoneID(fmt.Sprint("z", zone))
		instances = append(instances, eelgrassbeam.Instance{
			ID: fmt.Sprint("u", zone), Kind: eelgrassbeam.InstanceBackendServer, State: eelgrassbeam.InstanceLive, Zone: id, Region: "r0",
			Service: "booking", Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
		for n := range perZone {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.New(t).NoErr(err)
			entry := eelgrassbeam.Entry{
				ID: eelgrassbeam.EntryID(fmt.Sprintf("entry-%d-%02d", zone, n)), Zone: id, Region: "r0",
				PeerAddress: netip.MustParseAddrPort(listener.Addr().String()), State: eelgrassbeam.InstanceLive,
			}
			listeners, entries, instances = append(listeners, countingListener{Listener: listener, traffic: traffic}), append(entries, entry), append(instances, instance(entry))
		}
	}
	store.WithLock(func(s *storefake.Store) { s.Rows = instances })
	change(t, store, 0)
	var members []*member
	for i := range entries {
		members = append(members, startMember(t, entries[i], listeners[i], store))
	}
	return members, store, traffic
}

func startMember(t *testing.T, self eelgrassbeam.Entry, listener net.Listener, store eelgrassbeam.Store) *member {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := clockwork.NewRealClock()
	pool, server := peer.NewPool(peer.PoolConfig{Clock: clock, Log: log}), peer.NewServer(peer.ServerConfig{})
	m := &member{self: self, registry: prometheus.NewRegistry(), configHolder: configholder.New(configholder.Config{Clock: clock, Log: log})}
	m.monitor = monitor.New(monitor.Config{
		Self: self, Store: store, Pool: pool, Clock: clock, Log: log, Registerer: m.registry, Incarnation: uint64(time.Now().UnixNano()),
	})
	m.relayer = New(Config{
		Self: self, ConfigHolder: m.configHolder, Fleet: m.monitor, Members: m.monitor, Store: store, Pool: pool, Clock: clock, Log: log, Registerer: m.registry,
	})
	m.assigner = assigner.New(assigner.Config{Self: self, Fleet: m.monitor, Terms: m.monitor, Pool: pool, Clock: clock, Log: log})
	m.monitor.Register(server)
	m.relayer.Register(server)
	m.assigner.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	for _, runner := range []eelgrassbeam.Runner{pool, m.monitor, m.relayer, m.assigner} {
		group.Go(func() { _ = runner.Run(ctx) })
	}
	m.stop = sync.OnceFunc(func() {
		cancel()
		server.Stop()
		pool.Close()
		group.Wait()
	})
	t.Cleanup(m.stop)
	return m
}

func (m *member) mayDispatch(site eelgrassbeam.Site) bool {
	_, ok := m.assigner.MayDispatch(m.monitor.Fleet(), site, time.Now())
	return ok
}

// waitForDispatchers waits until each site has exactly one dispatcher among the members.
func waitForDispatchers(t *testing.T, members []*member, zones int) {
	t.Helper()
	timeout := time.After(testTimeout)
	for zone := 0; zone < zones; {
		site := eelgrassbeam.Site{Service: "booking", Zone: eelgrassbeam.ZoneID(fmt.Sprint("z", zone))}
		count := 0
		for _, m := range members {
			if m.mayDispatch(site) {
				count++
			}
		}
		if count == 1 {
			zone++
			continue
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-timeout:
			t.Fatal(site, " has ", count, " dispatchers")
		}
	}
}

func TestDispatcherTakeover(t *testing.T) {
	members, _, _ := startFleet(t, 2, 3)
	waitForDispatchers(t, members, 2)
	site := eelgrassbeam.Site{Service: "booking", Zone: "z0"}
	for i, m := range members {
		if !m.mayDispatch(site) {
			continue
		}
		start := time.Now()
		m.stop()
		members = append(members[:i:i], members[i+1:]...)
		waitForDispatchers(t, members, 2)
		t.Logf("site of a stopped dispatcher taken over after %s", time.Since(start).Round(10*time.Millisecond))
		break
	}
	for i, m := range members {
		if !m.mayDispatch(site) {
			continue
		}
		start := time.Now()
		m.monitor.Leave()
		waitForDispatchers(t, append(members[:i:i], members[i+1:]...), 2)
		t.Logf("site of a leaving dispatcher handed over after %s", time.Since(start).Round(10*time.Millisecond))
		is.New(t).True(!m.mayDispatch(site))
		break
	}
}

// TestHeartbeatTraffic bounds the bytes on the wire per heartbeat, including the comparisons that run meanwhile.
func TestHeartbeatTraffic(t *testing.T) {
	members, _, traffic := startFleet(t, 2, 4)
	waitForDispatchers(t, members, 2)
	heartbeats := func() (sum float64) {
		for _, m := range members {
			families, err := m.registry.Gather()
			is.New(t).NoErr(err)
			for _, family := range families {
				if family.GetName() != "eelgrassbeam_monitor_heartbeats_total" {
					continue
				}
				for _, metric := range family.GetMetric() {
					sum += metric.GetCounter().GetValue()
				}
			}
		}
		return sum
	}
	first, firstBytes, firstWrites, start := heartbeats(), traffic.bytes.Load(), traffic.writes.Load(), time.Now()
	for heartbeats()-first < 300 {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-t.Context().Done():
			t.Fatal("no heartbeats")
		}
	}
	count, seconds := heartbeats()-first, time.Since(start).Seconds()
	sent := float64(traffic.bytes.Load() - firstBytes)
	t.Logf("%d entries, %.0f heartbeats in %.1f s: %.0f bytes per heartbeat, %.0f bytes/s per entry, %.1f server writes per heartbeat",
		len(members), count, seconds, sent/count, sent/seconds/float64(len(members)), float64(traffic.writes.Load()-firstWrites)/count)
	is.New(t).True(sent/count < maxHeartbeatBytes)
}

// maxHeartbeatBytes bounds a heartbeat, its reply and its share of the other control traffic, excluding TCP and IP
// headers.
const maxHeartbeatBytes = 400
