package httpserver

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
)

const (
	// maxBodyBytes bounds a body, which is buffered before the handler is called, if Limits sets no lower limit.
	maxBodyBytes = 64 << 20
	// minBodyBufferBytes is the first size of the buffer for a body of unknown length.
	minBodyBufferBytes = 4 << 10
)

var errNoBuffer = errors.New("no buffer space for the request body")

// readBody reads the body into memory, so that the next request can be read while this one is handled. Its results
// are those of readRequest.
func (c *connection) readBody(request *http.Request, response *responseBuffer, limit int64) (*http.Request, *rejection) {
	c.setReadDeadline(bodyTimeout)
	if request.Body == nil || request.Body == http.NoBody {
		return request.WithContext(c.ctx), nil
	}
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if request.ContentLength > limit {
		return nil, &rejection{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge, request: request}
	}
	if request.ProtoAtLeast(1, 1) && strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		c.pending <- &exchange{isInterim: true}
	}
	body, err := c.bufferBody(request, response, limit)
	switch {
	case errors.Is(err, errNoBuffer):
		return nil, &rejection{status: http.StatusServiceUnavailable, reason: reasonNoBuffer, err: err, request: request}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &rejection{status: http.StatusRequestTimeout, reason: reasonBodyTimeout, err: err, request: request}
	case err != nil && isDisconnected(err):
		return nil, nil
	case err != nil:
		return nil, &rejection{status: http.StatusBadRequest, reason: reasonBadBody, err: err, request: request}
	case int64(len(body)) > limit:
		return nil, &rejection{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge, request: request}
	}
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return request.WithContext(c.ctx), nil
}

// bufferBody reads at most one byte more than the limit. Space is reserved before it is used: at once for a body of known
// length, else as the body grows.
func (c *connection) bufferBody(request *http.Request, response *responseBuffer, limit int64) ([]byte, error) {
	capacity := request.ContentLength + 1
	if request.ContentLength < 0 {
		capacity = min(minBodyBufferBytes, limit+1)
	}
	var body []byte
	for {
		if err := c.reserve(request, response, capacity-int64(cap(body))); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, capacity), body...)
		for len(body) < cap(body) {
			n, err := request.Body.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return body, nil
			}
			if err != nil {
				return nil, c.readError(err)
			}
		}
		if int64(len(body)) > limit {
			return body, nil
		}
		capacity = min(2*capacity, limit+1)
	}
}

// reserve reserves buffer space until the response is written.
func (c *connection) reserve(request *http.Request, response *responseBuffer, size int64) error {
	if c.server.config.ReserveBody == nil {
		return nil
	}
	release, err := c.server.config.ReserveBody(request, size)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoBuffer, err)
	}
	response.AfterWrite(release)
	return nil
}
