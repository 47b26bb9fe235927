package main

import (
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	goahttp "goa.design/goa/v3/http"

	lookupclient "github.com/eelgrassbeam/eelgrassbeam/gen/http/lookup/client"
	operatorclient "github.com/eelgrassbeam/eelgrassbeam/gen/http/operator/client"
	genlookup "github.com/eelgrassbeam/eelgrassbeam/gen/lookup"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
)

// connection is one entry's address with what became of the last call to it.
type connection struct {
	address string
	scheme  string
	host    string
	client  *http.Client
	// sent tells whether the last call got a connection, so that the entry may have received it.
	sent atomic.Bool
	// code is the HTTP status of the last call, 0 without an answer.
	code atomic.Int64
}

func newConnection(address string, client *http.Client, isSecure bool) *connection {
	scheme := "http"
	if isSecure {
		scheme = "https"
	}
	host := address
	if before, after, ok := strings.Cut(address, "://"); ok {
		scheme, host = before, after
	}
	return &connection{address: address, scheme: scheme, host: strings.TrimRight(host, "/"), client: client}
}

// Do implements goahttp.Doer and records what became of the call.
func (c *connection) Do(request *http.Request) (*http.Response, error) {
	c.sent.Store(false)
	c.code.Store(0)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.sent.Store(true) }}
	response, err := c.client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err == nil {
		c.code.Store(int64(response.StatusCode))
	}
	return response, err
}

// isRefused tells whether the entry refused the last call as wrong, so that no other entry would take it.
func (c *connection) isRefused() bool {
	code := c.code.Load()
	return code >= http.StatusBadRequest && code < http.StatusInternalServerError
}

func (c *connection) operator() *genoperator.Client {
	h := operatorclient.NewClient(c.scheme, c.host, c, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return genoperator.NewClient(h.GetConfiguration(), h.ApplyConfiguration(), h.AddException(), h.ListExceptions(),
		h.RemoveException(), h.Status(), h.Decisions())
}

func (c *connection) lookup() *genlookup.Client {
	h := lookupclient.NewClient(c.scheme, c.host, c, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return genlookup.NewClient(h.Lookup())
}
