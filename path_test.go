package eelgrassbeam

import (
	"testing"

	"github.com/matryer/is"
)

func TestNormalizePath(t *testing.T) {
	for _, test := range []struct{ name, escaped, want string }{
		{"no escape", "/a/b//c;d=é", "/a/b//c;d=é"},
		{"space", "/a%20b/", "/a b/"},
		{"letter", "/%61/", "/a/"},
		{"dots", "/%2e%2E/", "/../"},
		{"UTF-8", "/%C3%A9/", "/é/"},
		{"slash", "/a%2fb/", "/a%2Fb/"},
		{"percent sign", "/%252F/", "/%252F/"},
		{"invalid escape", "/50%/", "/50%25/"},
	} {
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(NormalizePath(test.escaped), test.want) })
	}
}

func TestResolveDotSegments(t *testing.T) {
	for _, test := range []struct{ name, path, want string }{
		{"none", "/a/b.c/..d", "/a/b.c/..d"},
		{"parent", "/a/../b", "/b"},
		{"same", "/a/./b", "/a/b"},
		{"at the end", "/a/b/..", "/a/"},
		{"above the root", "/../../a", "/a"},
		{"escaped slash is no separator", "/a/..%2Fb", "/a/..%2Fb"},
		{"empty segment", "/a//../b", "/a/b"},
	} {
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(ResolveDotSegments(test.path), test.want) })
	}
}

// Guards against a 404 because the path is escaped in another way than the prefix in the configuration.
func TestEscapedServiceRoute(t *testing.T) {
	service := Service{Routes: []Route{{Method: "*", PathPrefix: "/a%20b/"}, {Method: "*", PathPrefix: "/é/"}}}
	for path, want := range map[string]bool{"/a%20b/c": true, "/%61%20b/c": true, "/%C3%A9/c": true, "/a%2520b/c": false} {
		t.Run(path, func(t *testing.T) {
			_, ok := service.Route("GET", path)
			is.New(t).Equal(ok, want)
		})
	}
}
