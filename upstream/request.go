package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// parseTarget returns a URL that is sent byte for byte as the target, which is in origin form or "*". It rejects the method
// CONNECT.
func parseTarget(request eelgrassbeam.Request) (*url.URL, error) {
	if request.Method == http.MethodConnect {
		return nil, fmt.Errorf("%w: method %s", ErrTarget, request.Method)
	}
	if !strings.HasPrefix(request.Target, "/") && request.Target != "*" {
		return nil, fmt.Errorf("%w: %q", ErrTarget, request.Target)
	}
	parsed, err := url.ParseRequestURI(request.Target)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTarget, err)
	}
	if parsed.RequestURI() == request.Target {
		return parsed, nil
	}
	// net/url would escape the path anew, and %2F would become a slash. It can't keep two slashes at the start then.
	if strings.HasPrefix(request.Target, "//") {
		return nil, fmt.Errorf("%w: %q", ErrTarget, request.Target)
	}
	return &url.URL{Opaque: request.Target}, nil
}

// outgoing returns the request to send to the upstream. Its body can't be replayed, since GetBody is not set.
func (c *Client) outgoing(
	ctx context.Context, request eelgrassbeam.Request, target eelgrassbeam.Upstream,
) (*http.Request, error) {
	parsed, err := parseTarget(request)
	if err != nil {
		return nil, err
	}
	parsed.Scheme, parsed.Host = "http", target.Address.String()
	header, err := c.outgoingHeader(ctx, request, target)
	if err != nil {
		return nil, err
	}
	outgoing := &http.Request{
		Method: request.Method, URL: parsed, Host: request.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
		outgoing.ContentLength = int64(len(request.Body))
	}
	return outgoing.WithContext(ctx), nil
}

func (c *Client) outgoingHeader(
	ctx context.Context, request eelgrassbeam.Request, target eelgrassbeam.Upstream,
) (http.Header, error) {
	header := endToEnd(request.Header)
	for _, name := range strippedRequestHeaders {
		header.Del(name)
	}
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own User-Agent
	}
	header.Set(HeaderRequestID, string(request.ID))
	if request.IdempotencyKey != "" {
		header.Set(HeaderIdempotencyKey, string(request.IdempotencyKey))
	}
	if name := c.config.Dialect.Team; name != "" && request.Team != "" {
		header.Set(name, string(request.Team))
	}
	if name := c.config.Dialect.ExpectedID; name != "" {
		header.Set(name, string(target.ID))
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return header, nil
	}
	left := deadline.Sub(c.config.Clock.Now()) - c.config.ResponseMargin
	if left <= 0 {
		return nil, context.DeadlineExceeded
	}
	header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	return header, nil
}
