package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
)

var errNoConfiguration = errors.New("this entry has no configuration yet")

// service implements the generated service with the backend.
type service struct {
	config Config
}

var _ genoperator.Service = (*service)(nil)

// GetConfiguration returns the configuration in force at this entry.
func (s *service) GetConfiguration(context.Context) (*genoperator.GetConfigurationResult, error) {
	configuration, ok := s.config.Backend.Configuration()
	if !ok {
		return nil, genoperator.MakeNotReady(errNoConfiguration)
	}
	document, err := json.Marshal(configuration)
	return &genoperator.GetConfigurationResult{Document: document}, err
}

// ApplyConfiguration validates and stores the whole configuration.
func (s *service) ApplyConfiguration(
	ctx context.Context, payload *genoperator.ApplyConfigurationPayload,
) (*genoperator.ApplyConfigurationResult, error) {
	meta, err := s.newChange(payload.ChangeID, payload.Author, payload.Note)
	if err != nil {
		return nil, apiError(err, meta.ID)
	}
	configuration, err := DecodeDocument(payload.Configuration)
	if err != nil {
		return nil, apiError(err, meta.ID)
	}
	change := Change{
		Expected:      expectedRevision(payload, configuration),
		Configuration: configuration.WithRevision(0).WithChange(meta),
		DryRun:        payload.DryRun,
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	stored, err := s.apply(ctx, change)
	if err != nil {
		return nil, apiError(err, meta.ID)
	}
	document, err := json.Marshal(stored)
	return &genoperator.ApplyConfigurationResult{Document: document}, err
}

// expectedRevision returns the revision that the change rests on. A client that names no era means the document's one
// if the document rests on the same version.
func expectedRevision(payload *genoperator.ApplyConfigurationPayload, document eelgrassbeam.Configuration) eelgrassbeam.Revision {
	era := payload.ExpectedEra
	if era == 0 && document.Version == payload.ExpectedVersion {
		era = document.Era
	}
	return eelgrassbeam.NewRevision(era, payload.ExpectedVersion)
}

// Status returns the fleet's status.
func (s *service) Status(ctx context.Context) (*genoperator.StatusResult, error) {
	status, err := s.config.Backend.Status(ctx)
	if err != nil {
		return nil, apiError(err, "")
	}
	document, err := json.Marshal(status)
	return &genoperator.StatusResult{Document: document}, err
}

// Decisions returns the recent decisions that match the filter, newest first.
func (s *service) Decisions(
	_ context.Context, payload *genoperator.DecisionsPayload,
) (*genoperator.DecisionsResult, error) {
	decisions := s.config.Backend.Decisions(logger.Filter{
		Kind:    logger.Kind(valueOf(payload.Kind)),
		Request: eelgrassbeam.RequestID(valueOf(payload.Request)),
		Limit:   payload.Limit,
	})
	if decisions == nil {
		decisions = []logger.Decision{}
	}
	document, err := json.Marshal(decisions)
	return &genoperator.DecisionsResult{Document: document}, err
}

// newChange returns the metadata of a change that is made now. Errors wrap eelgrassbeam.ErrInvalid.
func (s *service) newChange(id, author string, note *string) (eelgrassbeam.Change, error) {
	meta := eelgrassbeam.Change{Author: strings.TrimSpace(author), At: s.config.Clock.Now().UTC(), Note: valueOf(note)}
	if err := meta.ID.UnmarshalText([]byte(id)); err != nil {
		return meta, err
	}
	if meta.Author == "" {
		return meta, fmt.Errorf("%w: author is empty", eelgrassbeam.ErrInvalid)
	}
	return meta, nil
}

// apply stores the change and logs its result.
func (s *service) apply(ctx context.Context, change Change) (*eelgrassbeam.Configuration, error) {
	stored, err := s.config.Backend.Apply(ctx, change)
	if err != nil {
		s.logChange(change, eelgrassbeam.Configuration{}, err)
		return nil, err
	}
	s.logChange(change, *stored, nil)
	return stored, nil
}

func (s *service) logChange(change Change, stored eelgrassbeam.Configuration, err error) {
	meta := change.Configuration.Change
	line := s.config.Log.WithFields(logrus.Fields{
		"event": "change", "change_id": string(meta.ID), "author": meta.Author,
		"expected_version": change.Expected.Counter(), "expected_era": change.Expected.Era(),
		"version": stored.Version, "era": stored.Era, "dry_run": change.DryRun,
	})
	if err != nil {
		line.WithError(err).Warn("")
		return
	}
	line.Info("")
}

// apiError maps the backend's errors to the generated error types.
func apiError(err error, id eelgrassbeam.ChangeID) error {
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		return &genoperator.ConflictError{
			Message:  conflict.Error(),
			Version:  conflict.Stored.Version,
			Era:      conflict.Stored.Era,
			ChangeID: string(conflict.Stored.Change.ID),
			Author:   conflict.Stored.Change.Author,
			At:       conflict.Stored.Change.At.UTC().Format(timeFormat),
			Note:     &conflict.Stored.Change.Note,
		}
	case errors.Is(err, eelgrassbeam.ErrInvalid):
		return &genoperator.InvalidError{Message: "the change is refused; nothing is stored", Faults: Faults(err)}
	case errors.Is(err, ErrNotStored):
		return genoperator.MakeNotReady(err)
	case errors.Is(err, eelgrassbeam.ErrUnavailable), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		changeID := string(id)
		return &genoperator.UnavailableError{Message: err.Error(), ChangeID: &changeID}
	default:
		return err
	}
}

func valueOf(text *string) string {
	if text == nil {
		return ""
	}
	return *text
}
