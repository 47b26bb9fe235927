package receiver

import (
	"bytes"
	"io"
	"net/http"
)

// bufferedAnswer is an http.ResponseWriter that buffers the answer until the earlier ones of its connection are
// written.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newBufferedAnswer() *bufferedAnswer { return &bufferedAnswer{header: make(http.Header)} }

// Header returns the header of the answer. It implements http.ResponseWriter.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader sets the status unless it is set already. It implements http.ResponseWriter.
func (a *bufferedAnswer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write appends to the body, with status 200 unless another is set. It implements http.ResponseWriter.
func (a *bufferedAnswer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.body.Write(p)
}

// response returns the answer with a Content-Length, so that the caller detects a truncated one.
func (a *bufferedAnswer) response(request *http.Request, isLast bool) *http.Response {
	a.WriteHeader(http.StatusOK)
	response := &http.Response{
		StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Request: request, Header: a.header,
		ContentLength: int64(a.body.Len()), Close: isLast,
	}
	a.header.Del("Content-Length")
	a.header.Del("Connection")
	if a.body.Len() > 0 {
		response.Body = io.NopCloser(&a.body)
	}
	return response
}
