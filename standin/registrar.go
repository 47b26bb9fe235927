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
	// registerTimeout limits one request to the store.
	registerTimeout = time.Second
	// registerRetryInterval is the delay before a failed write is retried.
	registerRetryInterval = 100 * time.Millisecond
)

// RegistrarConfig configures a Registrar.
type RegistrarConfig struct {
	// Store is the URL of the platform's store.
	Store string
	ID    eelgrassbeam.UpstreamID
	// Service, Address, Zone and Slots are the contents of the registration. Address is the ip:port that serves
	// requests.
	Service, Address, Zone string
	Slots                  int
	// Heartbeat is the interval between writes of the registration.
	Heartbeat time.Duration
	// Drain is how long the backend keeps serving after the store has accepted its draining state.
	Drain time.Duration
	Clock eelgrassbeam.Clock
}

// Registrar maintains a backend's registration in the platform's store, as real upstreams do.
type Registrar struct {
	config        RegistrarConfig
	startedMillis int64

	mu            sync.Mutex
	sequence      uint64
	drainingSince time.Time
}

// NewRegistrar returns a Registrar for a backend whose start time is now.
func NewRegistrar(config RegistrarConfig) *Registrar {
	return &Registrar{config: config, startedMillis: config.Clock.Now().UnixMilli()}
}

// Run writes the registration at each heartbeat until the context ends. It then reports the draining state and returns
// nil once the drain time has passed.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := r.config.Heartbeat
		if r.write(ctx, "ready") != nil {
			pause = registerRetryInterval // retry until the store accepts the write
		}
		select {
		case <-ctx.Done():
		case <-r.config.Clock.After(pause):
		}
	}
	r.drain(context.WithoutCancel(ctx))
	return nil
}

// drain reports the draining state at each heartbeat until the drain time has passed since the store first accepted it.
func (r *Registrar) drain(ctx context.Context) {
	for r.DrainingFor() < r.config.Drain {
		pause := r.config.Heartbeat
		if r.write(ctx, "draining") != nil {
			pause = registerRetryInterval
		} else {
			r.recordDraining()
		}
		<-r.config.Clock.After(pause)
	}
}

func (r *Registrar) recordDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drainingSince.IsZero() {
		r.drainingSince = r.config.Clock.Now()
	}
}

// DrainingFor returns the time since the store first accepted the draining state, or zero before that.
func (r *Registrar) DrainingFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drainingSince.IsZero() {
		return 0
	}
	return r.config.Clock.Now().Sub(r.drainingSince)
}

func (r *Registrar) write(ctx context.Context, state string) error {
	r.mu.Lock()
	r.sequence++
	spec, err := json.Marshal(map[string]any{
		"service": r.config.Service, "address": r.config.Address, "zone": r.config.Zone, "slots": r.config.Slots, "state": state,
		"cold_remaining": "0ms", "sequence": r.sequence, "born": r.startedMillis,
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
		err = fmt.Errorf("write registration: store answered with status %d", status)
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
