package upstream

import (
	"math"
	"net/http"
	"strconv"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// minLimit is the lowest limit, in requests per second. It applies to an upstream that takes none.
const minLimit = 0.01

// parseNotice returns what the upstream says of itself in a response. Invalid values count as missing.
func (c *Client) parseNotice(header http.Header) *eelgrassbeam.Notice {
	leaving := c.config.Dialect.Leaving
	return &eelgrassbeam.Notice{
		Limit:     parseLimit(header, c.config.Dialect.Limit),
		IsLeaving: isTrue(header, HeaderLeaving) || leaving != "" && header.Get(leaving) == "1",
	}
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
