package main

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
)

// exceptionAdd adds an exception, which overrides a setting for one target.
var exceptionAdd = command{
	name:        "exception add",
	description: "override a setting for one target, for a written reason",
	arguments:   []string{"SETTING", "TARGET-KIND", "TARGET", "VALUE"},
	flags:       []string{"reason", "expires-in", "id", "author", "note", "wait"},
	action: func(ctx context.Context, s *session, args []string) error {
		return s.addException(ctx, eelgrassbeam.Exception{
			Setting: eelgrassbeam.Setting(args[0]), TargetKind: eelgrassbeam.TargetKind(args[1]),
			Target: args[2], Value: args[3],
		})
	},
}

// addException stores the exception with the reason and expiry that the flags set.
func (s *session) addException(ctx context.Context, exception eelgrassbeam.Exception) error {
	if strings.TrimSpace(s.options.reason) == "" {
		return usagef("--reason is empty: write why the exception is made")
	}
	id := s.newID()
	payload := &genoperator.AddExceptionPayload{
		ChangeID:   string(id),
		Author:     s.options.author,
		Note:       optional(s.options.note),
		ID:         optional(s.options.id),
		Setting:    string(exception.Setting),
		TargetKind: string(exception.TargetKind),
		Target:     exception.Target,
		Value:      exception.Value,
		Reason:     s.options.reason,
	}
	if s.options.expiresIn > 0 {
		payload.ExpiresIn = optional(s.options.expiresIn.String())
	}
	return s.submitChange(ctx, change{id: id, send: func(ctx context.Context, c *genoperator.Client) (json.RawMessage, error) {
		result, err := c.AddException(ctx, payload)
		if err != nil {
			return nil, err
		}
		return result.Document, nil
	}})
}
