package eelgrassbeam

import (
	"net/http"
	"strings"
)

// OriginTarget returns the request's target byte for byte as the caller sent it. One in absolute form loses its scheme and
// authority, since upstreams are origin servers.
func OriginTarget(r *http.Request) string {
	if !r.URL.IsAbs() {
		return r.RequestURI
	}
	_, rest, _ := strings.Cut(r.RequestURI, "://")
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	default:
		return rest[start:]
	}
}

// TargetPath returns the path of a target in origin form, escaped as it is there. It isn't taken from a parsed URL, which
// decodes %2F if the path also holds a byte that should have been escaped.
func TargetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
