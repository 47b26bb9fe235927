// Package operator serves the operators' HTTP interface of an entry.
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

// maxBodyBytes bounds a request body; the platform holds values up to a megabyte.
const maxBodyBytes = 2 << 20

// Backend is what the operators' interface reads and changes.
type Backend interface {
	eelgrassbeam.ConfigurationSource
	// Apply checks and stores the change and returns the configuration as stored. A change whose id is
	// already stored is returned as it stands. A dry run also compares the expected version and checks
	// the set, and returns it under version 0 without storing it. Errors are a *ConflictError, or wrap
	// eelgrassbeam.ErrInvalid, ErrNotStored or eelgrassbeam.ErrUnavailable; after the last the outcome is
	// unknown. An Applier implements it over a changer.
	Apply(ctx context.Context, change Change) (*eelgrassbeam.Configuration, error)
	// Status returns the fleet's status. Errors wrap eelgrassbeam.ErrUnavailable.
	Status(ctx context.Context) (Status, error)
	// Decisions returns recent decisions, newest first.
	Decisions(filter logger.Filter) []logger.Decision
}

// Config configures the handler of the operators' listener.
type Config struct {
	Backend Backend
	Log     logrus.FieldLogger
	Clock   eelgrassbeam.Clock
	// Health, Ready and Metrics serve /healthz, /readyz and /metrics; nil leaves the path out.
	Health  http.Handler
	Ready   http.Handler
	Metrics http.Handler
}

// New returns the handler of the operators' listener.
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

// decodeJSON decodes bodies as JSON whatever their content type, since documents are JSON only.
func decodeJSON(r *http.Request) goahttp.Decoder { return json.NewDecoder(r.Body) }

func encodeJSON(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}
