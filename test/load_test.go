package test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

const (
	// loadSeed seeds the random requests of each load.
	loadSeed = 1
	// maxPaddingBytes bounds the random part of a body.
	maxPaddingBytes = 1024
	// loadTimeout limits a whole load, waitLoadedTimeout one wait of the command loaded.
	loadTimeout       = 2 * time.Minute
	waitLoadedTimeout = time.Minute
	// retryTimeout is the time after which a caller stops retrying a refused request.
	retryTimeout      = 15 * time.Second
	defaultRetryAfter = 100 * time.Millisecond
)

// requestKind is one kind of request in the mix of a load; weight is its relative frequency.
type requestKind struct {
	weight             int
	method, host, path string
}

// load sends a fixed number of requests and records the outcome of each.
type load struct {
	name                  string
	resolver              *entryResolver
	mix                   []requestKind
	requests, concurrency int
	teams                 int
	keys                  bool
	work                  string
	deadline              time.Duration
	minAnswered           float64
	maxUnansweredSpan     time.Duration
	unusedBackend         string
	retryNotRun           bool
	retries               atomic.Int64
	started               time.Time
	firstUnanswered       time.Duration
	lastUnanswered        time.Duration
	answered              atomic.Int64
	client                *http.Client
	records               *records
	finished              atomic.Int64
	cancel                context.CancelFunc
	done                  chan struct{}
	group                 sync.WaitGroup
	mu                    sync.Mutex
	histograms            map[string]*hdrhistogram.Histogram
	outcomes              map[string]int
}

// startLoad sends a weighted mix of requests to the named nodes in turn:
// load [-bg] [-n N] [-c CONCURRENCY] [FLAGS] NAMES WEIGHT:METHOD:HOST:PATH...
func startLoad(sc *scenario, args []string) (string, error) {
	l := &load{
		done: make(chan struct{}), records: &sc.records,
		histograms: make(map[string]*hdrhistogram.Histogram), outcomes: make(map[string]int),
	}
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	background := flags.Bool("bg", false, "return without waiting for the load to end")
	flags.IntVar(&l.requests, "n", 1000, "requests")
	flags.IntVar(&l.concurrency, "c", 16, "concurrent requests")
	flags.IntVar(&l.teams, "teams", 4, "teams")
	flags.BoolVar(&l.keys, "keys", false, "send an Idempotency-Key with requests other than GET")
	flags.StringVar(&l.work, "work", "1ms", "simulated processing time of a request at its backend")
	flags.DurationVar(&l.deadline, "deadline", 0, "deadline of a request, 0 for none")
	flags.BoolVar(&l.retryNotRun, "repeat", false, "retry requests that were refused as not run, under the same ID")
	flags.Float64Var(&l.minAnswered, "min-answered", 0, "minimum share of requests answered")
	direct := flags.Bool("direct", false, "send without lookups")
	flags.DurationVar(&l.maxUnansweredSpan, "max-miss", loadTimeout, "maximum time between the first and the last request that is not answered")
	flags.StringVar(&l.unusedBackend, "unused", "", "backend that must not execute any request of the load")
	follow := flags.Bool("follow", false, "send to all entries that lookups return")
	timeout := flags.Duration("timeout", 15*time.Second, "timeout of a request at the caller")
	if err := flags.Parse(args); err != nil {
		return "", err
	}
	if sc.load != nil {
		return "", errors.New("a load is already running")
	}
	l.client = newClient(l.concurrency, *timeout)
	l.resolver = &entryResolver{client: newClient(1, time.Second), direct: *direct, follow: *follow}
	if err := l.parseTargets(sc, flags.Args()); err != nil {
		return "", err
	}
	sc.loadCount++
	l.name = fmt.Sprintf("load%d", sc.loadCount)
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	l.cancel = cancel
	sc.load = l
	l.started = time.Now()
	l.group.Go(func() { l.run(ctx) })
	if *background {
		return "", nil
	}
	return waitLoad(sc, nil)
}

// parseTargets sets the bootstrap URLs and the mix.
func (l *load) parseTargets(sc *scenario, args []string) error {
	for name := range strings.SplitSeq(args[0], ",") {
		n, err := sc.node(name)
		if err != nil {
			return err
		}
		l.resolver.bootstrap = append(l.resolver.bootstrap, n.callURL(false))
	}
	for _, text := range args[1:] {
		parts := strings.SplitN(text, ":", 4)
		if len(parts) != 4 {
			return fmt.Errorf("mix %q: want WEIGHT:METHOD:HOST:PATH", text)
		}
		weight, err := strconv.Atoi(parts[0])
		if err != nil || weight < 1 {
			return fmt.Errorf("mix %q: want a weight of 1 or more", text)
		}
		l.mix = append(l.mix, requestKind{weight: weight, method: parts[1], host: parts[2], path: parts[3]})
	}
	return nil
}

func (l *load) run(ctx context.Context) {
	defer close(l.done)
	defer l.client.CloseIdleConnections()
	var group errgroup.Group
	group.SetLimit(l.concurrency)
	for i := range l.requests {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error {
			l.sendOne(i)
			l.finished.Add(1)
			return nil
		})
	}
	_ = group.Wait()
}

// sendOne sends request i, whose content depends only on the seed and on i.
func (l *load) sendOne(i int) {
	random := rand.New(rand.NewPCG(loadSeed, uint64(i)))
	k := l.pickKind(random)
	id := fmt.Sprintf("%s-%d", l.name, i)
	request := callRequest{method: k.method, host: k.host, path: k.path + "?id=" + id, header: http.Header{}}
	request.header.Set("X-Request-Id", id)
	request.header.Set("X-Team", fmt.Sprintf("c%d", random.IntN(l.teams)))
	request.header.Set("X-Standin-Work", l.work)
	if l.deadline > 0 {
		request.header.Set("X-Deadline-Ms", strconv.FormatInt(l.deadline.Milliseconds(), 10))
	}
	want := fmt.Appendf(nil, "%s %s\n", request.method, request.path)
	if k.method != http.MethodGet {
		request.body = slices.Concat(want, bytes.Repeat([]byte{'.'}, random.IntN(maxPaddingBytes)))
		want = request.body
		if l.keys {
			request.header.Set("Idempotency-Key", "key-"+id)
		}
	}
	start := time.Now()
	response, err := l.send(request, i)
	rec := classify(response, err, id, want)
	for l.retryNotRun && rec.outcome == outcomeNotRun && time.Since(start) < retryTimeout {
		l.retries.Add(1)
		<-time.After(retryAfter(response))
		response, err = l.send(request, i)
		rec = classify(response, err, id, want)
	}
	rec.idempotent = k.method == http.MethodGet
	l.records.put(id, rec)
	if rec.outcome == outcomeAnswered {
		l.answered.Add(1)
	}
	l.recordOutcome(k, rec, time.Since(start))
}

// retryAfter returns how long a caller waits before it retries a refused request.
func retryAfter(response callResponse) time.Duration {
	seconds, err := strconv.Atoi(response.header.Get("Retry-After"))
	if err != nil {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

// send tries the entries in order, beginning with the i-th, until a connection is established.
func (l *load) send(request callRequest, i int) (callResponse, error) {
	var response callResponse
	var err error
	entries := l.resolver.entries()
	for attempt := range entries {
		request.base = entries[(i+attempt)%len(entries)]
		response, err = request.send(l.client)
		if !isDialError(err) {
			return response, err
		}
	}
	return response, err
}

// isDialError reports whether the error arose while connecting, so that the request was not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (l *load) pickKind(random *rand.Rand) requestKind {
	total := 0
	for _, k := range l.mix {
		total += k.weight
	}
	at := random.IntN(total)
	for _, k := range l.mix {
		if at -= k.weight; at < 0 {
			return k
		}
	}
	return l.mix[0]
}

// classify returns the outcome as the caller sees it, with a violation if the response does not match the request.
func classify(response callResponse, err error, id string, want []byte) record {
	if err != nil {
		if isDialError(err) {
			return record{outcome: outcomeUnsent}
		}
		return record{outcome: outcomeLost, reason: strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	rec := record{outcome: outcome(response.header.Get("X-Eelgrassbeam-Outcome")), status: response.status, reason: response.header.Get("X-Eelgrassbeam-Reason")}
	if response.header.Get("X-Standin-Id") != "" && rec.outcome == "" {
		rec.outcome = outcomeAnswered
	}
	switch rec.outcome {
	case outcomeAnswered:
		rec.violation = responseMismatch(response, id, want)
	case outcomeNotRun, outcomeUnknown:
	default:
		rec.violation = fmt.Sprintf("status %d with unexpected outcome %q", response.status, rec.outcome)
	}
	return rec
}

// responseMismatch describes how a backend's response differs from the expected one, or returns an empty string.
func responseMismatch(response callResponse, id string, want []byte) string {
	switch got := response.header.Get("X-Request-Id"); {
	case got != id:
		return fmt.Sprintf("answer carries id %q", got)
	case response.status == http.StatusOK && !bytes.Equal(response.body, want):
		return fmt.Sprintf("answer has %d bytes %.80q, want %d bytes %.80q", len(response.body), response.body, len(want), want)
	default:
		return ""
	}
}

func (l *load) recordOutcome(k requestKind, rec record, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := k.method + " " + k.host + k.path
	l.outcomes[strings.TrimSpace(fmt.Sprintf("%s %s %d %s", name, rec.outcome, rec.status, rec.reason))]++
	if at := time.Since(l.started); rec.outcome != outcomeAnswered {
		l.lastUnanswered = at
		if l.firstUnanswered == 0 {
			l.firstUnanswered = at
		}
	}
	h, ok := l.histograms[name]
	if !ok {
		h = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		l.histograms[name] = h
	}
	// Values above the range of the histogram are recorded as its maximum.
	_ = h.RecordValue(min(latency.Microseconds(), time.Minute.Microseconds()))
}

// summary returns the outcomes and latencies of each kind of request as text.
func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.outcomes)) {
		fmt.Fprintf(&out, "%s x %d\n", name, l.outcomes[name])
	}
	fmt.Fprintf(&out, "retries %d, first unanswered at %s, last unanswered at %s of %s\n", l.retries.Load(), l.firstUnanswered, l.lastUnanswered, time.Since(l.started))
	for _, name := range slices.Sorted(maps.Keys(l.histograms)) {
		h := l.histograms[name]
		fmt.Fprintf(&out, "%s p50=%dus p99=%dus max=%dus\n", name, h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max())
	}
	return out.String()
}

// waitLoaded waits until the running load has completed N requests: loaded N.
func waitLoaded(sc *scenario, args []string) (string, error) {
	if sc.load == nil || len(args) != 1 {
		return "", errors.New("usage: loaded N, while a load is running")
	}
	n, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil {
		return "", err
	}
	out, err := poll(waitLoadedTimeout, func() (string, bool, error) { return "", sc.load.finished.Load() >= n, nil })
	if err != nil {
		return out, fmt.Errorf("%w: %d requests finished\n%s", err, sc.load.finished.Load(), sc.load.summary())
	}
	return out, nil
}

// waitLoad waits for the end of the load, checks its limits and prints its summary: waitload.
func waitLoad(sc *scenario, _ []string) (string, error) {
	l := sc.load
	if l == nil {
		return "", errors.New("no load is running")
	}
	<-l.done
	l.cancel()
	sc.load = nil
	if got := l.finished.Load(); got < int64(l.requests) {
		return l.summary(), fmt.Errorf("load ended after %d of %d requests", got, l.requests)
	}
	if share := float64(l.answered.Load()) / float64(l.requests); share < l.minAnswered {
		return l.summary(), fmt.Errorf("%d of %d requests answered, a share of %.6f: want at least %.6f\n%s", l.answered.Load(), l.requests, share, l.minAnswered, l.summary())
	}
	if span := l.lastUnanswered - l.firstUnanswered; span > l.maxUnansweredSpan {
		return l.summary(), fmt.Errorf("requests were not answered during %s: want at most %s", span, l.maxUnansweredSpan)
	}
	return l.summary(), l.checkUnused(sc)
}

// checkUnused returns an error if the unused node has executed a request of this load.
func (l *load) checkUnused(sc *scenario) error {
	if l.unusedBackend == "" {
		return nil
	}
	n, err := sc.node(l.unusedBackend)
	if err != nil {
		return err
	}
	executions := make(map[string]int)
	if _, err := readJournal(n.journal, executions); err != nil {
		return err
	}
	for id := range executions {
		if strings.HasPrefix(id, l.name+"-") {
			return fmt.Errorf("%s executed request %s: want none", l.unusedBackend, id)
		}
	}
	return nil
}
