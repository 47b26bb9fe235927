package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Change is a conditional replacement of the whole configuration.
type Change struct {
	// Expected is the version that must still be stored; 0 if none is stored yet. Without an era it matches that
	// version of any era.
	Expected eelgrassbeam.Revision
	// Configuration is the new configuration with the metadata of the change; its version is ignored.
	Configuration eelgrassbeam.Configuration
	// DryRun validates the change without storing it.
	DryRun bool
}

// ApplyTo returns the configuration to store in place of the stored one. On an error it returns the stored one: with
// ErrAlreadyStored if it already includes the change, or with a *ConflictError if its version is not the expected one.
func (c Change) ApplyTo(stored eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
	if stored.Version > 0 && stored.IncludesChange(c.Configuration.Change.ID) {
		return stored, ErrAlreadyStored
	}
	if !c.expects(stored) {
		return stored, &ConflictError{Stored: stored}
	}
	return c.Configuration, nil
}

func (c Change) expects(stored eelgrassbeam.Configuration) bool {
	return stored.Revision() == c.Expected || c.Expected.Era() == 0 && stored.Version == c.Expected.Counter()
}

// ErrAlreadyStored reports that the stored configuration already includes the change.
var ErrAlreadyStored = errors.New("the change is already stored")

// RebasedOn returns a copy of the change that expects the stored version and keeps the stored defaults, with the given
// exceptions.
func (c Change) RebasedOn(stored eelgrassbeam.Configuration, exceptions []eelgrassbeam.Exception) Change {
	c.Expected = stored.Revision()
	c.Configuration = stored.WithRevision(0).WithChange(c.Configuration.Change).WithExceptions(exceptions).WithRecentChanges(nil)
	return c
}

// ConflictError reports that the stored version is not the expected one.
type ConflictError struct {
	// Stored is the configuration that is stored instead.
	Stored eelgrassbeam.Configuration
}

// Error describes the stored change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %s is stored: change %s by %s at %s",
		e.Stored.Revision(), e.Stored.Change.ID, e.Stored.Change.Author, e.Stored.Change.At.UTC().Format(timeFormat))
}

// Unwrap returns eelgrassbeam.ErrConflict.
func (e *ConflictError) Unwrap() error { return eelgrassbeam.ErrConflict }

const timeFormat = "2006-01-02T15:04:05Z07:00"

// Faults returns the text of each error that is joined in err, or nil for a nil error.
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

// isJoin reports whether err is from errors.Join. An error from fmt.Errorf with several %w unwraps to a list as well,
// but is a single fault.
func isJoin(err error, parts []error) bool {
	texts := make([]string, len(parts))
	for i, part := range parts {
		texts[i] = part.Error()
	}
	return err.Error() == strings.Join(texts, "\n")
}

// document is a configuration whose parts are decoded separately, so that the faults of all parts are reported.
type document struct {
	Version    uint64            `json:"version"`
	Era        uint64            `json:"era"`
	Defaults   json.RawMessage   `json:"defaults"`
	Exceptions []json.RawMessage `json:"exceptions"`
	// Change and RecentChanges are accepted but ignored, so that a document can be sent back as it was read.
	Change        json.RawMessage `json:"change"`
	RecentChanges json.RawMessage `json:"recent_changes"`
}

// DecodeDocument decodes and validates a configuration document. Unknown fields are refused. All faults are returned
// as one joined error, each wrapping eelgrassbeam.ErrInvalid.
func DecodeDocument(data []byte) (eelgrassbeam.Configuration, error) {
	var parts document
	if err := decodeStrictly(data, &parts); err != nil {
		return eelgrassbeam.Configuration{}, asInvalid("configuration", err)
	}
	configuration := eelgrassbeam.Configuration{Version: parts.Version, Era: parts.Era}
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
	// A part that fails to decode is incomplete, so the whole configuration is validated only if all parts decode.
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
		return errTrailingData
	}
	return nil
}

var errTrailingData = errors.New("text after the document")

func asInvalid(part string, err error) error {
	if errors.Is(err, eelgrassbeam.ErrInvalid) {
		return fmt.Errorf("%s: %w", part, err)
	}
	return fmt.Errorf("%s: %w: %w", part, eelgrassbeam.ErrInvalid, err)
}
