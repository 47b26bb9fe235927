package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
)

// configApply stores a whole document if the version on which it is based is still the stored one.
var configApply = command{
	name:        "config apply",
	description: "check and store a configuration document; - reads standard input",
	arguments:   []string{"FILE"},
	flags:       []string{"author", "note", "expected-version", "wait", "dry-run"},
	action: func(ctx context.Context, s *session, args []string) error {
		data, err := s.readFile(args[0])
		if err != nil {
			return err
		}
		if !json.Valid(data) {
			return fmt.Errorf("%s: %w", args[0], errNotJSON)
		}
		base, err := s.baseVersion(data)
		if err != nil {
			return err
		}
		return s.applyDocument(ctx, base, data)
	},
}

// applyDocument stores the document if base is still the stored version.
func (s *session) applyDocument(ctx context.Context, base storedChange, document []byte) error {
	id := s.newID()
	return s.submitChange(ctx, change{id: id, base: base, send: func(
		ctx context.Context, c *genoperator.Client,
	) (json.RawMessage, error) {
		result, err := c.ApplyConfiguration(ctx, &genoperator.ApplyConfigurationPayload{
			ExpectedVersion: base.Version,
			ExpectedEra:     base.Era,
			Configuration:   document,
			ChangeID:        string(id),
			Author:          s.options.author,
			Note:            optional(s.options.note),
			DryRun:          s.options.dryRun,
		})
		if err != nil {
			return nil, err
		}
		return result.Document, nil
	}})
}

// baseVersion returns the version on which the document is based. --expected-version takes precedence over the
// version in the document.
func (s *session) baseVersion(document []byte) (storedChange, error) {
	if s.options.expectedVersion != "" {
		return parseVersion(s.options.expectedVersion)
	}
	// A document that was never stored has an empty change id, which eelgrassbeam.ChangeID does not decode.
	var header struct {
		Version uint64 `json:"version"`
		Era     uint64 `json:"era"`
		Change  struct {
			ID string `json:"id"`
		} `json:"change"`
	}
	if err := json.Unmarshal(document, &header); err != nil {
		return storedChange{}, fmt.Errorf("%w: document: %w", eelgrassbeam.ErrInvalid, err)
	}
	return storedChange{
		Version: header.Version, Era: header.Era, Change: eelgrassbeam.Change{ID: eelgrassbeam.ChangeID(header.Change.ID)},
	}, nil
}

// parseVersion parses a version as the commands print it: 45, or 2.45 with the store's era.
func parseVersion(text string) (storedChange, error) {
	era, version, hasEra := strings.Cut(text, ".")
	if !hasEra {
		era, version = "0", text
	}
	var parsed storedChange
	var eraErr, versionErr error
	parsed.Era, eraErr = strconv.ParseUint(era, 10, eelgrassbeam.EraBits)
	parsed.Version, versionErr = strconv.ParseUint(version, 10, 64-eelgrassbeam.EraBits)
	if eraErr != nil || versionErr != nil {
		return storedChange{}, usagef("--expected-version %q: want a whole number, or two with a dot between them", text)
	}
	return parsed, nil
}

// readFile returns the content of the file, or of standard input for the name "-".
func (s *session) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(s.stdin)
	}
	return os.ReadFile(name)
}
