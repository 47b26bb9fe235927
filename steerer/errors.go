package steerer

import "errors"

var (
	// ErrListen reports that a socket cannot be opened.
	ErrListen = errors.New("listen")
	// ErrCut reports that a planned stop ended with requests in progress.
	ErrCut = errors.New("requests were cut")
)
