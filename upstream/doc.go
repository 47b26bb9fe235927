// Package upstream is an HTTP/1.1 client for backend servers. It sends a request at most once and reports whether any
// part of it may have been sent.
package upstream
