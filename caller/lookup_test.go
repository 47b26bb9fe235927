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
	"github.com/eelgrassbeam/eelgrassbeam/placer"
)

// held is a fleet and a configuration that stay.
type held struct {
	fleet         *eelgrassbeam.Fleet
	configuration *eelgrassbeam.Configuration
}

func (h held) Fleet() *eelgrassbeam.Fleet { return h.fleet }

func (h held) Configuration() (*eelgrassbeam.Configuration, bool) {
	return h.configuration, h.configuration != nil
}

func newHeld(entries int) held {
	h := held{fleet: &eelgrassbeam.Fleet{Revision: 1}, configuration: &eelgrassbeam.Configuration{Version: 7}}
	h.configuration.Defaults.LookupEntries = 3
	h.configuration.Defaults.LookupTTL = eelgrassbeam.Seconds(5)
	for i := range entries {
		h.fleet.Entries = append(h.fleet.Entries, eelgrassbeam.Entry{
			ID: eelgrassbeam.EntryID(fmt.Sprintf("e%05d", i)), Zone: eelgrassbeam.ZoneID(fmt.Sprintf("z%d", i%50)), Region: eelgrassbeam.RegionID(fmt.Sprintf("r%d", i%min(entries, 16))),
			Address: netip.MustParseAddrPort("192.0.2.1:80"), State: eelgrassbeam.InstanceLive,
		})
	}
	return h
}

func newLookup(h held) http.Handler {
	return NewLookup(LookupConfig{
		Self: eelgrassbeam.Entry{ID: "e00000", Region: "r0"}, Clock: clockwork.NewRealClock(), Fleet: h, Configuration: h,
		Placer: placer.New(placer.Config{}), Requests: http.NotFoundHandler(),
	})
}

func TestLookup(t *testing.T) {
	look := func(h held, target string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		newLookup(h).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
		return recorder
	}
	t.Run("names entries, TTL and version", func(t *testing.T) {
		is := is.New(t)
		recorder := look(newHeld(10), "/eelgrassbeam/v1/lookup?client=198.51.100.7")
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
		is.Equal(look(held{fleet: &eelgrassbeam.Fleet{}}, "/eelgrassbeam/v1/lookup").Code, http.StatusServiceUnavailable)
		is.Equal(look(newHeld(0), "/eelgrassbeam/v1/lookup").Code, http.StatusServiceUnavailable)
	})
	t.Run("passes other paths on", func(t *testing.T) {
		is.New(t).Equal(look(newHeld(1), "/tables").Code, http.StatusNotFound)
	})
}

func BenchmarkLookup(b *testing.B) {
	for _, entries := range []int{10, 7000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			handler := newLookup(newHeld(entries))
			request := httptest.NewRequest(http.MethodGet, "/eelgrassbeam/v1/lookup?client=198.51.100.7", nil)
			b.ReportAllocs()
			for b.Loop() {
				handler.ServeHTTP(httptest.NewRecorder(), request)
			}
		})
	}
}
