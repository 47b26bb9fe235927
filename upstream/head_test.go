package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// exchangeWithHead returns the reply to a request that is answered with the lines as its head and the body "body".
func exchangeWithHead(t *testing.T, lines ...string) eelgrassbeam.Reply {
	t.Helper()
	return exchangeWithin(t, testLimits, lines...)
}

func exchangeWithin(t *testing.T, limits Limits, lines ...string) eelgrassbeam.Reply {
	t.Helper()
	target, _ := serveRaw(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\nbody")
		_ = conn.Close()
	})
	reply, _ := newUnframedClient(t).Exchange(testContext(t), target, newPost("r1", ""), limits)
	return reply
}

// maxErrorText is the length, in bytes, that the text of an error may have.
const maxErrorText = 2 << 10

const (
	statusLine = "HTTP/1.1 200 OK"
	idLine     = "X-Request-Id: r1"
	lengthLine = "Content-Length: 4"
)

// Guards against accepting an answer with a blank or a control byte in a field name. The client passed the field on, or, if it
// was the one that frames the body, returned a wrong body.
func TestAnswerWithInvalidFieldName(t *testing.T) {
	for _, line := range []string{
		"X Odd: 1", "X-Odd : 1", " X-Odd: 1", "\tX-Odd: 1", " ", "X\tOdd: 1", "X-Odd\t: 1", "X\x00Odd: 1", "X\x01Odd: 1", "X\x7fOdd: 1",
		"X\rOdd: 1", "\rX-Odd: 1", "X-\x80dd: 1", ": 1", "X-Odd",
	} {
		t.Run(line, func(t *testing.T) {
			for _, head := range [][]string{
				{statusLine, line, idLine, lengthLine},
				{statusLine, idLine, lengthLine, "X-Stamp: s", line},
				{statusLine, idLine, lengthLine, line},
				{"HTTP/1.1 103 Early Hints", line, "", statusLine, idLine, lengthLine},
			} {
				assertOutcome(t, exchangeWithHead(t, head...), eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonUpstreamFailed)
			}
		})
	}
	for _, line := range []string{"Content-Length : 9", " Content-Length: 9", "Transfer-Encoding : chunked", "Transfer Encoding: chunked"} {
		t.Run(line, func(t *testing.T) {
			assertOutcome(t, exchangeWithHead(t, statusLine, idLine, "X-Stamp: s", line), eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonUpstreamFailed)
		})
	}
}

// Guards against chunk sizes in the body.
func TestAnswerWithTransferCodingBeforeHTTP11(t *testing.T) {
	for _, line := range []string{"Transfer-Encoding: chunked", "transfer-encoding:CHUNKED", "Transfer-Encoding: gzip, chunked"} {
		for _, head := range [][]string{{"HTTP/1.0 200 OK", idLine, line}, {"HTTP/1.0 200 OK", line, lengthLine, idLine}, {"HTTP/0.9 200 OK", idLine, line}} {
			assertOutcome(t, exchangeWithHead(t, head...), eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonUpstreamFailed)
		}
	}
}

// Guards against errors that quote a response whatever its length, and so take several times the memory of its head.
func TestErrorsOfResponsesAreShort(t *testing.T) {
	long := strings.Repeat("\x01", 200<<10)
	for name, head := range map[string][]string{
		"status line":       {"HTTP/1.1 " + long},
		"no answer":         {long},
		"field without end": {statusLine, strings.Repeat("a", 200<<10)},
		"empty name":        {statusLine, idLine, ":" + strings.Repeat("\xff", 200<<10)},
		"return in a name":  {statusLine, idLine, "\rX: " + strings.Repeat("\xff", 200<<10)},
		"value":             {statusLine, idLine, "X-Odd: " + long},
		"transfer coding":   {statusLine, idLine, "Transfer-Encoding: " + strings.Repeat("a", 200<<10)},
		"length":            {statusLine, idLine, "Content-Length: " + strings.Repeat("\xff", 200<<10)},
		"lengths":           append([]string{statusLine, idLine}, slices.Repeat([]string{"Content-Length: " + strings.Repeat("\xff", 99)}, 500)...),
		"request ID":        {statusLine, "X-Request-Id: " + strings.Repeat("\xff", 200<<10), lengthLine},
		"request IDs":       append([]string{statusLine}, slices.Repeat([]string{"X-Request-Id: " + strings.Repeat("\xff", 99)}, 500)...),
	} {
		t.Run(name, func(t *testing.T) {
			target, _ := serveRaw(t, func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\nbody")
				_ = conn.Close()
			})
			_, err := newUnframedClient(t).Exchange(testContext(t), target, newPost("r1", ""), testLimits)
			is := is.New(t)
			is.True(err != nil)
			is.True(len(err.Error()) < maxErrorText)
		})
	}
}

// Guards against rejecting valid heads.
func TestAnswerWithUnusualHead(t *testing.T) {
	for name, head := range map[string][]string{
		"characters of a token": {statusLine, idLine, lengthLine, "!#$%&'*+-.^_`|~0aZ: 1"},
		"lower case":            {statusLine, strings.ToLower(idLine), strings.ToLower(lengthLine)},
		"no blank before value": {statusLine, "X-Request-Id:r1", "Content-Length:4"},
		"blanks around a value": {statusLine, "X-Request-Id: \t r1 \t", lengthLine},
		"empty value":           {statusLine, idLine, "X-Odd:", lengthLine},
		"colons in a value":     {statusLine, idLine, "X-Odd: a : b: c", lengthLine},
		"obsolete text":         {statusLine, idLine, "X-Odd: \xe9", lengthLine},
		"no reason":             {"HTTP/1.1 200 ", idLine, lengthLine},
		"HTTP/1.0":              {"HTTP/1.0 200 OK", idLine, lengthLine},
		"interim HTTP/1.0":      {"HTTP/1.0 103 Early Hints", "", statusLine, idLine, "Transfer-Encoding: chunked", "", "4\r\nbody\r\n0"},
		"end by close":          {"HTTP/1.0 200 OK", idLine},
		"interim answers":       {"HTTP/1.1 100 Continue", "", "HTTP/1.1 103 Early Hints", "Link: </a>", "", statusLine, idLine, lengthLine},
		"long name":             {statusLine, idLine, strings.Repeat("x", 5000) + ": 1", lengthLine},
		"no carriage returns":   {strings.Join([]string{statusLine, idLine, lengthLine, "", "body"}, "\n")},
	} {
		t.Run(name, func(t *testing.T) {
			reply := exchangeWithHead(t, head...)
			assertOutcome(t, reply, eelgrassbeam.OutcomeAnswered, "")
			is.New(t).Equal(string(reply.Body), "body")
		})
	}
}

// Guards against heads whose memory is not accounted for.
func TestHeadTakesBufferSpace(t *testing.T) {
	large := "X-Large: " + strings.Repeat("a", 100<<10)
	t.Run("a large head reserves what isn't reserved yet", func(t *testing.T) {
		is := is.New(t)
		var reserved atomic.Int64
		limits := testLimits
		limits.ReservedBytes = 64 << 10
		limits.Reserve = func(_ context.Context, bytes int64) error {
			reserved.Add(bytes)
			return nil
		}
		reply := exchangeWithin(t, limits, statusLine, idLine, lengthLine, large)
		assertOutcome(t, reply, eelgrassbeam.OutcomeAnswered, "")
		is.True(reserved.Load() >= 36<<10)
		is.True(reserved.Load() < 64<<10)
	})
	t.Run("no space", func(t *testing.T) {
		limits := testLimits
		limits.Reserve = func(context.Context, int64) error { return errors.New("no space") }
		reply := exchangeWithin(t, limits, statusLine, idLine, lengthLine, large)
		assertOutcome(t, reply, eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonUpstreamFailed)
	})
	t.Run("short fields", func(t *testing.T) {
		fields := []string{statusLine, idLine, lengthLine}
		for i := range 2000 {
			fields = append(fields, fmt.Sprintf("X-%d:", i))
		}
		assertOutcome(t, exchangeWithHead(t, fields...), eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonUpstreamFailed)
		assertOutcome(t, exchangeWithHead(t, fields[:1000]...), eelgrassbeam.OutcomeAnswered, "")
	})
}
