package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
)

// decisions prints the recent decisions of all entries that --operator-url names.
var decisions = command{
	name:        "decisions",
	description: "show recent decisions of the entries asked, newest first",
	flags:       []string{"kind", "request", "limit"},
	action: func(ctx context.Context, s *session, _ []string) error {
		found, err := s.decisions(ctx)
		if err != nil {
			return err
		}
		rows := []string{row("TIME", "ENTRY", "KIND", "REQUEST", "CONFIGURATION", "FLEET", "CHOICE", "REASON", "FIELDS")}
		for _, d := range found {
			rows = append(rows, row(d.At.UTC().Format(time.RFC3339Nano), d.Entry, d.Kind, d.Request,
				d.Versions.Configuration, d.Versions.Fleet, d.Choice, d.Reason, fieldText(d.Fields)))
		}
		return s.print(found, rows)
	},
}

// entryDecision is a decision with the address of the entry that made it.
type entryDecision struct {
	Entry string `json:"entry"`
	logger.Decision
}

// decisions asks each entry and fails only if none answers. It names the entries that do not answer on standard
// error.
func (s *session) decisions(ctx context.Context) ([]entryDecision, error) {
	payload := &genoperator.DecisionsPayload{
		Kind: optional(s.options.kind), Request: optional(s.options.request), Limit: s.options.limit,
	}
	found := []entryDecision{}
	var errs []error
	for _, c := range s.connections {
		result, err := attempt(ctx, c, func(ctx context.Context, client *genoperator.Client) (*genoperator.DecisionsResult, error) {
			return client.Decisions(ctx, payload)
		})
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", c.address, err))
			continue
		}
		list, err := decode[[]logger.Decision](result.Document)
		if err != nil {
			return nil, err
		}
		for _, d := range list {
			found = append(found, entryDecision{Entry: c.address, Decision: d})
		}
	}
	if len(errs) == len(s.connections) {
		return nil, errors.Join(errs...)
	}
	for _, err := range errs {
		_, _ = fmt.Fprintln(s.stderr, "eelgrassbeam: no answer:", err)
	}
	slices.SortStableFunc(found, func(a, b entryDecision) int { return b.At.Compare(a.At) })
	return found[:min(len(found), s.options.limit)], nil
}

func fieldText(fields logger.Fields) string {
	var texts []string
	for _, f := range fields {
		if f.Key() != "" {
			texts = append(texts, f.Key()+"="+f.Value())
		}
	}
	return strings.Join(texts, " ")
}
