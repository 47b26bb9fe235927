package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// timeRecorder is a Sender that records how long the latest request may take.
type timeRecorder struct{ left time.Duration }

func (r *timeRecorder) Send(_ context.Context, request eelgrassbeam.Request) eelgrassbeam.Reply {
	r.left = request.TimeLeft.Duration
	return eelgrassbeam.Reply{RequestID: request.ID, Outcome: eelgrassbeam.OutcomeAnswered, Status: http.StatusOK}
}

// Guards against requests that are cut because they outlast the stop of this entry.
func TestTimeLimit(t *testing.T) {
	source := newStaticSource(1)
	source.configuration.Defaults.BodyLimitBytes = 1
	source.configuration.Defaults.Services = []eelgrassbeam.Service{{
		Name: "booking", Hosts: []string{"example.com"}, Routes: []eelgrassbeam.Route{{Method: http.MethodGet, PathPrefix: "/", Rank: eelgrassbeam.RankUrgent}},
	}}
	for limit, want := range map[time.Duration]time.Duration{time.Hour: 5 * time.Second, time.Second: time.Second, 0: 0, -time.Second: 0} {
		t.Run(limit.String(), func(t *testing.T) {
			is := is.New(t)
			sent := &timeRecorder{}
			handler := New(Config{
				Clock: clockwork.NewRealClock(), Log: logrus.New(), Registerer: prometheus.NewRegistry(), Configuration: source, Sender: sent,
				TimeLimit: func() time.Duration { return limit },
			})
			request := httptest.NewRequest(http.MethodGet, "/", nil)
			request.Header.Set(HeaderDeadline, "5000")
			request.Header.Set(HeaderTeam, "a")
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			is.Equal(sent.left, want)
			if want == 0 {
				is.Equal(recorder.Code, http.StatusServiceUnavailable)
				is.True(strings.Contains(recorder.Body.String(), `"reason":"stopping","not_run":true`))
			}
		})
	}
}
