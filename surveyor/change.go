package surveyor

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/configwriter"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

// configurationWriter stores configuration versions and waits until they are in force at all entries.
type configurationWriter struct {
	fleet  *fleet
	config Config
	stored eelgrassbeam.Object
	next   eelgrassbeam.Configuration
}

func newConfigurationWriter(f *fleet, config Config) *configurationWriter {
	return &configurationWriter{fleet: f, config: config, next: config.Configuration}
}

// apply stores a new version and returns the time until it was in force at all entries.
func (c *configurationWriter) apply(ctx context.Context) (time.Duration, error) {
	c.next = c.next.WithChange(eelgrassbeam.Change{
		ID: eelgrassbeam.ChangeID(fmt.Sprintf("survey-%d", c.stored.Version)), Author: "survey", At: c.config.Clock.Now().UTC(),
	})
	value, err := json.Marshal(c.next)
	if err != nil {
		return 0, err
	}
	store, err := c.store()
	if err != nil {
		return 0, err
	}
	begin := c.config.Clock.Now()
	if c.stored.Version == 0 {
		c.stored, err = store.Create(ctx, configwriter.Kind, configwriter.Name, value)
	} else {
		c.stored.Value = value
		c.stored, err = store.Update(ctx, c.stored)
	}
	if err != nil {
		return 0, fmt.Errorf("store configuration version: %w", err)
	}
	return c.await(ctx, begin)
}

func (c *configurationWriter) await(ctx context.Context, begin time.Time) (time.Duration, error) {
	last := begin
	for _, p := range c.fleet.entries {
		err := p.await(ctx, c.config.Clock, func() bool {
			at, ok := p.appliedAt[c.stored.Version.Counter()]
			if ok && at.After(last) {
				last = at
			}
			return ok
		})
		if err != nil {
			return 0, fmt.Errorf("configuration version %s did not come into force at entry %s: %w", c.stored.Version, p.id, err)
		}
	}
	return last.Sub(begin), nil
}

// measureTimes applies n changes and returns the median and the maximum propagation time.
func (c *configurationWriter) measureTimes(ctx context.Context, n int) (median, maximum time.Duration, err error) {
	if n == 0 {
		return 0, 0, nil
	}
	times := make([]time.Duration, n)
	for i := range times {
		if times[i], err = c.apply(ctx); err != nil {
			return 0, 0, err
		}
	}
	slices.Sort(times)
	return times[n/2], times[n-1], nil
}

func (c *configurationWriter) store() (eelgrassbeam.Store, error) {
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	return platform.New(platform.Config{URL: c.fleet.url, Clock: c.config.Clock, Log: log})
}
