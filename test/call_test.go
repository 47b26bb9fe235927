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

// callTimeout is the default timeout of one call.
const callTimeout = 30 * time.Second

// maxBodyShown is the maximum number of body bytes that are printed.
const maxBodyShown = 4096

// call sends one request and prints the response, or sends several and prints the count of each status:
// call [-n N] [-c CONCURRENCY] [FLAGS] NAME METHOD HOST PATH [HEADER=VALUE...] [BODY].
func call(sc *scenario, args []string) (string, error) {
	flags := flag.NewFlagSet("call", flag.ContinueOnError)
	n := flags.Int("n", 1, "")
	concurrency := flags.Int("c", 1, "")
	operator := flags.Bool("operator", false, "")
	bodyBytes := flags.Int("body-bytes", 0, "")
	bodyOnly := flags.Bool("body-only", false, "print only the response body")
	viaLink := flags.Bool("link", false, "send through the node's inbound link")
	keepAlive := flags.Bool("keep", false, "reuse the connections of earlier calls with -keep")
	timeout := flags.Duration("timeout", callTimeout, "")
	if err := flags.Parse(args); err != nil {
		return "", err
	}
	args = flags.Args()
	target, err := sc.node(args[0])
	if err != nil {
		return "", err
	}
	request := callRequest{base: target.callURL(*operator), method: args[1], host: args[2], path: args[3], header: http.Header{}}
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
	if *viaLink {
		request.base = "http://" + target.inboundLink.address()
	}
	client := newClient(*concurrency, *timeout)
	if *keepAlive {
		client.Transport = sc.keepAliveTransport
	} else {
		defer client.CloseIdleConnections()
	}
	if *bodyOnly {
		response, err := request.send(client)
		return string(response.body), err
	}
	return sendRepeatedly(client, request, *n, *concurrency)
}

// callURL returns the base URL of an entry's operator or caller interface, or that of a stand-in.
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

// sendRepeatedly sends the request n times. It returns the response as text if n is 1, else the count of each status.
func sendRepeatedly(client *http.Client, request callRequest, n, concurrency int) (string, error) {
	if n == 1 {
		response, err := request.send(client)
		return response.String(), err
	}
	statuses := make([]string, n)
	var group errgroup.Group
	group.SetLimit(concurrency)
	for i := range statuses {
		group.Go(func() error {
			response, err := request.send(client)
			statuses[i] = fmt.Sprintf("HTTP %d", response.status)
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

// callRequest is an HTTP request to send; base holds the scheme and address.
type callRequest struct {
	base, method, host, path string
	header                   http.Header
	body                     []byte
}

// callResponse is a complete HTTP response.
type callResponse struct {
	status int
	header http.Header
	body   []byte
}

// String returns the status, the sorted headers and at most maxBodyShown bytes of the body.
func (resp callResponse) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "HTTP %d\n", resp.status)
	for _, name := range slices.Sorted(maps.Keys(resp.header)) {
		fmt.Fprintf(&out, "%s: %s\n", name, strings.Join(resp.header[name], ", "))
	}
	fmt.Fprintf(&out, "\n%s\n", resp.body[:min(len(resp.body), maxBodyShown)])
	return out.String()
}

// send sends the request exactly once; the transport does not retry it.
func (c callRequest) send(client *http.Client) (callResponse, error) {
	r, err := http.NewRequest(c.method, c.base+c.path, bytes.NewReader(c.body))
	if err != nil {
		return callResponse{}, err
	}
	if len(c.body) == 0 {
		// The transport retries a request without a body when a reused connection fails. It does not retry one whose
		// body it cannot read a second time.
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(nil)), 0
	}
	r.GetBody = nil
	r.Header = c.header
	if c.host != "" && c.host != "-" {
		r.Host = c.host
	}
	response, err := client.Do(r)
	if err != nil {
		return callResponse{}, err
	}
	body, err := io.ReadAll(response.Body)
	err = errors.Join(err, response.Body.Close())
	return callResponse{status: response.StatusCode, header: response.Header, body: body}, err
}

func newClient(connections int, timeout time.Duration) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	return &http.Client{Transport: transport, Timeout: timeout}
}
