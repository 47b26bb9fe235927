package logger

import (
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// requestLinesPerSecond limits the lines for requests answered at the first attempt; 20 are enough to characterize
	// the load.
	requestLinesPerSecond = 20
	// kindLinesPerSecond limits the lines of each other kind, such as rejections, retries, unknown outcomes and
	// membership changes.
	kindLinesPerSecond = 100
	// burstSeconds is the burst allowed for each kind, in seconds of its rate.
	burstSeconds = 2
	// maxKinds is the number of kinds with a limit of their own; all others share one.
	maxKinds = 128

	answeredRequest = "request_answered"
	fallbackKind    = "other"
)

// Limiter is a logrus.Formatter that limits the rate of lines for each kind of event. It suppresses the lines above
// the limit and logs their number.
type Limiter struct {
	formatter logrus.Formatter
	clock     eelgrassbeam.Clock

	mu    sync.Mutex
	kinds map[string]*kindBudget
}

type kindBudget struct {
	limiter    *rate.Limiter
	suppressed int
}

// NewLimiter returns a Limiter that formats lines with the given formatter.
func NewLimiter(formatter logrus.Formatter, clock eelgrassbeam.Clock) *Limiter {
	return &Limiter{formatter: formatter, clock: clock, kinds: make(map[string]*kindBudget)}
}

// Format implements logrus.Formatter. It returns nil for a suppressed line.
func (l *Limiter) Format(entry *logrus.Entry) ([]byte, error) {
	kind := kindOf(entry)
	suppressed, allowed := l.allow(kind, l.clock.Now())
	if !allowed {
		return nil, nil
	}
	line, err := l.formatter.Format(entry)
	if err != nil || suppressed == 0 {
		return line, err
	}
	return fmt.Appendf(line, "time=%q level=info event=log_left_out kind=%s lines=%d\n",
		l.clock.Now().UTC().Format(time.RFC3339Nano), kind, suppressed), nil
}

// kindOf returns the event, but answeredRequest for a request that was answered at the first attempt.
func kindOf(entry *logrus.Entry) string {
	kind, _ := entry.Data["event"].(string)
	if kind == "request" && entry.Data["outcome"] == eelgrassbeam.OutcomeAnswered && entry.Data["sent"] == 1 {
		return answeredRequest
	}
	return kind
}

// allow reports whether a line of the kind is within the limit, and returns the number of lines suppressed since the
// last one allowed.
func (l *Limiter) allow(kind string, now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	budget := l.kinds[kind]
	if budget == nil {
		if len(l.kinds) >= maxKinds {
			kind = fallbackKind
		}
		budget = l.kinds[kind]
	}
	if budget == nil {
		perSecond := kindLinesPerSecond
		if kind == answeredRequest {
			perSecond = requestLinesPerSecond
		}
		budget = &kindBudget{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond*burstSeconds)}
		l.kinds[kind] = budget
	}
	if !budget.limiter.AllowN(now, 1) {
		budget.suppressed++
		return 0, false
	}
	suppressed := budget.suppressed
	budget.suppressed = 0
	return suppressed, true
}
