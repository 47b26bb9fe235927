package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// shutdownTimeout bounds the graceful shutdown of the server.
const shutdownTimeout = 10 * time.Second

// serve serves until ctx ends, waits for the registrar and then shuts the server down gracefully.
func serve(ctx context.Context, address string, s standinServer, log logrus.FieldLogger) error {
	server := s.server
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"event": "listening", "address": listener.Addr().String()}).Info("")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		if s.registrar != nil {
			if err := s.registrar.Run(ctx); err != nil {
				return err
			}
		}
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		return server.Shutdown(shutdownCtx)
	})
	err = group.Wait()
	log.WithField("event", "stopped").Info("")
	return err
}
