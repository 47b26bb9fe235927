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
	"github.com/eelgrassbeam/eelgrassbeam/holder"
	"github.com/eelgrassbeam/eelgrassbeam/monitor"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/storefake"
)

// traffic counts the bytes of accepted connections, both ways.
type traffic struct{ bytes, writes atomic.Int64 }

type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{Conn: conn, traffic: l.traffic}, err
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// member is one entry with all that this test is about.
type member struct {
	self     eelgrassbeam.Entry
	holder   *holder.Holder
	monitor  *monitor.Monitor
	relayer  *Relayer
	assigner *assigner.Assigner
	registry *prometheus.Registry
	stop     func()
}

func instance(entry eelgrassbeam.Entry) eelgrassbeam.Instance {
	return eelgrassbeam.Instance{
		ID: string(entry.ID), Kind: eelgrassbeam.InstanceEntry, State: eelgrassbeam.InstanceLive,
		Zone: entry.Zone, Region: entry.Region, Address: entry.PeerAddress, PeerAddress: entry.PeerAddress,
	}
}

// startFleet runs entries of as many zones with a backend server in each, and the intervals of production.
func startFleet(t *testing.T, zones, perZone int) ([]*member, *storefake.Store, *traffic) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	store, counted := storefake.New(), &traffic{}
	var listeners []net.Listener
	var entries []eelgrassbeam.Entry
	var rows []eelgrassbeam.Instance
	for zone := range zones {
		id := eelgrassbeam.ZoneID(fmt.Sprint("z", zone))
		rows = append(rows, eelgrassbeam.Instance{
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
			listeners, entries, rows = append(listeners, countedListener{Listener: listener, traffic: counted}), append(entries, entry), append(rows, instance(entry))
		}
	}
	store.Set(func(s *storefake.Store) { s.Rows = rows })
	change(t, store, 0)
	var members []*member
	for i := range entries {
		members = append(members, startMember(t, entries[i], listeners[i], store))
	}
	return members, store, counted
}

func startMember(t *testing.T, self eelgrassbeam.Entry, listener net.Listener, store eelgrassbeam.Store) *member {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := clockwork.NewRealClock()
	pool, server := peer.NewPool(peer.PoolConfig{Clock: clock, Log: log}), peer.NewServer(nil)
	m := &member{self: self, registry: prometheus.NewRegistry(), holder: holder.New(holder.Config{Clock: clock, Log: log})}
	m.monitor = monitor.New(monitor.Config{
		Self: self, Store: store, Pool: pool, Clock: clock, Log: log, Registerer: m.registry, Incarnation: uint64(time.Now().UnixNano()),
	})
	m.relayer = New(Config{
		Self: self, Holder: m.holder, Fleet: m.monitor, Members: m.monitor, Store: store, Pool: pool, Clock: clock, Log: log, Registerer: m.registry,
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

// checkDispatchers waits until each site has one dispatcher among the members.
func checkDispatchers(t *testing.T, members []*member, zones int) {
	t.Helper()
	timeout := time.After(patience)
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

func TestTakeover(t *testing.T) {
	members, _, _ := startFleet(t, 2, 3)
	checkDispatchers(t, members, 2)
	site := eelgrassbeam.Site{Service: "booking", Zone: "z0"}
	for i, m := range members {
		if !m.mayDispatch(site) {
			continue
		}
		began := time.Now()
		m.stop()
		members = append(members[:i:i], members[i+1:]...)
		checkDispatchers(t, members, 2)
		t.Logf("a dead dispatcher's site was taken over after %s", time.Since(began).Round(10*time.Millisecond))
		break
	}
	for i, m := range members {
		if !m.mayDispatch(site) {
			continue
		}
		began := time.Now()
		m.monitor.Leave()
		checkDispatchers(t, append(members[:i:i], members[i+1:]...), 2)
		t.Logf("a leaving dispatcher's site was handed over after %s", time.Since(began).Round(10*time.Millisecond))
		is.New(t).True(!m.mayDispatch(site))
		break
	}
}

// TestControlTraffic measures what a heartbeat costs on the wire, with the comparisons between.
func TestControlTraffic(t *testing.T) {
	members, _, counted := startFleet(t, 2, 4)
	checkDispatchers(t, members, 2)
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
	first, firstBytes, firstWrites, began := heartbeats(), counted.bytes.Load(), counted.writes.Load(), time.Now()
	for heartbeats()-first < 300 {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-t.Context().Done():
			t.Fatal("no heartbeats")
		}
	}
	count, seconds := heartbeats()-first, time.Since(began).Seconds()
	sent := float64(counted.bytes.Load() - firstBytes)
	t.Logf("%d entries, %.0f heartbeats in %.1f s: %.0f bytes a heartbeat, %.0f bytes/s sent by each, %.1f writes a heartbeat by the server",
		len(members), count, seconds, sent/count, sent/seconds/float64(len(members)), float64(counted.writes.Load()-firstWrites)/count)
	is.New(t).True(sent/count < maxHeartbeatBytes)
}

// maxHeartbeatBytes bounds a heartbeat, its answer and its share of the other control traffic, without headers of TCP and IP.
const maxHeartbeatBytes = 400
