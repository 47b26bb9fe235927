package test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
)

// freezeToxic is a toxic that freezes the existing connections of the named link. New connections are not affected.
type freezeToxic struct {
	Link string `json:"link"`
}

// freezers maps the name of each link to its freezer.
var freezers sync.Map

// freezer freezes all connections that exist when freeze is called; they stay frozen.
type freezer struct {
	mu     sync.Mutex
	frozen chan struct{}
}

// current returns the channel whose closing freezes the connections that are opened now.
func (f *freezer) current() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen
}

func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.frozen)
	f.frozen = make(chan struct{})
}

func init() { toxics.Register("freeze", new(freezeToxic)) }

// NewState returns the state of a new connection: the channel whose closing freezes it.
func (t *freezeToxic) NewState() any {
	value, _ := freezers.Load(t.Link)
	f, _ := value.(*freezer)
	return f.current()
}

// Pipe forwards data until the connection is frozen. After that it forwards neither data nor the end of the connection.
func (t *freezeToxic) Pipe(stub *toxics.ToxicStub) {
	frozen, _ := stub.State.(chan struct{})
	for {
		select {
		case <-frozen:
			<-stub.Interrupt
			return
		default:
		}
		select {
		case <-stub.Interrupt:
			return
		case <-frozen:
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			stub.Output <- chunk
		}
	}
}

// link is a network link to one address, simulated by a proxy.
type link struct {
	name    string
	listen  string
	proxy   *toxiproxy.Proxy
	freezer *freezer
	slowed  bool
}

// links holds all links of a script or of a fleet.
type links struct {
	server *toxiproxy.ApiServer
	all    []*link
}

func newLinks() *links {
	return &links{server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())}
}

// add starts a link to the address, listening on 127.0.0.1.
func (l *links) add(name, address string) (*link, error) { return l.addOn("127.0.0.1", name, address) }

// addOn starts a link to the address, listening on a free port of the host. On a host that nothing else uses, no other
// socket can take the port while the link is cut.
func (l *links) addOn(host, name, address string) (*link, error) {
	added := &link{
		name:    fmt.Sprintf("%p-%s", l, name),
		freezer: &freezer{frozen: make(chan struct{})},
	}
	freezers.Store(added.name, added.freezer)
	added.proxy = toxiproxy.NewProxy(l.server, added.name, host+":0", address)
	if err := added.proxy.Start(); err != nil {
		return nil, err
	}
	added.listen = added.proxy.Listen
	l.all = append(l.all, added)
	for _, stream := range []string{"upstream", "downstream"} {
		if err := added.addToxic("freeze", stream, fmt.Sprintf(`{"link":%q}`, added.name)); err != nil {
			return nil, err
		}
	}
	return added, nil
}

func (l *links) close() {
	for _, each := range l.all {
		each.proxy.Stop()
		freezers.Delete(each.name)
	}
}

// address returns the address at which the link listens.
func (l *link) address() string { return l.listen }

// setTarget changes the address to which the link forwards, and ends a cut.
func (l *link) setTarget(address string) error {
	return l.retryListen(func() error {
		return l.proxy.Update(&toxiproxy.Proxy{Listen: l.listen, Upstream: address, Enabled: true})
	})
}

// retryListen repeats open, for at most 1 s, while the address is in use: the proxy's goroutine may not have closed the
// previous socket yet.
func (l *link) retryListen(open func() error) error {
	var err error
	_, timeoutErr := poll(time.Second, func() (string, bool, error) {
		err = open()
		return "", !errors.Is(err, syscall.EADDRINUSE), err
	})
	return cmp.Or(timeoutErr, err)
}

func (l *link) cut() error {
	l.proxy.Stop()
	return nil
}

// heal ends a cut. It does nothing if setTarget has started the proxy again in the meantime.
func (l *link) heal() error {
	if err := l.retryListen(l.proxy.Start); !errors.Is(err, toxiproxy.ErrProxyAlreadyStarted) {
		return err
	}
	return nil
}

func (l *link) freeze() error {
	l.freezer.freeze()
	return nil
}

// slow adds the given round-trip latency: half of it to each chunk of data in each direction.
func (l *link) slow(milliseconds int64) error {
	if l.slowed {
		return fmt.Errorf("link %s already has added latency", l.name)
	}
	l.slowed = true
	for _, stream := range []string{"upstream", "downstream"} {
		if err := l.addToxic("latency", stream, fmt.Sprintf(`{"latency":%d}`, milliseconds/2)); err != nil {
			return err
		}
	}
	return nil
}

// addToxics adds a toxic to the streams and returns a function that removes it. The timeout toxic with a timeout of 0
// holds data back until it is removed; on a single stream it blocks one direction.
func (l *link) addToxics(kind, attributes string, streams ...string) (func() error, error) {
	for _, stream := range streams {
		if err := l.addToxic(kind, stream, attributes); err != nil {
			return nil, err
		}
	}
	return func() error {
		var errs []error
		for _, stream := range streams {
			errs = append(errs, l.proxy.Toxics.RemoveToxic(context.Background(), kind+"_"+stream))
		}
		return errors.Join(errs...)
	}, nil
}

func (l *link) addToxic(kind, stream, attributes string) error {
	text := fmt.Sprintf(`{"name":"%s_%s","type":%q,"stream":%q,"attributes":%s}`, kind, stream, kind, stream, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text))
	return err
}
