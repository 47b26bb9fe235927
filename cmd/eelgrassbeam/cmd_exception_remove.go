package main

import (
	"context"
	"encoding/json"

	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
)

// exceptionRemove removes the exception with the given id.
var exceptionRemove = command{
	name:        "exception remove",
	description: "remove one exception, so that the default holds again",
	arguments:   []string{"ID"},
	flags:       []string{"author", "note", "wait"},
	action: func(ctx context.Context, s *session, args []string) error {
		return s.removeException(ctx, args[0], s.options.note)
	},
}

func (s *session) removeException(ctx context.Context, exception, note string) error {
	id := s.newID()
	return s.submitChange(ctx, change{id: id, send: func(ctx context.Context, c *genoperator.Client) (json.RawMessage, error) {
		result, err := c.RemoveException(ctx, &genoperator.RemoveExceptionPayload{
			ID: exception, ChangeID: string(id), Author: s.options.author, Note: optional(note),
		})
		if err != nil {
			return nil, err
		}
		return result.Document, nil
	}})
}
