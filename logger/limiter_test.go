package logger

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func newLimitedLog(out io.Writer) (*logrus.Logger, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(NewLimiter(&logrus.TextFormatter{DisableColors: true}, clock))
	return log, clock
}

func logRequest(log logrus.FieldLogger, outcome eelgrassbeam.Outcome) {
	log.WithFields(logrus.Fields{"event": "request", "outcome": outcome, "sent": 1}).Info("")
}

func TestLimiter(t *testing.T) {
	t.Run("suppresses answered requests but not rejections", func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log, clock := newLimitedLog(&out)
		for range 10000 {
			logRequest(log, eelgrassbeam.OutcomeAnswered)
		}
		logRequest(log, eelgrassbeam.OutcomeNotRun)
		is.Equal(strings.Count(out.String(), "outcome=answered"), requestLinesPerSecond*burstSeconds)
		is.Equal(strings.Count(out.String(), "outcome=not_run"), 1)
		clock.Advance(time.Second)
		logRequest(log, eelgrassbeam.OutcomeAnswered)
		is.True(strings.Contains(out.String(), "event=log_left_out kind=request_answered lines=9960"))
	})
	t.Run("limits the number of categories", func(t *testing.T) {
		is := is.New(t)
		l := NewLimiter(&logrus.TextFormatter{}, clockwork.NewFakeClock())
		for i := range 10 * maxCategories {
			l.allow(strings.Repeat("k", i+1), l.clock.Now())
		}
		is.True(len(l.categories) <= maxCategories+1)
	})
}

// blockedOutput blocks writes until it is released, like a standard output that nobody reads.
type blockedOutput struct{ released chan struct{} }

func (b blockedOutput) Write(p []byte) (int, error) {
	<-b.released
	return len(p), nil
}

func TestWriterDoesNotBlock(t *testing.T) {
	is := is.New(t)
	output := blockedOutput{released: make(chan struct{})}
	w := NewWriter(output)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	for range 3 * maxQueuedLines { // blocks forever if Write waits for the output
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, len("line\n"))
	}
	is.True(w.Dropped() >= 2*maxQueuedLines-1)
	cancel()
	close(output.released)
	is.NoErr(group.Wait())
}
