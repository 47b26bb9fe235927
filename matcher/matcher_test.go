package matcher

import (
	"testing"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func TestRoute(t *testing.T) {
	m := New(&eelgrassbeam.Routing{Routes: []eelgrassbeam.PathRoute{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
	for _, test := range []struct{ name, host, path, want string }{
		{"longest prefix", "a.example", "/x/y/z", "long"},
		{"shorter prefix", "a.example", "/x/z", "short"},
		{"path without the slash that ends the prefix", "a.example", "/xy", "root"},
		{"host takes precedence over prefix", "b.example", "/x/y/z", "other"},
		{"host in upper case", "A.Example", "/x/y/z", "long"},
		{"no matching prefix", "b.example", "/y", ""},
		{"unknown host", "c.example", "/x/", ""},
	} {
		t.Run(test.name, func(t *testing.T) { requireRoute(t, m, test.host, test.path, test.want) })
	}
}

// Guards against a 404 for a proper request because its path is escaped in another way than the route's prefix.
func TestEscapedRoute(t *testing.T) {
	m := New(&eelgrassbeam.Routing{Routes: []eelgrassbeam.PathRoute{
		{Name: "plain", Host: "a.example", PathPrefix: "/a/"},
		{Name: "space", Host: "a.example", PathPrefix: "/a%20b/"},
		{Name: "slash", Host: "a.example", PathPrefix: "/a%2Fb/"},
		{Name: "long", Host: "a.example", PathPrefix: "/a/%C3%A9/"},
		{Name: "unescaped", Host: "b.example", PathPrefix: "/é/"},
	}})
	for _, test := range []struct{ name, host, path, want string }{
		{"as in the prefix", "a.example", "/a%20b/c", "space"},
		{"escaped though the prefix is not", "a.example", "/%61/c", "plain"},
		{"an escaped slash in the prefix", "a.example", "/a%2fb/c", "slash"},
		{"an escaped slash separates no segments", "a.example", "/a%2Fc", ""},
		{"the longest prefix", "a.example", "/a/%c3%a9/c", "long"},
		{"UTF-8 as it is in the prefix", "b.example", "/%C3%A9/c", "unescaped"},
	} {
		t.Run(test.name, func(t *testing.T) { requireRoute(t, m, test.host, test.path, test.want) })
	}
}

func requireRoute(t *testing.T, m *Matcher, host, path, want string) {
	t.Helper()
	route, ok := m.Route(host, path)
	is := is.New(t)
	is.Equal(ok, want != "")
	if ok {
		is.Equal(route.Name, want)
	}
}

func TestTrafficSplit(t *testing.T) {
	route := &eelgrassbeam.PathRoute{Shares: []eelgrassbeam.ServiceShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	m := New(&eelgrassbeam.Routing{})
	counts := make(map[eelgrassbeam.ServiceName]int)
	for i := range 1000 {
		counts[m.Service(route)]++
		if i == 9 {
			is.New(t).Equal(counts["b"], 1) // the weights hold within each 10 requests, too
		}
	}
	is.New(t).Equal(counts["b"], 100)
}

// Guards against a request that is routed by one path and run by another.
func TestDotSegments(t *testing.T) {
	m := New(&eelgrassbeam.Routing{Routes: []eelgrassbeam.PathRoute{
		{Name: "lookup", Host: "a.example", PathPrefix: "/lookup/"},
		{Name: "seat", Host: "a.example", PathPrefix: "/seat/"},
	}})
	for path, want := range map[string]bool{
		"/lookup/../seat/4": true, "/lookup/%2e%2E/seat/4": true, "/lookup/..": true,
		"/lookup/./4": false, "/lookup/a/../4": false, "/lookup/..%2Fseat%2F4|": false, "/lookup//4": false, "/lookup/%00": false,
	} {
		t.Run(path, func(t *testing.T) { is.New(t).Equal(m.IsAmbiguous("a.example", path), want) })
	}
}
