package operator

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func loadExample(t *testing.T, name string) eelgrassbeam.Configuration {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("..", "examples", name))
	is.NoErr(err)
	configuration, err := DecodeDocument(data)
	is.NoErr(err)
	var plain eelgrassbeam.Configuration
	is.NoErr(json.Unmarshal(data, &plain))
	return configuration
}

func TestExamples(t *testing.T) {
	for name, want := range map[string]struct {
		services []eelgrassbeam.ServiceName
		slots    int
		// nonIdempotent lists the routes whose requests must run at most once.
		nonIdempotent []string
	}{
		"consorcio.json": {
			services: []eelgrassbeam.ServiceName{"booking", "events"}, slots: 3,
			nonIdempotent: []string{"booking /confirmations", "events /holds"},
		},
		"sencnik.json": {
			services: []eelgrassbeam.ServiceName{"orders", "stock"}, slots: 5,
			nonIdempotent: []string{"orders /orders", "orders /cuts"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			configuration := loadExample(t, name)
			for i, service := range configuration.Defaults.Services {
				is.Equal(service.Name, want.services[i])
				is.Equal(service.SlotsPerUpstream, want.slots)
				is.Equal(len(service.Ranks), eelgrassbeam.RankCount)
				for _, path := range []string{"/confirmations", "/holds", "/orders", "/cuts"} {
					if !slices.Contains(want.nonIdempotent, string(service.Name)+" "+path) {
						continue
					}
					route, ok := service.Route(http.MethodPost, path)
					is.True(ok)
					is.Equal(route.PathPrefix, path)
					is.True(!route.Idempotent)
				}
				unknown, ok := service.Route(http.MethodPost, "/anything")
				is.True(ok && !unknown.Idempotent)
			}
		})
	}
}
