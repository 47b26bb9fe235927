package upstream

import "errors"

var (
	// ErrTarget reports a request whose target or method can't be sent as HTTP/1.1.
	ErrTarget = errors.New("unsupported request target or method")
	// ErrDial reports that no connection could be opened.
	ErrDial = errors.New("failed to connect to the upstream")
	// ErrConnectionLimit reports that all connections to the upstream are in use.
	ErrConnectionLimit = errors.New("connection limit reached")
	// ErrProgress reports that no byte was written or read within the progress timeout.
	ErrProgress = errors.New("progress timeout exceeded")
	// ErrConnectionFailed reports a connection that failed during an exchange.
	ErrConnectionFailed = errors.New("connection failed during the exchange")
	// ErrRequestIDMismatch reports a response that does not carry the request's ID.
	ErrRequestIDMismatch = errors.New("response does not carry the request's id")
	// ErrReceipt reports a 2xx response without the receipt that the dialect requires.
	ErrReceipt = errors.New("response has no receipt")
	// ErrTruncated reports a response that ended early or whose end can't be verified.
	ErrTruncated = errors.New("response is incomplete")
	// ErrHead reports a response with an invalid head.
	ErrHead = errors.New("response has an invalid head")
	// ErrTooLarge reports a response body above the limit.
	ErrTooLarge = errors.New("response exceeds the body limit")
	// ErrNoBuffer reports a response body for which no buffer space became free in time.
	ErrNoBuffer = errors.New("no buffer space for the response body")
	// ErrShed reports that the upstream rejected the request before running it.
	ErrShed = errors.New("upstream shed the request")
	// ErrMisdirected reports that the address now belongs to another upstream, which has not run the request.
	ErrMisdirected = errors.New("address belongs to another upstream")
	// ErrLeaving reports an upstream that accepts no new requests.
	ErrLeaving = errors.New("upstream is leaving")
	// ErrUnhealthy reports a failed or invalid response to a probe or a load query.
	ErrUnhealthy = errors.New("upstream is unhealthy")
)
