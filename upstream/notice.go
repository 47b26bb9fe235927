package upstream

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// minLimit is the lowest limit, in requests per second. It applies to an upstream that takes none.
	minLimit = 0.01
	// maxRetryAfter bounds the time for which an upstream can stop requests to it.
	maxRetryAfter = time.Hour
)

// parseNotice returns what the upstream says of itself in a response. Invalid values count as missing.
func (c *Client) parseNotice(response *http.Response) *eelgrassbeam.Notice {
	header, leaving := response.Header, c.config.Dialect.Leaving
	notice := &eelgrassbeam.Notice{
		Limit:     parseLimit(header, c.config.Dialect.Limit),
		IsLeaving: isTrue(header, HeaderLeaving) || leaving != "" && header.Get(leaving) == "1",
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		notice.RetryAfter = parseRetryAfter(header)
	}
	return notice
}

// parseRetryAfter returns the delay in the Retry-After header, in seconds that may have a fraction, at most
// maxRetryAfter; zero for none. A date is not supported.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// parseLimit returns the limit in the named header, zero for none.
func parseLimit(header http.Header, name string) float64 {
	if name == "" {
		return 0
	}
	limit, err := strconv.ParseFloat(header.Get(name), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0
	}
	return max(limit, minLimit)
}
