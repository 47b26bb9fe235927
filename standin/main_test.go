package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// client calls one test server.
type client struct {
	t    *testing.T
	http *http.Client
	url  string
}

// serve runs the stand-in's HTTP server until the test ends and returns a client for it.
func serve(t *testing.T, server *http.Server, stop func()) client {
	t.Helper()
	s := httptest.NewUnstartedServer(nil)
	s.Config = server
	s.Start()
	t.Cleanup(func() {
		stop()
		s.CloseClientConnections()
		s.Close()
	})
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return client{t: t, http: &http.Client{Transport: transport}, url: s.URL}
}

// response is a response whose body has been read.
type response struct {
	status int
	header http.Header
	body   []byte
}

// do sends a request; headers are alternating names and values.
func (c client) do(ctx context.Context, method, path string, body []byte, headers ...string) (response, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return response{}, err
	}
	read, err := io.ReadAll(answer.Body)
	err = errors.Join(err, answer.Body.Close())
	return response{status: answer.StatusCode, header: answer.Header, body: read}, err
}

// call sends a JSON request and decodes the response into target unless target is nil. It fails the test if there is no
// response.
func (c client) call(method, path string, body, target any, headers ...string) response {
	c.t.Helper()
	is := is.New(c.t)
	var data []byte
	if body != nil {
		var err error
		data, err = json.Marshal(body)
		is.NoErr(err)
	}
	answer, err := c.do(c.t.Context(), method, path, data, headers...)
	is.NoErr(err)
	if target != nil {
		is.NoErr(json.Unmarshal(answer.body, target))
	}
	return answer
}

// eventually waits until the condition holds and fails the test after 10 s.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatal("condition not met within 10 s")
		}
	}
}
