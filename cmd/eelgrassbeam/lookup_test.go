package main

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	goahttp "goa.design/goa/v3/http"

	"github.com/eelgrassbeam/eelgrassbeam/gen/http/lookup/server"
	genlookup "github.com/eelgrassbeam/eelgrassbeam/gen/lookup"
)

// fakeLookup answers with the client's address as the reason.
type fakeLookup struct{}

func (fakeLookup) Lookup(_ context.Context, payload *genlookup.LookupPayload) (*genlookup.LookupAnswer, error) {
	return &genlookup.LookupAnswer{
		Entries:    []*genlookup.LookupEntry{{ID: "e-1", Address: "127.0.0.1:8080", Zone: "austro-a"}},
		TTLSeconds: 5, ConfigurationVersion: 7, Region: "austro", Reason: *payload.Client,
	}, nil
}

func TestLookup(t *testing.T) {
	mux := goahttp.NewMuxer()
	server.New(genlookup.NewEndpoints(fakeLookup{}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil).Mount(mux)
	entry := httptest.NewServer(mux)
	t.Cleanup(entry.Close)
	t.Run("prints the entries for the client", func(t *testing.T) {
		is := is.New(t)
		checkResult(is, newFixture(t).run("", "lookup", "--caller-url", entry.URL, "--client", "192.0.2.9"), exitOK,
			"region austro", "reason 192.0.2.9", "keep for 5 s", "127.0.0.1:8080")
	})
	t.Run("rejects an invalid client address", func(t *testing.T) {
		is := is.New(t)
		checkResult(is, newFixture(t).run("", "lookup", "--caller-url", entry.URL, "--client", "phone"), exitFailed)
	})
}
