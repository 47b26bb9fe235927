package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Change is a conditional change of the whole configuration.
type Change struct {
	// Expected is the version that must still be stored, 0 where none is.
	Expected uint64
	// Configuration is the new set with the change that made it; its version is ignored.
	Configuration eelgrassbeam.Configuration
	// DryRun checks without storing.
	DryRun bool
}

// Over returns the configuration to store over the stored one. Errors are ErrIncluded where the change is
// stored already, or a *ConflictError.
func (c Change) Over(stored eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
	if stored.Version > 0 && stored.Includes(c.Configuration.Change.ID) {
		return stored, ErrIncluded
	}
	if stored.Version != c.Expected {
		return stored, &ConflictError{Stored: stored}
	}
	return c.Configuration, nil
}

// ErrIncluded reports that the stored configuration already includes the change.
var ErrIncluded = errors.New("the change is stored already")

// WithBase returns a copy that rests on the stored configuration with its defaults and the exceptions.
func (c Change) WithBase(stored eelgrassbeam.Configuration, exceptions []eelgrassbeam.Exception) Change {
	c.Expected = stored.Version
	c.Configuration = stored.WithVersion(0).WithChange(c.Configuration.Change).WithExceptions(exceptions).WithRecentChanges(nil)
	return c
}

// ConflictError reports that another change is stored.
type ConflictError struct {
	// Stored is the configuration that stands instead.
	Stored eelgrassbeam.Configuration
}

// Error names the other change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d is stored: change %s by %s at %s",
		e.Stored.Version, e.Stored.Change.ID, e.Stored.Change.Author, e.Stored.Change.At.UTC().Format(timeFormat))
}

// Unwrap returns eelgrassbeam.ErrConflict.
func (e *ConflictError) Unwrap() error { return eelgrassbeam.ErrConflict }

const timeFormat = "2006-01-02T15:04:05Z07:00"

// Faults returns each fault joined in the error as one text.
func Faults(err error) []string {
	if joined, ok := err.(interface{ Unwrap() []error }); ok && isJoin(err, joined.Unwrap()) {
		var faults []string
		for _, fault := range joined.Unwrap() {
			faults = append(faults, Faults(fault)...)
		}
		return faults
	}
	if err == nil {
		return nil
	}
	return []string{err.Error()}
}

// isJoin tells errors.Join from fmt.Errorf with several %w.
func isJoin(err error, parts []error) bool {
	texts := make([]string, len(parts))
	for i, part := range parts {
		texts[i] = part.Error()
	}
	return err.Error() == strings.Join(texts, "\n")
}

// document is a configuration whose parts are decoded one by one, so that each part's faults are found.
type document struct {
	Version    uint64            `json:"version"`
	Defaults   json.RawMessage   `json:"defaults"`
	Exceptions []json.RawMessage `json:"exceptions"`
	// Change and RecentChanges are taken and dropped, so that a document that was read can be sent back.
	Change        json.RawMessage `json:"change"`
	RecentChanges json.RawMessage `json:"recent_changes"`
}

// DecodeDocument decodes a configuration document, refuses unknown fields and returns all faults joined.
func DecodeDocument(data []byte) (eelgrassbeam.Configuration, error) {
	var parts document
	if err := decodeStrictly(data, &parts); err != nil {
		return eelgrassbeam.Configuration{}, asInvalid("configuration", err)
	}
	configuration := eelgrassbeam.Configuration{Version: parts.Version}
	var faults []error
	if err := decodeStrictly(parts.Defaults, &configuration.Defaults); err != nil {
		faults = append(faults, asInvalid("defaults", err))
	}
	for i, part := range parts.Exceptions {
		var exception eelgrassbeam.Exception
		if err := decodeStrictly(part, &exception); err != nil {
			faults = append(faults, asInvalid(fmt.Sprintf("exceptions[%d]", i), err))
		}
		configuration.Exceptions = append(configuration.Exceptions, exception)
	}
	// A part that does not decode is incomplete, so the set is checked as a whole only without such faults.
	if len(faults) > 0 {
		return configuration, errors.Join(faults...)
	}
	return configuration, configuration.Validate()
}

func decodeStrictly(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if decoder.More() {
		return errTrailing
	}
	return nil
}

var errTrailing = errors.New("text after the document")

func asInvalid(part string, err error) error {
	if errors.Is(err, eelgrassbeam.ErrInvalid) {
		return fmt.Errorf("%s: %w", part, err)
	}
	return fmt.Errorf("%s: %w: %w", part, eelgrassbeam.ErrInvalid, err)
}
