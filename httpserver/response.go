package httpserver

import (
	"bytes"
	"io"
	"net/http"
)

// responseBuffer is an http.ResponseWriter that buffers a response until the earlier ones of its connection are
// written.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
	// afterWrite is called when the response has been written or dropped.
	afterWrite []func()
}

func newResponseBuffer() *responseBuffer { return &responseBuffer{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader sets the status unless it is set already. It implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(status int) {
	if b.status == 0 {
		b.status = status
	}
}

// Write appends to the body, with status 200 unless another is set. It implements http.ResponseWriter.
func (b *responseBuffer) Write(p []byte) (int, error) {
	b.WriteHeader(http.StatusOK)
	return b.body.Write(p)
}

// AfterWrite registers a function to be called when the response has been written to the caller, or dropped because the
// caller has disconnected.
func (b *responseBuffer) AfterWrite(do func()) { b.afterWrite = append(b.afterWrite, do) }

func (b *responseBuffer) written() {
	for _, do := range b.afterWrite {
		do()
	}
}

// httpResponse returns the response with a Content-Length, so that the caller detects a truncated one.
func (b *responseBuffer) httpResponse(request *http.Request, isLast bool) *http.Response {
	b.WriteHeader(http.StatusOK)
	response := &http.Response{
		StatusCode: b.status, ProtoMajor: 1, ProtoMinor: 1, Request: request, Header: b.header,
		ContentLength: int64(b.body.Len()), Close: isLast,
	}
	b.header.Del("Content-Length")
	b.header.Del("Connection")
	if b.body.Len() > 0 {
		response.Body = io.NopCloser(&b.body)
	}
	return response
}
