package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
	"github.com/eelgrassbeam/eelgrassbeam/operator"
	"github.com/eelgrassbeam/eelgrassbeam/securer"
)

const (
	// retryInterval is the wait between rounds of attempts, each of which tries the entries in order.
	retryInterval = 200 * time.Millisecond
	// attemptTimeout bounds one call, so that an unresponsive entry leaves time to try the next.
	attemptTimeout = 3 * time.Second
)

// session is one execution of a command.
type session struct {
	environment
	options     *options
	client      *http.Client
	connections []*connection
}

func newSession(env environment, o *options) (*session, error) {
	transport := &http.Transport{}
	if o.tls.IsSet() {
		s, err := securer.New(o.tls)
		if err != nil {
			return nil, fmt.Errorf("TLS: %w", err)
		}
		transport.TLSClientConfig = s.ClientTLS()
	}
	s := &session{environment: env, options: o, client: &http.Client{Transport: transport}}
	for _, address := range o.addresses() {
		s.connections = append(s.connections, newConnection(address, s.client, o.tls.IsSet()))
	}
	if len(s.connections) == 0 {
		return nil, usagef("--operator-url is empty")
	}
	return s, nil
}

func (s *session) close() { s.client.CloseIdleConnections() }

// tryEntries calls the entries in order until one succeeds or rejects the call. If all fail, the error joins those of
// all entries.
func tryEntries[T any](ctx context.Context, s *session, call func(context.Context, *genoperator.Client) (T, error)) (T, error) {
	var zero T
	var errs []error
	for _, c := range s.connections {
		result, err := attempt(ctx, c, call)
		if err == nil {
			return result, nil
		}
		if c.isRejected() {
			return zero, err
		}
		errs = append(errs, fmt.Errorf("%s: %w", c.address, err))
	}
	return zero, errors.Join(errs...)
}

func attempt[T any](ctx context.Context, c *connection, call func(context.Context, *genoperator.Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return call(ctx, c.operator())
}

func (s *session) configuration(ctx context.Context) (json.RawMessage, eelgrassbeam.Configuration, error) {
	result, err := tryEntries(ctx, s, func(ctx context.Context, c *genoperator.Client) (*genoperator.GetConfigurationResult, error) {
		return c.GetConfiguration(ctx)
	})
	if err != nil {
		return nil, eelgrassbeam.Configuration{}, err
	}
	configuration, err := decode[eelgrassbeam.Configuration](result.Document)
	return result.Document, configuration, err
}

func (s *session) status(ctx context.Context) (operator.Status, error) {
	result, err := tryEntries(ctx, s, func(ctx context.Context, c *genoperator.Client) (*genoperator.StatusResult, error) {
		return c.Status(ctx)
	})
	if err != nil {
		return operator.Status{}, err
	}
	return decode[operator.Status](result.Document)
}

func decode[T any](document json.RawMessage) (T, error) {
	var value T
	if err := json.Unmarshal(document, &value); err != nil {
		return value, fmt.Errorf("invalid answer from the entry: %w", err)
	}
	return value, nil
}
