package eelgrassbeam

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Setting names what an exception overrides.
type Setting string

// The settings that exceptions override, with their value's unit.
const (
	// SettingDrain takes new work off the target; its value is "true".
	SettingDrain Setting = "drain"
	// SettingShiftCap bounds new requests shifted into a region, in requests a second.
	SettingShiftCap Setting = "shift_cap_per_second"
	// SettingWeight scales the target's share, a factor from 0 to 1.
	SettingWeight Setting = "weight"
	// SettingSlots bounds requests in progress at an upstream.
	SettingSlots Setting = "slots"
	// SettingRetryShare bounds a service's retries as a share of first attempts, 0 to 1.
	SettingRetryShare Setting = "retry_share"
)

// UnmarshalText decodes and checks the setting.
func (s *Setting) UnmarshalText(text []byte) error {
	return decodeEnum(s, "setting", text, SettingDrain, SettingShiftCap, SettingWeight, SettingSlots, SettingRetryShare)
}

// TargetKind names what an exception applies to.
type TargetKind string

// The kinds of target.
const (
	TargetUpstream TargetKind = "upstream"
	TargetEntry    TargetKind = "entry"
	TargetZone     TargetKind = "zone"
	TargetRegion   TargetKind = "region"
	TargetService  TargetKind = "service"
)

// UnmarshalText decodes and checks the kind.
func (k *TargetKind) UnmarshalText(text []byte) error {
	return decodeEnum(k, "target kind", text, TargetUpstream, TargetEntry, TargetZone, TargetRegion, TargetService)
}

// Exception overrides one setting for one target, for a written reason.
type Exception struct {
	ID         string     `json:"id"`
	Setting    Setting    `json:"setting"`
	TargetKind TargetKind `json:"target_kind"`
	Target     string     `json:"target"`
	Value      string     `json:"value"`
	Reason     string     `json:"reason"`
	Author     string     `json:"author"`
	CreatedAt  time.Time  `json:"created_at"`
	// ExpiresAt is zero for an exception without expiry.
	ExpiresAt time.Time `json:"expires_at,omitzero"`
}

// InForce tells whether the exception has not expired.
func (e Exception) InForce(now time.Time) bool {
	return e.ExpiresAt.IsZero() || now.Before(e.ExpiresAt)
}

// Number returns the value as a number; Validate has checked it.
func (e Exception) Number() float64 {
	number, err := strconv.ParseFloat(e.Value, 64)
	if err != nil {
		return 0
	}
	return number
}

// Validate checks the exception's fields against each other.
func (e Exception) Validate() error {
	var faults []error
	fault := func(format string, args ...any) {
		faults = append(faults, fmt.Errorf("%w: exception %q: "+format, append([]any{ErrInvalid, e.ID}, args...)...))
	}
	if e.ID == "" {
		fault("id is empty")
	}
	if strings.TrimSpace(e.Reason) == "" {
		fault("reason is empty: write why it is made")
	}
	if e.Target == "" {
		fault("target is empty")
	}
	if want, ok := e.acceptsTarget(); !ok {
		fault("setting %s does not apply to target kind %q: want one of %v", e.Setting, e.TargetKind, want)
	}
	if want, ok := e.acceptsValue(); !ok {
		fault("value %q of %s: want %s", e.Value, e.Setting, want)
	}
	return errors.Join(faults...)
}

func (e Exception) acceptsTarget() ([]TargetKind, bool) {
	var want []TargetKind
	switch e.Setting {
	case SettingDrain:
		want = []TargetKind{TargetUpstream, TargetEntry, TargetZone, TargetRegion}
	case SettingShiftCap:
		want = []TargetKind{TargetRegion}
	case SettingWeight:
		want = []TargetKind{TargetUpstream, TargetZone, TargetRegion}
	case SettingSlots:
		want = []TargetKind{TargetUpstream}
	case SettingRetryShare:
		want = []TargetKind{TargetService}
	}
	for _, kind := range want {
		if kind == e.TargetKind {
			return want, true
		}
	}
	return want, false
}

func (e Exception) acceptsValue() (string, bool) {
	number, err := strconv.ParseFloat(e.Value, 64)
	switch e.Setting {
	case SettingDrain:
		return `"true"`, e.Value == "true"
	case SettingShiftCap:
		return "requests a second, 0 or more", err == nil && number >= 0 && number <= maxRate
	case SettingSlots:
		return "a whole number from 1 to 10000", err == nil && number >= 1 && number <= maxSlots && number == float64(int(number))
	default:
		return "a number from 0 to 1", err == nil && number >= 0 && number <= 1
	}
}
