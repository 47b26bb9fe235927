package upstream

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// exchangeNotice returns the notice in the reply to a request that is answered with the header and status.
func exchangeNotice(t *testing.T, status int, header map[string]string) *eelgrassbeam.Notice {
	t.Helper()
	target, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
	})
	c := newClient(t)
	c.config.Dialect = Dialect{ExpectedID: "X-Expected", NotRun: "X-Not-Run", Limit: "X-Limit", Leaving: "X-Leaving"}
	reply, _ := c.Exchange(testContext(t), target, newPost("r1", ""), testLimits)
	return reply.Notice
}

func TestNotice(t *testing.T) {
	for value, want := range map[string]float64{
		"2.5": 2.5, "0": minLimit, "1e400": 0, "NaN": 0, "Inf": 0, "-1": 0, "many": 0, "": 0,
	} {
		t.Run("limit "+value, func(t *testing.T) {
			is.New(t).Equal(*exchangeNotice(t, http.StatusOK, map[string]string{"X-Limit": value}), eelgrassbeam.Notice{Limit: want})
		})
	}
	for value, want := range map[string]bool{"1": true, "0": false, "": false} {
		t.Run("leaving "+value, func(t *testing.T) {
			is.New(t).Equal(*exchangeNotice(t, http.StatusOK, map[string]string{"X-Leaving": value}), eelgrassbeam.Notice{IsLeaving: want})
		})
	}
	for value, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.25": 250 * time.Millisecond, "1e400": 0, "1e300": maxRetryAfter, "0": 0, "-1": 0, "NaN": 0, "soon": 0,
	} {
		t.Run("retry after "+value, func(t *testing.T) {
			header := map[string]string{"Retry-After": value, "X-Not-Run": "full"}
			is.New(t).Equal(*exchangeNotice(t, http.StatusServiceUnavailable, header), eelgrassbeam.Notice{RetryAfter: want})
			is.New(t).Equal(*exchangeNotice(t, http.StatusOK, header), eelgrassbeam.Notice{})
		})
	}
	t.Run("a rejection has one too", func(t *testing.T) {
		notice := exchangeNotice(t, http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "full", "X-Leaving": "1", "X-Limit": "3"})
		is.New(t).Equal(*notice, eelgrassbeam.Notice{Limit: 3, IsLeaving: true})
	})
	// Guards against conclusions about an upstream from the response of another one that has its address now.
	t.Run("of another upstream", func(t *testing.T) {
		is.New(t).Equal(exchangeNotice(t, http.StatusMisdirectedRequest, map[string]string{"X-Leaving": "1"}), nil)
	})
	t.Run("of another request", func(t *testing.T) {
		is.New(t).Equal(exchangeNotice(t, http.StatusOK, map[string]string{"X-Leaving": "1", HeaderRequestID: "r0"}), nil)
	})
}
