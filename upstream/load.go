package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Load is the load reported by an upstream. It may be outdated or wrong.
type Load struct {
	// Slots is the number of requests that the upstream handles concurrently.
	Slots int `json:"slots"`
	// InProgress is the number of requests in progress.
	InProgress int `json:"in_progress"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
	// Leaving means that the upstream accepts no new requests.
	Leaving bool `json:"leaving"`
}

// UnmarshalJSON decodes and validates the load.
func (l *Load) UnmarshalJSON(data []byte) error {
	type plain Load
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("%w: load: %w", eelgrassbeam.ErrInvalid, err)
	}
	if decoded.Slots < 0 || decoded.InProgress < 0 || decoded.Connections < 0 {
		return fmt.Errorf("%w: load has a negative count", eelgrassbeam.ErrInvalid)
	}
	*l = Load(decoded)
	return nil
}

// Load queries the upstream's load.
func (c *Client) Load(ctx context.Context, target eelgrassbeam.Upstream, limits Limits) (Load, error) {
	reply, err := c.query(ctx, target, c.config.LoadPath, limits)
	if err != nil {
		return Load{}, err
	}
	var load Load
	if err := json.Unmarshal(reply.Body, &load); err != nil {
		return Load{}, fmt.Errorf("%w: %w", ErrUnhealthy, err)
	}
	return load, nil
}

// Probe queries the upstream's health. It returns an error that wraps ErrLeaving or ErrUnhealthy if the upstream
// does not accept requests.
func (c *Client) Probe(ctx context.Context, target eelgrassbeam.Upstream, limits Limits) error {
	_, err := c.query(ctx, target, c.config.ProbePath, limits)
	return err
}

// query sends a probe or load request. The response may lack the request ID, but must not carry a different one.
func (c *Client) query(
	ctx context.Context, target eelgrassbeam.Upstream, path string, limits Limits,
) (eelgrassbeam.Reply, error) {
	limits.isQuery = true
	id := eelgrassbeam.RequestID("query-" + strconv.FormatUint(c.queryCount.Add(1), 10))
	request := eelgrassbeam.Request{
		ID: id, Service: target.Service, Idempotent: true, Attempt: 1,
		Method: http.MethodGet, Host: target.Address.String(), Target: path,
	}
	reply, err := c.exchange(ctx, target, request, limits)
	switch {
	case IsLeaving(reply):
		return reply, fmt.Errorf("%w: %s", ErrLeaving, target.ID)
	case err != nil:
		return reply, fmt.Errorf("%w: %w", ErrUnhealthy, err)
	case reply.Status < http.StatusOK || reply.Status >= http.StatusMultipleChoices:
		return reply, fmt.Errorf("%w: status %d", ErrUnhealthy, reply.Status)
	default:
		return reply, nil
	}
}
