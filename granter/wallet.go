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
	// askTimeout is the timeout of one credit request; it is below Term, after which an answer is useless.
	askTimeout = 500 * time.Millisecond
	// maxConcurrentAsks is the maximum number of credit requests in progress.
	maxConcurrentAsks = 16
	// duePollInterval is the time between checks for due credit requests while there is demand.
	duePollInterval = 5 * time.Millisecond
)

// Asker asks a site's dispatcher for credits.
type Asker interface {
	Ask(ctx context.Context, to eelgrassbeam.Entry, question Question) (Answer, error)
}

// Owners finds the entry that dispatches for a site.
type Owners interface {
	Owner(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site) (eelgrassbeam.Entry, bool)
}

// WalletConfig configures a Wallet.
type WalletConfig struct {
	Self       eelgrassbeam.Entry
	Clock      eelgrassbeam.Clock
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
	Fleet      eelgrassbeam.FleetSource
	Owners     Owners
	Asker      Asker
	// Observe is called with the site's load from each answer; nil disables it.
	Observe func(site eelgrassbeam.Site, load eelgrassbeam.SiteLoad, now time.Time)
}

// Wallet holds an entry's credits for sites of other regions and asks for more while there is demand. It is safe for
// concurrent use.
type Wallet struct {
	config  WalletConfig
	metrics walletMetrics
	wake    chan struct{}

	mu       sync.Mutex
	accounts map[eelgrassbeam.Site]*account
}

// NewWallet returns a Wallet without credits; Run asks for them.
func NewWallet(config WalletConfig) *Wallet {
	return &Wallet{
		config: config, metrics: newWalletMetrics(config.Registerer),
		wake: make(chan struct{}, 1), accounts: make(map[eelgrassbeam.Site]*account),
	}
}

// Take uses one credit for the site and returns the id of its grant; false if the rank gets none. Either way the call
// counts as demand, for which Run asks for more credits.
func (w *Wallet) Take(site eelgrassbeam.Site, rank eelgrassbeam.Rank, now time.Time) (uint64, bool) {
	w.mu.Lock()
	a, known := w.accounts[site]
	if !known {
		a = &account{}
		w.accounts[site] = a
	}
	id, ok := a.take(rank, now)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	if ok {
		w.metrics.spent.Inc()
	}
	return id, ok
}

// Run asks for credits while there is demand, until the context ends.
func (w *Wallet) Run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentAsks)
	for {
		due, pending := w.due()
		for _, q := range due {
			group.Go(func() error {
				w.ask(ctx, q)
				return nil
			})
		}
		if !w.wait(ctx, pending) {
			return group.Wait()
		}
	}
}

// wait waits for new demand, or for duePollInterval if demand is pending. It returns false when the context ends.
func (w *Wallet) wait(ctx context.Context, pending bool) bool {
	var timer <-chan time.Time
	wake := w.wake
	if pending {
		timer, wake = w.config.Clock.After(duePollInterval), nil
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
func (w *Wallet) due() (questions []Question, pending bool) {
	now := w.config.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for site, a := range w.accounts {
		if credits := a.due(now); credits > 0 {
			a.beginAsk(now)
			questions = append(questions, Question{
				Site: site, Origin: w.config.Self.ID, Region: w.config.Self.Region, Credits: credits,
			})
			continue
		}
		pending = pending || a.demand > 0
		if a.demand == 0 && a.isIdle(now) {
			delete(w.accounts, site)
		}
	}
	return questions, pending
}

// ask sends one credit request. The term is counted from before the request is sent, on this entry's monotonic clock,
// so that network delay can only shorten it.
func (w *Wallet) ask(ctx context.Context, question Question) {
	asked := w.config.Clock.Now()
	answer, err := w.call(ctx, question)
	now := w.config.Clock.Now()
	if err == nil && w.config.Observe != nil && answer.Load != (eelgrassbeam.SiteLoad{}) {
		w.config.Observe(question.Site, answer.Load, now)
	}
	w.mu.Lock()
	added := false
	if a, ok := w.accounts[question.Site]; ok {
		added = err == nil && a.addCredits(answer, asked, now)
		a.endAsk(added, now)
	}
	w.mu.Unlock()
	w.record(question, answer, added, err)
}

func (w *Wallet) call(ctx context.Context, question Question) (Answer, error) {
	owner, ok := w.config.Owners.Owner(w.config.Fleet.Fleet(), question.Site)
	if !ok {
		return Answer{}, askError("the site's dispatcher", eelgrassbeam.ErrNotFound)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := w.config.Asker.Ask(ctx, owner, question)
	if err != nil {
		return Answer{}, err
	}
	return answer, answer.Validate(question)
}

func (w *Wallet) record(question Question, answer Answer, added bool, err error) {
	switch {
	case err != nil:
		w.metrics.asks.WithLabelValues("failed").Inc()
		w.config.Log.WithFields(logrus.Fields{"event": "credits_unasked", "site": question.Site.String(), "error": err}).Debug("")
	case !added:
		w.metrics.asks.WithLabelValues("nothing").Inc()
	default:
		w.metrics.asks.WithLabelValues("given").Inc()
		w.metrics.given.Add(float64(answer.Credits))
	}
}
