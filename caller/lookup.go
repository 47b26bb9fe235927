package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"

	goahttp "goa.design/goa/v3/http"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/gen/http/lookup/server"
	"github.com/eelgrassbeam/eelgrassbeam/gen/lookup"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/resolver"
)

var (
	errNoConfiguration = errors.New("no configuration yet")
	errNoEntry         = errors.New("no entry is usable")
)

// LookupConfig configures the lookup service.
type LookupConfig struct {
	Self          eelgrassbeam.Entry
	Clock         eelgrassbeam.Clock
	Decisions     *logger.Logger
	Fleet         eelgrassbeam.FleetSource
	Configuration eelgrassbeam.ConfigurationSource
	Resolver      *resolver.Resolver
	// Requests serves all other paths.
	Requests http.Handler
}

// NewLookup returns a handler that answers lookups and passes all other requests to config.Requests.
func NewLookup(config LookupConfig) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := lookup.NewEndpoints(&lookupService{config: config})
	server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil).Mount(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != server.LookupLookupPath() {
			config.Requests.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), clientKey{}, clientAddress(r))))
	})
}

type clientKey struct{}

// clientAddress returns the caller's remote address, or the zero Addr if it does not parse.
func clientAddress(r *http.Request) netip.Addr {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	address, err := netip.ParseAddr(host)
	if err != nil {
		return netip.Addr{}
	}
	return address.Unmap()
}

type lookupService struct{ config LookupConfig }

// Lookup implements lookup.Service.
func (s *lookupService) Lookup(ctx context.Context, payload *lookup.LookupPayload) (*lookup.LookupAnswer, error) {
	configuration, ok := s.config.Configuration.Configuration()
	if !ok {
		return nil, lookup.MakeNotReady(errNoConfiguration)
	}
	client, _ := ctx.Value(clientKey{}).(netip.Addr)
	if payload.Client != nil {
		if given, err := netip.ParseAddr(*payload.Client); err == nil {
			client = given.Unmap()
		}
	}
	fleet := s.config.Fleet.Fleet()
	placement, ok := s.config.Resolver.Resolve(fleet, configuration, client, s.config.Self.Region, s.config.Clock.Now())
	if !ok {
		return nil, lookup.MakeNotReady(errNoEntry)
	}
	s.recordDecision(client, fleet, configuration, placement)
	return answerOf(configuration, placement), nil
}

func answerOf(configuration *eelgrassbeam.Configuration, placement resolver.Placement) *lookup.LookupAnswer {
	answer := &lookup.LookupAnswer{
		TTLSeconds:           int(configuration.Defaults.LookupTTL.Seconds()),
		ConfigurationVersion: configuration.Version,
		Region:               string(placement.Region),
		Reason:               string(placement.Reason),
	}
	for _, entry := range placement.Entries {
		answer.Entries = append(answer.Entries, &lookup.LookupEntry{
			ID: string(entry.ID), Address: entry.Address.String(), Zone: string(entry.Zone),
		})
	}
	return answer
}

func (s *lookupService) recordDecision(
	client netip.Addr, fleet *eelgrassbeam.Fleet, configuration *eelgrassbeam.Configuration, placement resolver.Placement,
) {
	s.config.Decisions.Record(logger.Decision{
		Kind:     logger.KindPlacement,
		Versions: logger.Versions{Configuration: configuration.Version, Fleet: fleet.Revision},
		Choice:   string(placement.Entries[0].ID), Reason: string(placement.Reason),
		Fields: logger.Fields{
			logger.Text("client", client.String()), logger.Text("region", placement.Region),
			logger.Int("entries", len(placement.Entries)),
		},
	})
}
