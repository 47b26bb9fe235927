package eelgrassbeam

import (
	"fmt"
	"time"
)

// Duration is a non-negative time.Duration that is encoded as text, such as "150ms".
type Duration struct{ time.Duration }

// Milliseconds returns a Duration of n milliseconds.
func Milliseconds(n int64) Duration { return Duration{time.Duration(n) * time.Millisecond} }

// Seconds returns a Duration of n seconds.
func Seconds(n int64) Duration { return Duration{time.Duration(n) * time.Second} }

// MarshalText encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes the format of time.ParseDuration and rejects negative durations.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%w: duration %q: want a number with a unit such as 150ms or 3s", ErrInvalid, text)
	}
	if parsed < 0 {
		return fmt.Errorf("%w: duration %q: want zero or more", ErrInvalid, text)
	}
	d.Duration = parsed
	return nil
}
