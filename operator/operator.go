// Package operator serves the HTTP API for operators on an entry.
package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"
	goahttp "goa.design/goa/v3/http"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/gen/http/operator/server"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
)

// maxBodyBytes is the maximum size of a request body; the platform stores values of up to one megabyte.
const maxBodyBytes = 2 << 20

// Backend provides what the operator API reads and changes.
type Backend interface {
	eelgrassbeam.ConfigurationSource
	// Apply validates and stores the change and returns the configuration as stored. If a change with the same ID is
	// already stored, it returns the stored configuration. A dry run makes the same checks, but stores nothing and
	// returns the configuration with version 0. The error is a *ConflictError, or wraps eelgrassbeam.ErrInvalid,
	// ErrNotStored or eelgrassbeam.ErrUnavailable; after ErrUnavailable the outcome is unknown. Applier implements the
	// method with a ConfigWriter.
	Apply(ctx context.Context, change Change) (*eelgrassbeam.Configuration, error)
	// Status returns the fleet's status. Errors wrap eelgrassbeam.ErrUnavailable.
	Status(ctx context.Context) (Status, error)
	// Decisions returns recent decisions, newest first.
	Decisions(filter logger.Filter) []logger.Decision
}

// Config configures the handler of the operator API.
type Config struct {
	Backend Backend
	Log     logrus.FieldLogger
	Clock   eelgrassbeam.Clock
	// Health, Ready and Metrics serve /healthz, /readyz and /metrics; the path of a nil handler is not served.
	Health  http.Handler
	Ready   http.Handler
	Metrics http.Handler
}

// New returns the handler of the operator API.
func New(config Config) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := genoperator.NewEndpoints(&service{config: config})
	errorHandler := func(_ context.Context, _ http.ResponseWriter, err error) {
		config.Log.WithFields(logrus.Fields{"event": "operator_answer_failed"}).WithError(err).Warn("")
	}
	server.New(endpoints, mux, decodeJSON, encodeJSON, errorHandler, nil).Mount(mux)
	mount(mux, "/healthz", config.Health)
	mount(mux, "/readyz", config.Ready)
	mount(mux, "/metrics", config.Metrics)
	return http.MaxBytesHandler(mux, maxBodyBytes)
}

func mount(mux goahttp.Muxer, path string, handler http.Handler) {
	if handler != nil {
		mux.Handle(http.MethodGet, path, handler.ServeHTTP)
	}
}

// decodeJSON decodes bodies as JSON regardless of their content type, since documents are always JSON.
func decodeJSON(r *http.Request) goahttp.Decoder { return json.NewDecoder(r.Body) }

func encodeJSON(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}
