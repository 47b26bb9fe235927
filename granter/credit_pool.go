package granter

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// askTimeout is the timeout of one credit request; it is below GrantTerm, after which a reply is useless.
	askTimeout = 500 * time.Millisecond
	// maxConcurrentAsks is the maximum number of credit requests in progress.
	maxConcurrentAsks = 16
	// duePollInterval is the time between checks for due credit requests while there is demand.
	duePollInterval = 5 * time.Millisecond
)

// Asker asks a site's dispatcher for credits.
type Asker interface {
	Ask(ctx context.Context, to eelgrassbeam.Entry, request CreditRequest) (CreditReply, error)
}

// Owners finds the entry that dispatches for a site.
type Owners interface {
	Owner(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site) (eelgrassbeam.Entry, bool)
}

// CreditPoolConfig configures a CreditPool.
type CreditPoolConfig struct {
	Self       eelgrassbeam.Entry
	Clock      eelgrassbeam.Clock
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
	Fleet      eelgrassbeam.FleetSource
	Owners     Owners
	Asker      Asker
	// Observe is called with the site's load from each reply; nil disables it.
	Observe func(site eelgrassbeam.Site, load eelgrassbeam.SiteLoad, now time.Time)
}

// CreditPool holds an entry's credits for sites of other regions and asks for more while there is demand. It is safe
// for concurrent use.
type CreditPool struct {
	config  CreditPoolConfig
	metrics creditPoolMetrics
	wake    chan struct{}

	mu       sync.Mutex
	accounts map[eelgrassbeam.Site]*account
}

// NewCreditPool returns a CreditPool without credits; Run asks for them.
func NewCreditPool(config CreditPoolConfig) *CreditPool {
	return &CreditPool{
		config: config, metrics: newCreditPoolMetrics(config.Registerer),
		wake: make(chan struct{}, 1), accounts: make(map[eelgrassbeam.Site]*account),
	}
}

// Take uses one credit for the site and returns the id of its grant; false if the rank gets none. Either way the call
// counts as demand, for which Run asks for more credits.
func (p *CreditPool) Take(site eelgrassbeam.Site, rank eelgrassbeam.Rank, now time.Time) (uint64, bool) {
	p.mu.Lock()
	a, known := p.accounts[site]
	if !known {
		a = &account{}
		p.accounts[site] = a
	}
	id, ok := a.take(rank, now)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	if ok {
		p.metrics.spent.Inc()
	}
	return id, ok
}

// Run asks for credits while there is demand, until the context ends.
func (p *CreditPool) Run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentAsks)
	for {
		due, pending := p.due()
		for _, q := range due {
			group.Go(func() error {
				p.ask(ctx, q)
				return nil
			})
		}
		if !p.wait(ctx, pending) {
			return group.Wait()
		}
	}
}

// wait waits for new demand, or for duePollInterval if demand is pending. It returns false when the context ends.
func (p *CreditPool) wait(ctx context.Context, pending bool) bool {
	var timer <-chan time.Time
	wake := p.wake
	if pending {
		timer, wake = p.config.Clock.After(duePollInterval), nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-wake:
		return true
	case <-timer:
		return true
	}
}

// due begins the credit requests that are due and reports whether demand is left. It removes idle accounts.
func (p *CreditPool) due() (requests []CreditRequest, pending bool) {
	now := p.config.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for site, a := range p.accounts {
		if credits := a.due(now); credits > 0 {
			a.beginAsk(now)
			requests = append(requests, CreditRequest{
				Site: site, Origin: p.config.Self.ID, Region: p.config.Self.Region, Credits: credits,
			})
			continue
		}
		pending = pending || a.demand > 0
		if a.demand == 0 && a.isIdle(now) {
			delete(p.accounts, site)
		}
	}
	return requests, pending
}

// ask sends one credit request. The term is counted from before the request is sent, on this entry's monotonic clock,
// so that network delay can only shorten it.
func (p *CreditPool) ask(ctx context.Context, request CreditRequest) {
	asked := p.config.Clock.Now()
	reply, err := p.call(ctx, request)
	now := p.config.Clock.Now()
	if err == nil && p.config.Observe != nil && reply.Load != (eelgrassbeam.SiteLoad{}) {
		p.config.Observe(request.Site, reply.Load, now)
	}
	p.mu.Lock()
	added := false
	if a, ok := p.accounts[request.Site]; ok {
		added = err == nil && a.addCredits(reply, asked, now)
		a.endAsk(added, now)
	}
	p.mu.Unlock()
	p.record(request, reply, added, err)
}

func (p *CreditPool) call(ctx context.Context, request CreditRequest) (CreditReply, error) {
	owner, ok := p.config.Owners.Owner(p.config.Fleet.Fleet(), request.Site)
	if !ok {
		return CreditReply{}, askError("the site's dispatcher", eelgrassbeam.ErrNotFound)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := p.config.Asker.Ask(ctx, owner, request)
	if err != nil {
		return CreditReply{}, err
	}
	return reply, reply.Validate(request)
}

func (p *CreditPool) record(request CreditRequest, reply CreditReply, added bool, err error) {
	switch {
	case err != nil:
		p.metrics.asks.WithLabelValues("failed").Inc()
		p.config.Log.WithFields(logrus.Fields{"event": "credits_unasked", "site": request.Site.String(), "error": err}).Debug("")
	case !added:
		p.metrics.asks.WithLabelValues("nothing").Inc()
	default:
		p.metrics.asks.WithLabelValues("given").Inc()
		p.metrics.given.Add(float64(reply.Credits))
	}
}
