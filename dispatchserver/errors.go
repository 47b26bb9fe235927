package dispatchserver

import "errors"

var (
	// ErrListen reports that a listener cannot be opened.
	ErrListen = errors.New("listen")
	// ErrRequestsAborted reports that a planned stop ended before all requests in progress had completed.
	ErrRequestsAborted = errors.New("planned stop aborted requests")
)
