package eelgrassbeam

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestOriginTarget(t *testing.T) {
	for _, test := range []struct{ name, sent, want string }{
		{"escaped slash beside a byte that should be escaped", "/a%2Fb|c", "/a%2Fb|c"},
		{"mixed case of escapes", "/%c3%A9", "/%c3%A9"},
		{"fragment sign", "/a#b?c#d", "/a#b?c#d"},
		{"empty query", "/a?", "/a?"},
		{"two slashes", "//a/b", "//a/b"},
		{"absolute form", "http://h.example:80/a%2Fb|?q=%2f", "/a%2Fb|?q=%2f"},
		{"absolute form without a path", "http://h.example", "/"},
		{"absolute form with a query only", "http://h.example?q=/", "/?q=/"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + test.sent + " HTTP/1.1\r\nHost: h.example\r\n\r\n")))
			is.NoErr(err)
			is.Equal(OriginTarget(request), test.want)
		})
	}
}
