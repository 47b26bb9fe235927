package main

import (
	"context"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
)

// exceptionList prints the exceptions, including expired ones, with their reasons.
var exceptionList = command{
	name:        "exception list",
	description: "list the exceptions with their reasons",
	action: func(ctx context.Context, s *session, _ []string) error {
		exceptions, err := s.exceptions(ctx)
		if err != nil {
			return err
		}
		rows := []string{row("ID", "SETTING", "TARGET", "VALUE", "AUTHOR", "CREATED", "EXPIRES", "REASON")}
		for _, e := range exceptions {
			rows = append(rows, row(e.ID, e.Setting, string(e.TargetKind)+" "+e.Target, e.Value, e.Author,
				e.CreatedAt.UTC().Format(time.RFC3339), expiry(e, s.clock.Now()), e.Reason))
		}
		return s.print(exceptions, rows)
	},
}

func (s *session) exceptions(ctx context.Context) ([]eelgrassbeam.Exception, error) {
	result, err := tryEntries(ctx, s, func(ctx context.Context, c *genoperator.Client) (*genoperator.ListExceptionsResult, error) {
		return c.ListExceptions(ctx)
	})
	if err != nil {
		return nil, err
	}
	return decode[[]eelgrassbeam.Exception](result.Document)
}

func expiry(e eelgrassbeam.Exception, now time.Time) string {
	switch {
	case e.ExpiresAt.IsZero():
		return "never"
	case !e.IsActive(now):
		return "expired"
	default:
		return e.ExpiresAt.UTC().Format(time.RFC3339)
	}
}
