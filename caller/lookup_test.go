package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/resolver"
)

// staticSource serves a fixed fleet and configuration.
type staticSource struct {
	fleet         *eelgrassbeam.Fleet
	configuration *eelgrassbeam.Configuration
}

func (s staticSource) Fleet() *eelgrassbeam.Fleet { return s.fleet }

func (s staticSource) Configuration() (*eelgrassbeam.Configuration, bool) {
	return s.configuration, s.configuration != nil
}

func newStaticSource(entries int) staticSource {
	source := staticSource{fleet: &eelgrassbeam.Fleet{Revision: 1}, configuration: &eelgrassbeam.Configuration{Version: 7}}
	source.configuration.Defaults.LookupEntries = 3
	source.configuration.Defaults.LookupTTL = eelgrassbeam.Seconds(5)
	for i := range entries {
		source.fleet.Entries = append(source.fleet.Entries, eelgrassbeam.Entry{
			ID: eelgrassbeam.EntryID(fmt.Sprintf("e%05d", i)), Zone: eelgrassbeam.ZoneID(fmt.Sprintf("z%d", i%50)), Region: eelgrassbeam.RegionID(fmt.Sprintf("r%d", i%min(entries, 16))),
			Address: netip.MustParseAddrPort("192.0.2.1:80"), State: eelgrassbeam.InstanceLive,
		})
	}
	return source
}

func newLookup(source staticSource) http.Handler {
	return NewLookup(LookupConfig{
		Self: eelgrassbeam.Entry{ID: "e00000", Region: "r0"}, Clock: clockwork.NewRealClock(), Fleet: source, Configuration: source,
		Resolver: resolver.New(resolver.Config{}), Requests: http.NotFoundHandler(),
	})
}

func TestLookup(t *testing.T) {
	get := func(source staticSource, target string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		newLookup(source).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
		return recorder
	}
	t.Run("returns entries, TTL and version", func(t *testing.T) {
		is := is.New(t)
		recorder := get(newStaticSource(10), "/eelgrassbeam/v1/lookup?client=198.51.100.7")
		is.Equal(recorder.Code, http.StatusOK)
		var answer struct {
			Entries []struct{ ID, Address, Zone string }
			TTL     int    `json:"ttl_seconds"`
			Version uint64 `json:"configuration_version"`
		}
		is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &answer))
		is.Equal(len(answer.Entries), 3)
		is.Equal(answer.TTL, 5)
		is.Equal(answer.Version, uint64(7))
	})
	t.Run("is not ready without a configuration or an entry", func(t *testing.T) {
		is := is.New(t)
		is.Equal(get(staticSource{fleet: &eelgrassbeam.Fleet{}}, "/eelgrassbeam/v1/lookup").Code, http.StatusServiceUnavailable)
		is.Equal(get(newStaticSource(0), "/eelgrassbeam/v1/lookup").Code, http.StatusServiceUnavailable)
	})
	t.Run("passes other paths to the request handler", func(t *testing.T) {
		is.New(t).Equal(get(newStaticSource(1), "/tables").Code, http.StatusNotFound)
	})
}

func BenchmarkLookup(b *testing.B) {
	for _, entries := range []int{10, 7000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			handler := newLookup(newStaticSource(entries))
			request := httptest.NewRequest(http.MethodGet, "/eelgrassbeam/v1/lookup?client=198.51.100.7", nil)
			b.ReportAllocs()
			for b.Loop() {
				handler.ServeHTTP(httptest.NewRecorder(), request)
			}
		})
	}
}
