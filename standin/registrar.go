package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

const (
	// registerTimeout bounds one write of a backend's entry.
	registerTimeout = time.Second
	// registerRetry is the time between writes that fail.
	registerRetry = 100 * time.Millisecond
)

// RegistrarConfig configures a Registrar.
type RegistrarConfig struct {
	// Store is the URL of the platform's store.
	Store string
	ID    eelgrassbeam.UpstreamID
	// Service, Address, Zone and Slots are what the entry says; Address is where callers reach the backend.
	Service, Address, Zone string
	Slots                  int
	// Heartbeat is the time between two writes.
	Heartbeat time.Duration
	// Drain is how long the backend serves on after the store has taken its report that it leaves.
	Drain time.Duration
	Clock eelgrassbeam.Clock
}

// Registrar keeps a backend's entry in the platform's store, as the platform's upstreams do.
type Registrar struct {
	config RegistrarConfig
	born   int64

	mu        sync.Mutex
	sequence  uint64
	leavingAt time.Time
}

// NewRegistrar returns a Registrar of a backend that starts now.
func NewRegistrar(config RegistrarConfig) *Registrar {
	return &Registrar{config: config, born: config.Clock.Now().UnixMilli()}
}

// Run writes the entry until the context ends, then reports that the backend leaves and returns when it may end.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := r.config.Heartbeat
		if r.write(ctx, "ready") != nil {
			pause = registerRetry // the store is asked until it answers
		}
		select {
		case <-ctx.Done():
		case <-r.config.Clock.After(pause):
		}
	}
	r.leave(context.WithoutCancel(ctx))
	return nil
}

// leave reports that the backend leaves, as often as it reported before, until it has served on for long enough.
func (r *Registrar) leave(ctx context.Context) {
	for r.LeavingFor() < r.config.Drain {
		pause := r.config.Heartbeat
		if r.write(ctx, "draining") != nil {
			pause = registerRetry
		} else {
			r.noteLeaving()
		}
		<-r.config.Clock.After(pause)
	}
}

func (r *Registrar) noteLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leavingAt.IsZero() {
		r.leavingAt = r.config.Clock.Now()
	}
}

// LeavingFor returns how long ago the store took the report that the backend leaves, zero before that.
func (r *Registrar) LeavingFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leavingAt.IsZero() {
		return 0
	}
	return r.config.Clock.Now().Sub(r.leavingAt)
}

func (r *Registrar) write(ctx context.Context, state string) error {
	r.mu.Lock()
	r.sequence++
	spec, err := json.Marshal(map[string]any{
		"service": r.config.Service, "address": r.config.Address, "zone": r.config.Zone, "slots": r.config.Slots, "state": state,
		"cold_remaining": "0ms", "sequence": r.sequence, "born": r.born,
	})
	r.mu.Unlock()
	if err != nil {
		return err
	}
	body, err := json.Marshal(Object{Metadata: Metadata{Name: string(r.config.ID)}, Spec: spec})
	if err != nil {
		return err
	}
	collection := r.config.Store + "/objects/" + platform.KindUpstreams
	status, err := r.send(ctx, http.MethodPut, collection+"/"+string(r.config.ID), body)
	if err == nil && status == http.StatusNotFound {
		status, err = r.send(ctx, http.MethodPost, collection, body)
	}
	if err == nil && status >= http.StatusMultipleChoices {
		err = fmt.Errorf("store answered %d", status)
	}
	return err
}

func (r *Registrar) send(ctx context.Context, method, url string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}
