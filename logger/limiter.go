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
	// categoryLinesPerSecond limits the lines of each other category, such as rejections, retries, unknown outcomes
	// and membership changes.
	categoryLinesPerSecond = 100
	// burstSeconds is the burst allowed for each category, in seconds of its rate.
	burstSeconds = 2
	// maxCategories is the number of categories with a limit of their own; all others share one. It bounds the memory
	// of the Limiter.
	maxCategories = 128

	answeredRequest  = "request_answered"
	fallbackCategory = "other"
)

// Limiter is a logrus.Formatter that limits the rate of lines in each category, which is their event except for
// requests answered at the first attempt. It suppresses the lines above the limit and logs their number.
type Limiter struct {
	formatter logrus.Formatter
	clock     eelgrassbeam.Clock

	mu         sync.Mutex
	categories map[string]*categoryBudget
}

type categoryBudget struct {
	limiter    *rate.Limiter
	suppressed int
}

// NewLimiter returns a Limiter that formats lines with the given formatter.
func NewLimiter(formatter logrus.Formatter, clock eelgrassbeam.Clock) *Limiter {
	return &Limiter{formatter: formatter, clock: clock, categories: make(map[string]*categoryBudget)}
}

// Format implements logrus.Formatter. It returns nil for a suppressed line.
func (l *Limiter) Format(entry *logrus.Entry) ([]byte, error) {
	category := categoryOf(entry)
	suppressed, allowed := l.allow(category, l.clock.Now())
	if !allowed {
		return nil, nil
	}
	line, err := l.formatter.Format(entry)
	if err != nil || suppressed == 0 {
		return line, err
	}
	return fmt.Appendf(line, "time=%q level=info event=log_left_out kind=%s lines=%d\n",
		l.clock.Now().UTC().Format(time.RFC3339Nano), category, suppressed), nil
}

// categoryOf returns the event, but answeredRequest for a request that was answered at the first attempt.
func categoryOf(entry *logrus.Entry) string {
	category, _ := entry.Data["event"].(string)
	if category == "request" && entry.Data["outcome"] == eelgrassbeam.OutcomeAnswered && entry.Data["sent"] == 1 {
		return answeredRequest
	}
	return category
}

// allow reports whether a line of the category is within the limit, and returns the number of lines suppressed since
// the last one allowed.
func (l *Limiter) allow(category string, now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	budget := l.categories[category]
	if budget == nil {
		if len(l.categories) >= maxCategories {
			category = fallbackCategory
		}
		budget = l.categories[category]
	}
	if budget == nil {
		perSecond := categoryLinesPerSecond
		if category == answeredRequest {
			perSecond = requestLinesPerSecond
		}
		budget = &categoryBudget{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond*burstSeconds)}
		l.categories[category] = budget
	}
	if !budget.limiter.AllowN(now, 1) {
		budget.suppressed++
		return 0, false
	}
	suppressed := budget.suppressed
	budget.suppressed = 0
	return suppressed, true
}
