package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// The headers between eelgrassbeam and backend servers.
const (
	// HeaderRequestID carries the request's id; the answer repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline carries the time to the deadline in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderIdempotencyKey carries the idempotency key, if there is one.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderShed is "true" on an answer 503 or 504 to a request that was not run.
	HeaderShed = "X-Eelgrassbeam-Shed"
	// HeaderLeaving is "true" on answers of an upstream that takes no new work.
	HeaderLeaving = "X-Eelgrassbeam-Leaving"
)

// hopHeaders apply to one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// requestOnlyHeaders are set by this client itself.
var requestOnlyHeaders = []string{
	"Content-Length", "Expect", HeaderRequestID, HeaderDeadline, HeaderIdempotencyKey, HeaderShed, HeaderLeaving,
}

// endToEnd returns a copy of the header without the fields of one connection.
func endToEnd(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

func isTrue(header http.Header, name string) bool {
	return strings.EqualFold(header.Get(name), "true")
}
