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
		base, err := s.base(data)
		if err != nil {
			return err
		}
		return s.apply(ctx, base, data)
	},
}

// apply stores the document if the base is still stored.
func (s *session) apply(ctx context.Context, base storedChange, document []byte) error {
	id := s.newID()
	return s.makeChange(ctx, change{id: id, base: base.Change.ID, send: func(
		ctx context.Context, c *genoperator.Client,
	) (json.RawMessage, error) {
		result, err := c.ApplyConfiguration(ctx, &genoperator.ApplyConfigurationPayload{
			ExpectedVersion: base.Version,
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

// base returns the version that the document rests on; the flag's version goes before the document's own.
func (s *session) base(document []byte) (storedChange, error) {
	if s.options.expected != "" {
		version, err := strconv.ParseUint(s.options.expected, 10, 64)
		if err != nil {
			return storedChange{}, usagef("--expected-version %q: want a whole number", s.options.expected)
		}
		return storedChange{Version: version}, nil
	}
	// A document that never was stored has a change without an id.
	var named struct {
		Version uint64 `json:"version"`
		Change  struct {
			ID string `json:"id"`
		} `json:"change"`
	}
	if err := json.Unmarshal(document, &named); err != nil {
		return storedChange{}, fmt.Errorf("%w: document: %w", eelgrassbeam.ErrInvalid, err)
	}
	return storedChange{Version: named.Version, Change: eelgrassbeam.Change{ID: eelgrassbeam.ChangeID(named.Change.ID)}}, nil
}

// readFile returns the file's content, or standard input's for "-".
func (s *session) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(s.stdin)
	}
	return os.ReadFile(name)
}
