package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/headchecker"
)

// maxQuotedBytes is the maximum length of a header value that is quoted in an error.
const maxQuotedBytes = 128

// IsLeaving reports whether the reply says that the upstream accepts no new requests.
func IsLeaving(reply eelgrassbeam.Reply) bool { return isTrue(reply.Header, HeaderLeaving) }

// receive reads the complete response and checks that it belongs to the request.
func (c *Client) receive(
	ctx context.Context, conn *connection, response *http.Response, request eelgrassbeam.Request, space *reservation,
) (eelgrassbeam.Reply, error) {
	if err := headchecker.Check(response); err != nil {
		return eelgrassbeam.Reply{}, fmt.Errorf("%w: %w", ErrHead, err)
	}
	if err := c.checkRequestID(response, request.ID, space.limits); err != nil {
		return eelgrassbeam.Reply{}, err
	}
	if c.lacksReceipt(response) && !space.limits.isQuery {
		return eelgrassbeam.Reply{}, fmt.Errorf("%w: status %d without %s", ErrReceipt, response.StatusCode, c.config.Dialect.Receipt)
	}
	body, err := c.readBody(ctx, conn, response, request.Method, space)
	if err != nil {
		return eelgrassbeam.Reply{}, err
	}
	if c.isMisdirected(response) {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonUpstreamRefused), ErrMisdirected
	}
	if c.isShed(response) {
		return shedReply(response, request.ID), fmt.Errorf("%w: status %d", ErrShed, response.StatusCode)
	}
	return eelgrassbeam.Reply{
		RequestID: request.ID, Outcome: eelgrassbeam.OutcomeAnswered,
		Status: response.StatusCode, Header: responseHeader(response.Header), Body: body,
	}, nil
}

func (c *Client) checkRequestID(response *http.Response, id eelgrassbeam.RequestID, limits Limits) error {
	got := response.Header.Values(HeaderRequestID)
	switch {
	case !c.guards.requestID:
		return nil
	case len(got) == 0 && (c.config.AcceptMissingID || limits.isQuery):
		return nil
	case len(got) != 1 || got[0] != string(id):
		return fmt.Errorf("%w: got %d of them, %.*q", ErrRequestIDMismatch, len(got), maxQuotedBytes, got[:min(len(got), 1)])
	default:
		return nil
	}
}

// readBody returns the complete body, or an error if its end can't be verified.
func (c *Client) readBody(ctx context.Context, conn *connection, response *http.Response, method string, space *reservation) ([]byte, error) {
	limit := space.limits.BodyBytes
	if isBodiless(response.StatusCode, method) {
		return nil, nil
	}
	if response.ContentLength > limit {
		return nil, fmt.Errorf("%w: %d bytes declared, limit %d", ErrTooLarge, response.ContentLength, limit)
	}
	if c.guards.complete && !c.config.Dialect.AcceptUnframed && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return nil, fmt.Errorf("%w: its end can't be verified without Content-Length or chunked encoding", ErrTruncated)
	}
	body, err := readLimited(ctx, response.Body, response.ContentLength, space)
	switch {
	case errors.Is(err, ErrTooLarge), errors.Is(err, ErrNoBuffer):
		return nil, err
	case err != nil && c.guards.complete:
		return nil, errors.Join(ErrTruncated, conn.wrapError(err))
	case c.guards.complete && response.ContentLength >= 0 && int64(len(body)) != response.ContentLength:
		return nil, fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(body), response.ContentLength)
	default:
		return body, nil
	}
}

// readLimited reads a body of the declared length, or of any length if that is negative. It reserves buffer space before
// it allocates it. It returns ErrTooLarge above the limit, ErrNoBuffer without space, and the error of a failed read.
func readLimited(ctx context.Context, body io.Reader, declared int64, space *reservation) ([]byte, error) {
	var buffer []byte
	limit, reserved := space.limits.BodyBytes, int64(0)
	grow := func(capacity int64) error {
		if err := space.add(ctx, capacity-reserved); err != nil {
			return err
		}
		reserved = capacity
		buffer = slices.Grow(buffer, int(capacity)-len(buffer))
		return nil
	}
	if err := grow(max(declared, 0) + bytes.MinRead); err != nil {
		return nil, err
	}
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > limit:
			return nil, fmt.Errorf("%w: limit %d", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return buffer, err
		case len(buffer) == cap(buffer):
			if err := grow(min(2*int64(cap(buffer)), limit+bytes.MinRead)); err != nil {
				return nil, err
			}
		}
	}
}

func isBodiless(status int, method string) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// isShed reports whether the response says that the request was not run.
func (c *Client) isShed(response *http.Response) bool {
	if name := c.config.Dialect.NotRun; name != "" && len(response.Header.Values(name)) > 0 {
		return true
	}
	unavailable := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusGatewayTimeout
	return unavailable && isTrue(response.Header, HeaderShed)
}

// isMisdirected reports whether the request was rejected by an upstream with a different ID than the expected one.
func (c *Client) isMisdirected(response *http.Response) bool {
	return c.config.Dialect.ExpectedID != "" && response.StatusCode == http.StatusMisdirectedRequest
}

// lacksReceipt reports whether the response is a 2xx without the receipt that the dialect requires.
func (c *Client) lacksReceipt(response *http.Response) bool {
	name := c.config.Dialect.Receipt
	return name != "" && response.StatusCode < http.StatusMultipleChoices && response.Header.Get(name) == ""
}

// isFromUpstream reports whether the response belongs to the request and comes from the upstream that it was meant for.
func (c *Client) isFromUpstream(response *http.Response, id eelgrassbeam.RequestID, limits Limits) bool {
	return c.checkRequestID(response, id, limits) == nil && !c.isMisdirected(response)
}

// parseLoad returns the load in the response header, or the zero value if it is missing or invalid.
func (c *Client) parseLoad(header http.Header) eelgrassbeam.SiteLoad {
	if c.config.Dialect.Load == "" {
		return eelgrassbeam.SiteLoad{}
	}
	return decodeLoad(header.Get(c.config.Dialect.Load))
}

func shedReply(response *http.Response, id eelgrassbeam.RequestID) eelgrassbeam.Reply {
	reply := eelgrassbeam.NotRun(id, eelgrassbeam.ReasonUpstreamRefused)
	if delay := parseRetryAfter(response.Header); delay > 0 {
		reply = reply.WithRetryAfter(eelgrassbeam.Duration{Duration: delay})
	}
	if isTrue(response.Header, HeaderLeaving) {
		reply.Header = http.Header{HeaderLeaving: {"true"}}
	}
	return reply
}

func responseHeader(header http.Header) http.Header {
	kept := endToEnd(header)
	kept.Del(HeaderShed)
	return kept
}
