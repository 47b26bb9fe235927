package eelgrassbeam

import (
	"net/url"
	"strings"
)

// segmentEscaper escapes what a decoded path segment must not hold, so that it stays one segment.
var segmentEscaper = strings.NewReplacer("%", "%25", "/", "%2F")

// NormalizePath returns a form of an escaped path that is the same for all ways to escape it. Only an escaped slash
// differs from a plain one, which separates segments. A segment with an invalid escape is taken literally.
func NormalizePath(escaped string) string {
	if !strings.Contains(escaped, "%") {
		return escaped
	}
	segments := strings.Split(escaped, "/")
	for i, segment := range segments {
		if decoded, err := url.PathUnescape(segment); err == nil {
			segment = decoded
		}
		segments[i] = segmentEscaper.Replace(segment)
	}
	return strings.Join(segments, "/")
}

// IsAmbiguousPath reports whether the dot segments of an escaped path lead to another route than its prefix does. Upstreams may
// resolve dot segments, so that such a request could act on what another route is for. find finds the route of a normalized
// path.
func IsAmbiguousPath[Route comparable](escaped string, find func(normalized string) Route) bool {
	path := NormalizePath(escaped)
	resolved := ResolveDotSegments(path)
	return resolved != path && find(path) != find(resolved)
}

// ResolveDotSegments returns a normalized path without its segments "." and "..", as an upstream may read it.
func ResolveDotSegments(normalized string) string {
	if !strings.Contains(normalized, "/.") {
		return normalized
	}
	segments := strings.Split(normalized, "/")
	resolved := segments[:1:1]
	for i, segment := range segments[1:] {
		isLast := i == len(segments)-2
		switch segment {
		case "..":
			resolved = resolved[:max(len(resolved)-1, 1)]
		case ".":
		default:
			resolved = append(resolved, segment)
			continue
		}
		if isLast {
			resolved = append(resolved, "")
		}
	}
	return strings.Join(resolved, "/")
}
