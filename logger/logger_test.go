package logger

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

func newTestLogger(size, sample int) (*Logger, *bytes.Buffer) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true})
	return New(Config{Log: log, Size: size, Sample: sample, Clock: clockwork.NewFakeClock()}), &out
}

func newDecision(choice string) Decision {
	return Decision{
		Kind: KindDispatch, Request: "r-1", Versions: Versions{Configuration: 7, Fleet: 3},
		Choice: choice, Reason: "least_loaded", Fields: Fields{Int("waiting", 2), Text("zone", "a")},
	}
}

func TestRecord(t *testing.T) {
	t.Run("logs one line with inputs, choice and reason", func(t *testing.T) {
		is := is.New(t)
		l, out := newTestLogger(4, 1)
		l.Record(newDecision("up-1"))
		is.Equal(strings.Count(out.String(), "\n"), 1)
		for _, want := range []string{
			"event=decision", "kind=dispatch", "request_id=r-1", "configuration_version=7",
			"fleet_revision=3", "choice=up-1", "reason=least_loaded", "waiting=2", "zone=a",
		} {
			is.True(strings.Contains(out.String(), want))
		}
	})
	t.Run("samples lines but keeps all decisions", func(t *testing.T) {
		is := is.New(t)
		l, out := newTestLogger(16, 4)
		for range 8 {
			l.Record(newDecision("up-1"))
		}
		is.Equal(strings.Count(out.String(), "\n"), 2)
		is.Equal(len(l.Recent(Filter{})), 8)
	})
	t.Run("does not allocate when logging is disabled", func(t *testing.T) {
		is := is.New(t)
		l := New(Config{Size: 16, Clock: clockwork.NewFakeClock()})
		is.Equal(testing.AllocsPerRun(100, func() { l.Record(newDecision("up-1")) }), 0.0)
	})
}

func TestRecent(t *testing.T) {
	t.Run("returns the newest first and overwrites the oldest", func(t *testing.T) {
		is := is.New(t)
		l, _ := newTestLogger(3, 1)
		for _, choice := range []string{"a", "b", "c", "d"} {
			l.Record(newDecision(choice))
		}
		recent := l.Recent(Filter{})
		is.Equal(len(recent), 3)
		is.Equal(recent[0].Choice, "d")
		is.Equal(recent[2].Choice, "b")
	})
	t.Run("filters by kind and request up to the limit", func(t *testing.T) {
		is := is.New(t)
		l, _ := newTestLogger(8, 1)
		l.Record(newDecision("a"))
		l.Record(Decision{Kind: KindAdmission, Request: "r-2", Choice: "refuse"})
		l.Record(newDecision("b"))
		is.Equal(len(l.Recent(Filter{Kind: KindDispatch})), 2)
		is.Equal(l.Recent(Filter{Request: "r-2"})[0].Choice, "refuse")
		is.Equal(len(l.Recent(Filter{Limit: 1})), 1)
	})
	t.Run("round-trips through JSON", func(t *testing.T) {
		is := is.New(t)
		data, err := json.Marshal(newDecision("a"))
		is.NoErr(err)
		var got Decision
		is.NoErr(json.Unmarshal(data, &got))
		is.Equal(got.Fields[0].Value(), "2")
		is.Equal(got.Versions, newDecision("a").Versions)
	})
}
