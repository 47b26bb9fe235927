package forwarder

import (
	"errors"
	"net/http"
	"strconv"
)

// writeBody writes the status and the body with a Content-Length, so that a caller detects a truncated body. It
// aborts the connection if the write fails.
func writeBody(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	hasBody := status != http.StatusNoContent && status != http.StatusNotModified
	if hasBody && r.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if !hasBody || r.Method == http.MethodHead {
		return
	}
	if _, err := w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
}
