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

// freezeToxic freezes existing connections of the named link and leaves new ones alone.
type freezeToxic struct {
	Link string `json:"link"`
}

// freezers holds the freezer of each link by its name.
var freezers sync.Map

// freezer freezes the connections that exist at a time, once and for good.
type freezer struct {
	mu     sync.Mutex
	frozen chan struct{}
}

// current returns the channel that is closed when connections made now freeze.
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

// NewState returns the state of a new connection.
func (t *freezeToxic) NewState() any {
	value, _ := freezers.Load(t.Link)
	f, _ := value.(*freezer)
	return f.current()
}

// Pipe passes data on until the connection is frozen, then neither data nor the end of the connection.
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

// link is a proxy before one address.
type link struct {
	name    string
	listen  string
	proxy   *toxiproxy.Proxy
	freezer *freezer
	slowed  bool
}

// links are all links of a script.
type links struct {
	server *toxiproxy.ApiServer
	all    []*link
}

func newLinks() *links {
	return &links{server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())}
}

// add starts a link to the address.
func (l *links) add(name, address string) (*link, error) { return l.addOn("127.0.0.1", name, address) }

// addOn starts a link on an address of the host. One of its own keeps its port free while the link is cut.
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
		if err := added.toxic("freeze", stream, fmt.Sprintf(`{"link":%q}`, added.name)); err != nil {
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

// address returns the address to connect to.
func (l *link) address() string { return l.listen }

// lead makes the link lead to another address.
func (l *link) lead(address string) error {
	return l.relisten(func() error {
		return l.proxy.Update(&toxiproxy.Proxy{Listen: l.listen, Upstream: address, Enabled: true})
	})
}

// relisten repeats what opens the link's socket again for as long as the proxy's own goroutine may take to close it.
func (l *link) relisten(open func() error) error {
	var err error
	_, late := poll(time.Second, func() (string, bool, error) {
		err = open()
		return "", !errors.Is(err, syscall.EADDRINUSE), err
	})
	return cmp.Or(late, err)
}

func (l *link) cut() error {
	l.proxy.Stop()
	return nil
}

// heal ends a cut; a link that was led to another address meanwhile is whole already.
func (l *link) heal() error {
	if err := l.relisten(l.proxy.Start); !errors.Is(err, toxiproxy.ErrProxyAlreadyStarted) {
		return err
	}
	return nil
}

func (l *link) freeze() error {
	l.freezer.freeze()
	return nil
}

// slow delays each chunk in both directions by half of the milliseconds.
func (l *link) slow(milliseconds int64) error {
	if l.slowed {
		return fmt.Errorf("link %s is slow already", l.name)
	}
	l.slowed = true
	for _, stream := range []string{"upstream", "downstream"} {
		if err := l.toxic("latency", stream, fmt.Sprintf(`{"latency":%d}`, milliseconds/2)); err != nil {
			return err
		}
	}
	return nil
}

// disturb adds a toxic to the streams and returns what removes it. A timeout without an end holds data back, one of streams cuts one way.
func (l *link) disturb(kind, attributes string, streams ...string) (func() error, error) {
	for _, stream := range streams {
		if err := l.toxic(kind, stream, attributes); err != nil {
			return nil, err
		}
	}
	return func() error {
		var faults []error
		for _, stream := range streams {
			faults = append(faults, l.proxy.Toxics.RemoveToxic(context.Background(), kind+"_"+stream))
		}
		return errors.Join(faults...)
	}, nil
}

func (l *link) toxic(kind, stream, attributes string) error {
	text := fmt.Sprintf(`{"name":"%s_%s","type":%q,"stream":%q,"attributes":%s}`, kind, stream, kind, stream, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text))
	return err
}
