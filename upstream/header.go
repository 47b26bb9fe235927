package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// The headers exchanged with backend servers.
const (
	// HeaderRequestID carries the request ID; the response must repeat it.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline carries the time left to the deadline, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderIdempotencyKey carries the idempotency key if the request has one.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderShed is "true" on a 503 or 504 response to a request that was not run.
	HeaderShed = "X-Eelgrassbeam-Shed"
	// HeaderLeaving is "true" on responses of an upstream that accepts no new requests.
	HeaderLeaving = "X-Eelgrassbeam-Leaving"
)

// hopHeaders are the hop-by-hop headers, which are never forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strippedRequestHeaders are removed from the caller's request, in addition to hopHeaders: this client or net/http sets
// them, the entry has already handled Expect, and HeaderShed and HeaderLeaving belong in responses only.
var strippedRequestHeaders = []string{
	"Content-Length", "Expect", HeaderRequestID, HeaderDeadline, HeaderIdempotencyKey, HeaderShed, HeaderLeaving,
}

// endToEnd returns a copy of the header without hop-by-hop fields.
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
