package test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// callTimeout bounds one call of a script.
const callTimeout = 30 * time.Second

// maxBodyShown bounds the part of a body that is printed.
const maxBodyShown = 4096

// call sends requests and prints the answer, or how often each status came:
// call [-n N] [-c CONCURRENCY] [FLAGS] NAME METHOD HOST PATH [HEADER=VALUE...] [BODY].
func call(w *world, args []string) (string, error) {
	flags := flag.NewFlagSet("call", flag.ContinueOnError)
	n := flags.Int("n", 1, "")
	concurrency := flags.Int("c", 1, "")
	operator := flags.Bool("operator", false, "")
	bodyBytes := flags.Int("body-bytes", 0, "")
	bodyOnly := flags.Bool("body-only", false, "print the body alone")
	link := flags.Bool("link", false, "call through the node's link")
	keep := flags.Bool("keep", false, "use the script's kept connections")
	timeout := flags.Duration("timeout", callTimeout, "")
	if err := flags.Parse(args); err != nil {
		return "", err
	}
	args = flags.Args()
	target, err := w.node(args[0])
	if err != nil {
		return "", err
	}
	request := outgoing{base: target.callURL(*operator), method: args[1], host: args[2], path: args[3], header: http.Header{}}
	for _, arg := range args[4:] {
		key, value, ok := strings.Cut(arg, "=")
		if !ok {
			request.body = []byte(arg)
			continue
		}
		request.header.Add(key, value)
	}
	if *bodyBytes > 0 {
		request.body = bytes.Repeat([]byte("x"), *bodyBytes)
	}
	if *link {
		request.base = "http://" + target.front.address()
	}
	client := newClient(*concurrency, *timeout)
	if *keep {
		client.Transport = w.kept
	} else {
		defer client.CloseIdleConnections()
	}
	if *bodyOnly {
		answer, err := request.send(client)
		return string(answer.body), err
	}
	return repeat(client, request, *n, *concurrency)
}

// callURL returns the URL that callers or operators use.
func (n *node) callURL(operator bool) string {
	switch {
	case n.role != roleEntry:
		return n.url("address")
	case operator:
		return n.url("operator")
	default:
		return n.url("caller")
	}
}

// repeat sends the request n times and prints the one answer or the count of each status.
func repeat(client *http.Client, request outgoing, n, concurrency int) (string, error) {
	if n == 1 {
		answer, err := request.send(client)
		return answer.String(), err
	}
	statuses := make([]string, n)
	var group errgroup.Group
	group.SetLimit(concurrency)
	for i := range statuses {
		group.Go(func() error {
			answer, err := request.send(client)
			statuses[i] = fmt.Sprintf("HTTP %d", answer.status)
			return err
		})
	}
	err := group.Wait()
	counts := make(map[string]int)
	for _, status := range statuses {
		counts[status]++
	}
	var out strings.Builder
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&out, "%s x %d\n", status, counts[status])
	}
	return out.String(), err
}

// outgoing is a request to send.
type outgoing struct {
	base, method, host, path string
	header                   http.Header
	body                     []byte
}

// incoming is a whole answer.
type incoming struct {
	status int
	header http.Header
	body   []byte
}

// String prints the status, the sorted headers and the body.
func (a incoming) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "HTTP %d\n", a.status)
	for _, name := range slices.Sorted(maps.Keys(a.header)) {
		fmt.Fprintf(&out, "%s: %s\n", name, strings.Join(a.header[name], ", "))
	}
	fmt.Fprintf(&out, "\n%s\n", a.body[:min(len(a.body), maxBodyShown)])
	return out.String()
}

// send sends the request once; the client never repeats it by itself.
func (o outgoing) send(client *http.Client) (incoming, error) {
	r, err := http.NewRequest(o.method, o.base+o.path, bytes.NewReader(o.body))
	if err != nil {
		return incoming{}, err
	}
	if len(o.body) == 0 {
		// The transport sends what has no body again by itself when a kept connection fails, but for a body that it can't read twice.
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(nil)), 0
	}
	r.GetBody = nil
	r.Header = o.header
	if o.host != "" && o.host != "-" {
		r.Host = o.host
	}
	answer, err := client.Do(r)
	if err != nil {
		return incoming{}, err
	}
	body, err := io.ReadAll(answer.Body)
	err = errors.Join(err, answer.Body.Close())
	return incoming{status: answer.StatusCode, header: answer.Header, body: body}, err
}

func newClient(connections int, timeout time.Duration) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	return &http.Client{Transport: transport, Timeout: timeout}
}
