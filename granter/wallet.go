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
	// askTimeout bounds one question; it is below the term, after which an answer is worth nothing.
	askTimeout = 500 * time.Millisecond
	// maxAsks bounds the questions in progress.
	maxAsks = 16
	// dueInterval is the time between looks for due questions while there is demand.
	dueInterval = 5 * time.Millisecond
)

// Asker asks a site's dispatcher for credits.
type Asker interface {
	Ask(ctx context.Context, to eelgrassbeam.Entry, question Question) (Answer, error)
}

// Owners tells which entry dispatches for a site.
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
	// Observe takes the load that an answer tells; nil for nobody.
	Observe func(site eelgrassbeam.Site, load eelgrassbeam.SiteLoad, now time.Time)
}

// Wallet holds an entry's credits for sites of other regions and asks for more while they are wanted.
type Wallet struct {
	config  WalletConfig
	metrics walletMetrics
	wake    chan struct{}

	mu       sync.Mutex
	accounts map[eelgrassbeam.Site]*account
}

// NewWallet returns an empty Wallet; Run asks for credits.
func NewWallet(config WalletConfig) *Wallet {
	return &Wallet{
		config: config, metrics: newWalletMetrics(config.Registerer),
		wake: make(chan struct{}, 1), accounts: make(map[eelgrassbeam.Site]*account),
	}
}

// Take uses one credit for the site and returns its grant; false where none is live. Either way more are asked for.
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

// Run asks for wanted credits until the context ends.
func (w *Wallet) Run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxAsks)
	for {
		due, again := w.due()
		for _, q := range due {
			group.Go(func() error {
				w.ask(ctx, q)
				return nil
			})
		}
		if !w.wait(ctx, again) {
			return group.Wait()
		}
	}
}

// wait waits for new demand, or for a short while if some is left; false ends it.
func (w *Wallet) wait(ctx context.Context, again bool) bool {
	var timer <-chan time.Time
	wake := w.wake
	if again {
		timer, wake = w.config.Clock.After(dueInterval), nil
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

// due begins the questions that are due and tells whether demand is left.
func (w *Wallet) due() (questions []Question, again bool) {
	now := w.config.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for site, a := range w.accounts {
		if credits := a.due(now); credits > 0 {
			a.ask(now)
			questions = append(questions, Question{
				Site: site, Origin: w.config.Self.ID, Region: w.config.Self.Region, Credits: credits,
			})
			continue
		}
		again = again || a.demand > 0
		if a.demand == 0 && a.isIdle(now) {
			delete(w.accounts, site)
		}
	}
	return questions, again
}

// ask asks one question. The term counts from before it is sent, on this entry's monotonic clock.
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
		added = err == nil && a.credit(answer, asked, now)
		a.finish(added, now)
	}
	w.mu.Unlock()
	w.record(question, answer, added, err)
}

func (w *Wallet) call(ctx context.Context, question Question) (Answer, error) {
	owner, ok := w.config.Owners.Owner(w.config.Fleet.Fleet(), question.Site)
	if !ok {
		return Answer{}, askError("no dispatcher", eelgrassbeam.ErrNotFound)
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
