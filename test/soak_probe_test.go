package test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// versionProbe checks which configuration version one entry has in force.
type versionProbe struct {
	callers     *soakCallers
	entry       *soakEntry
	disruptions *disruptions
}

// probed is what the entry's answer tells about a version. Neither is set if the answer is no evidence.
type probed struct {
	record           soakRecord
	inForce, missing bool
}

// run repeatedly requests the route that the latest version has added, until ctx is done. It returns an error for each
// time that the entry reverted to an earlier version or lacked the version after soakConfigDelay.
func (p versionProbe) run(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: soakClientTimeout}
	var errs []error
	seenVersion, seenIncarnation := 0, 0
	for ctx.Err() == nil {
		latest, incarnation := p.callers.fleet.operator.latest(), p.entry.incarnation()
		found := p.request(client, latest.version)
		began := found.record.began
		if found.missing && seenVersion > 0 && seenIncarnation == incarnation {
			again := found
			if seenVersion != latest.version {
				again = p.request(client, seenVersion)
			}
			if again.missing && p.entry.incarnation() == incarnation {
				errs = append(errs, fmt.Errorf("%s reverted from configuration version %d (request %s)", p.entry.name, seenVersion, again.record.id))
			}
		}
		switch {
		case found.inForce:
			seenVersion, seenIncarnation = latest.version, incarnation
		case found.missing && began.Sub(latest.at) > soakConfigDelay && !p.disruptions.disrupted(p.entry.name, began, found.record.ended, true):
			errs = append(errs, fmt.Errorf("%s does not have configuration version %d in force after %s (request %s)", p.entry.name, latest.version, began.Sub(latest.at), found.record.id))
		}
		if err := p.checkRevocation(client); err != nil {
			errs = append(errs, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(150 * time.Millisecond):
		}
	}
	return errors.Join(errs...)
}

// checkRevocation requests the route that the latest version has added with the credential that it has taken away. An entry
// with the route has a version without the credential.
func (p versionProbe) checkRevocation(client *http.Client) error {
	latest, before := p.callers.fleet.operator.latestTwo()
	if before.version == 0 || before.version >= latest.version {
		return nil
	}
	record, _ := p.callers.exchangeWith(
		versionCredential(before.version), client, "http://"+p.entry.addresses["front"], http.MethodGet, versionPath(latest.version), "0", time.Millisecond, p.entry)
	if !record.fromBackend {
		return nil
	}
	return fmt.Errorf("%s took a credential that configuration version %d has taken away (request %s)", p.entry.name, latest.version, record.id)
}

func (p versionProbe) request(client *http.Client, version int) probed {
	record, _ := p.callers.exchange(client, "http://"+p.entry.addresses["front"], http.MethodGet, versionPath(version), "0", time.Millisecond, p.entry)
	missing := record.err == nil && record.status == http.StatusNotFound
	// A 503 that no backend sent is no evidence: an entry that has not loaded its routes also answers with it.
	inForce := record.err == nil && !missing && (record.fromBackend || record.status != http.StatusServiceUnavailable)
	return probed{record: record, inForce: inForce, missing: missing}
}

// Guards against a probe that never fails.
func TestVersionProbe(t *testing.T) {
	long := time.Now().Add(-time.Minute)
	first := []storedVersion{{version: 1, at: long}, {version: 4, at: long}}
	for _, test := range []struct {
		name string
		// inForce are the versions that the entry has in force at its first and its later requests.
		inForce, later int
		// stored are the versions stored at the first request, next those stored then.
		stored, next  []storedVersion
		isRestarted   bool
		isDisrupted   bool
		wantViolation string
	}{
		{name: "latest version in force", inForce: 4, later: 4, stored: first},
		{name: "latest version missing", inForce: 1, later: 1, stored: first, wantViolation: "does not have configuration version 4"},
		{name: "latest version missing during a disruption", inForce: 1, later: 1, stored: first, isDisrupted: true},
		{name: "reverted", inForce: 4, later: 1, stored: first, wantViolation: "reverted from configuration version 4"},
		{name: "reverted during a disruption", inForce: 4, later: 1, stored: first, isDisrupted: true, wantViolation: "reverted from configuration version 4"},
		{name: "reverted by a restart", inForce: 4, later: 1, stored: first, isRestarted: true, isDisrupted: true},
		{
			name: "reverted before the next version", inForce: 4, later: 1, stored: first, next: []storedVersion{{version: 7, at: time.Now().Add(time.Minute)}},
			wantViolation: "reverted from configuration version 4",
		},
		{name: "next version not in force yet", inForce: 4, later: 4, stored: first, next: []storedVersion{{version: 7, at: time.Now().Add(time.Minute)}}},
		{name: "later version in force", inForce: 4, later: 7, stored: first},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := &soakFleet{}
			f.operator.versions = test.stored
			e := &soakEntry{name: "e0"}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			requests := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				inForce := test.inForce
				if requests++; requests > 1 {
					inForce = test.later
				}
				var requested int
				if _, err := fmt.Sscanf(r.URL.Path, versionPathStart+"%d/", &requested); err != nil || requested > inForce {
					w.WriteHeader(http.StatusNotFound)
				}
				if requests == 1 {
					f.operator.mu.Lock()
					f.operator.versions = append(f.operator.versions[:2:2], test.next...)
					f.operator.mu.Unlock()
				}
				if requests == 1 && test.isRestarted {
					e.mu.Lock()
					e.starts++
					e.mu.Unlock()
				}
				if requests == 4 {
					cancel()
				}
			}))
			defer server.Close()
			e.addresses = map[string]string{"front": strings.TrimPrefix(server.URL, "http://")}
			var ds disruptions
			if test.isDisrupted {
				defer ds.begin("", true)()
			}
			err := versionProbe{callers: &soakCallers{fleet: f}, entry: e, disruptions: &ds}.run(ctx)
			if test.wantViolation == "" {
				is.New(t).NoErr(err)
				return
			}
			is.New(t).True(err != nil && strings.Contains(err.Error(), test.wantViolation))
		})
	}
}
