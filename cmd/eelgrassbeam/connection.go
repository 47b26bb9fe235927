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

// connection is a client of one entry. It records whether the last call may have reached the entry, and the HTTP status
// of the response.
type connection struct {
	address string
	scheme  string
	host    string
	client  *http.Client
	// gotConn reports whether the last call obtained a network connection, so that the entry may have received it.
	gotConn atomic.Bool
	// statusCode is the HTTP status of the last call, or 0 if there was no response.
	statusCode atomic.Int64
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

// Do implements goahttp.Doer. It records whether the call obtained a connection and the status of the response.
func (c *connection) Do(request *http.Request) (*http.Response, error) {
	c.gotConn.Store(false)
	c.statusCode.Store(0)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.gotConn.Store(true) }}
	response, err := c.client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err == nil {
		c.statusCode.Store(int64(response.StatusCode))
	}
	return response, err
}

// isRejected reports whether the entry rejected the last call as a client error (4xx), so that other entries would
// reject it as well.
func (c *connection) isRejected() bool {
	code := c.statusCode.Load()
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
