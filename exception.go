package eelgrassbeam

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Setting is the setting that an exception overrides.
type Setting string

// The settings that exceptions can override, with the unit of the value.
const (
	// SettingDrain stops new requests to the target; its value is "true".
	SettingDrain Setting = "drain"
	// SettingShiftCap limits the new requests shifted into a region, in requests per second.
	SettingShiftCap Setting = "shift_cap_per_second"
	// SettingWeight scales the target's share of traffic by a factor from 0 to 1.
	SettingWeight Setting = "weight"
	// SettingSlots limits the requests in progress at an upstream.
	SettingSlots Setting = "slots"
	// SettingRetryShare is a service's retry budget as a fraction of first attempts, 0 to 1.
	SettingRetryShare Setting = "retry_share"
)

// UnmarshalText decodes and validates the setting.
func (s *Setting) UnmarshalText(text []byte) error {
	return decodeEnum(s, "setting", text, SettingDrain, SettingShiftCap, SettingWeight, SettingSlots, SettingRetryShare)
}

// TargetKind is the kind of object that an exception applies to.
type TargetKind string

// The target kinds.
const (
	TargetUpstream TargetKind = "upstream"
	TargetEntry    TargetKind = "entry"
	TargetZone     TargetKind = "zone"
	TargetRegion   TargetKind = "region"
	TargetService  TargetKind = "service"
)

// UnmarshalText decodes and validates the kind.
func (k *TargetKind) UnmarshalText(text []byte) error {
	return decodeEnum(k, "target kind", text, TargetUpstream, TargetEntry, TargetZone, TargetRegion, TargetService)
}

// Exception overrides one setting for one target, with a mandatory reason.
type Exception struct {
	ID         string     `json:"id"`
	Setting    Setting    `json:"setting"`
	TargetKind TargetKind `json:"target_kind"`
	Target     string     `json:"target"`
	Value      string     `json:"value"`
	Reason     string     `json:"reason"`
	Author     string     `json:"author"`
	CreatedAt  time.Time  `json:"created_at"`
	// ExpiresAt is zero if the exception does not expire.
	ExpiresAt time.Time `json:"expires_at,omitzero"`
}

// IsActive reports whether the exception has not expired at now.
func (e Exception) IsActive(now time.Time) bool {
	return e.ExpiresAt.IsZero() || now.Before(e.ExpiresAt)
}

// Number returns the value as a number, or 0 if it isn't one. Validate ensures that numeric settings hold a number.
func (e Exception) Number() float64 {
	number, err := strconv.ParseFloat(e.Value, 64)
	if err != nil {
		return 0
	}
	return number
}

// Validate checks that the required fields are set, and that target kind and value are valid for the setting.
func (e Exception) Validate() error {
	var errs []error
	addError := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("%w: exception %q: "+format, append([]any{ErrInvalid, e.ID}, args...)...))
	}
	if e.ID == "" {
		addError("id is empty")
	}
	if strings.TrimSpace(e.Reason) == "" {
		addError("reason is empty: state why the exception is needed")
	}
	if e.Target == "" {
		addError("target is empty")
	}
	if want, ok := e.checkTargetKind(); !ok {
		addError("setting %s does not apply to target kind %q: want one of %v", e.Setting, e.TargetKind, want)
	}
	if want, ok := e.checkValue(); !ok {
		addError("value %q of %s: want %s", e.Value, e.Setting, want)
	}
	return errors.Join(errs...)
}

func (e Exception) checkTargetKind() ([]TargetKind, bool) {
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

func (e Exception) checkValue() (string, bool) {
	number, err := strconv.ParseFloat(e.Value, 64)
	switch e.Setting {
	case SettingDrain:
		return `"true"`, e.Value == "true"
	case SettingShiftCap:
		return "requests per second, 0 or more", err == nil && number >= 0 && number <= maxRate
	case SettingSlots:
		return "a whole number from 1 to 10000", err == nil && number >= 1 && number <= maxSlots && number == float64(int(number))
	default:
		return "a number from 0 to 1", err == nil && number >= 0 && number <= 1
	}
}
