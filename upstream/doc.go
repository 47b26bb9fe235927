// Package upstream is the HTTP/1.1 client towards backend servers. It sends a
// request at most once and tells whether anything of it was handed over.
package upstream
