package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/eelgrassbeam/eelgrassbeam"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
)

// configApply stores a whole document if the version that it rests on is still stored.
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
		expected, err := s.expectedVersion(data)
		if err != nil {
			return err
		}
		return s.apply(ctx, expected, data)
	},
}

// apply stores the document if the expected version is still stored.
func (s *session) apply(ctx context.Context, expected uint64, document []byte) error {
	id := s.newID()
	return s.change(ctx, id, func(ctx context.Context, c *genoperator.Client) (json.RawMessage, error) {
		result, err := c.ApplyConfiguration(ctx, &genoperator.ApplyConfigurationPayload{
			ExpectedVersion: expected,
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
	})
}

// expectedVersion returns the version that the flag names, or else the document.
func (s *session) expectedVersion(document []byte) (uint64, error) {
	if s.options.expected != "" {
		expected, err := strconv.ParseUint(s.options.expected, 10, 64)
		if err != nil {
			return 0, usagef("--expected-version %q: want a whole number", s.options.expected)
		}
		return expected, nil
	}
	var named struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(document, &named); err != nil {
		return 0, fmt.Errorf("%w: document: %w", eelgrassbeam.ErrInvalid, err)
	}
	return named.Version, nil
}

// readFile returns the file's content, or standard input's for "-".
func (s *session) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(s.stdin)
	}
	return os.ReadFile(name)
}
