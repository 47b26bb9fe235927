package eelgrassbeam

import "fmt"

// maxIDBytes is the maximum length of an identifier or name.
const maxIDBytes = 128

type (
	// EntryID identifies an entry instance.
	EntryID string
	// UpstreamID identifies a backend server as an upstream.
	UpstreamID string
	// ZoneID identifies an availability zone.
	ZoneID string
	// RegionID identifies a region.
	RegionID string
	// ServiceName is the name of a shared service.
	ServiceName string
	// TeamID identifies the team on whose behalf a request is sent; it may be empty.
	TeamID string
	// RequestID identifies one request end to end.
	RequestID string
	// ChangeID identifies one configuration change.
	ChangeID string
	// IdempotencyKey identifies one non-idempotent operation across retries; it may be empty.
	IdempotencyKey string
)

// UnmarshalText decodes and validates the identifier.
func (id *EntryID) UnmarshalText(text []byte) error { return decodeID(id, "entry id", text, false) }

// UnmarshalText decodes and validates the identifier.
func (id *UpstreamID) UnmarshalText(text []byte) error {
	return decodeID(id, "upstream id", text, false)
}

// UnmarshalText decodes and validates the identifier.
func (id *ZoneID) UnmarshalText(text []byte) error { return decodeID(id, "zone id", text, false) }

// UnmarshalText decodes and validates the identifier.
func (id *RegionID) UnmarshalText(text []byte) error { return decodeID(id, "region id", text, false) }

// UnmarshalText decodes and validates the name.
func (n *ServiceName) UnmarshalText(text []byte) error {
	return decodeID(n, "service name", text, false)
}

// UnmarshalText decodes and validates the identifier.
func (id *TeamID) UnmarshalText(text []byte) error {
	return decodeID(id, "team id", text, true)
}

// UnmarshalText decodes and validates the identifier.
func (id *RequestID) UnmarshalText(text []byte) error {
	return decodeID(id, "request id", text, false)
}

// UnmarshalText decodes and validates the identifier.
func (id *ChangeID) UnmarshalText(text []byte) error { return decodeID(id, "change id", text, false) }

// UnmarshalText decodes and validates the key.
func (k *IdempotencyKey) UnmarshalText(text []byte) error {
	return decodeID(k, "idempotency key", text, true)
}

func decodeID[T ~string](target *T, label string, text []byte, allowEmpty bool) error {
	if len(text) == 0 && !allowEmpty {
		return fmt.Errorf("%w: %s is empty", ErrInvalid, label)
	}
	if len(text) > maxIDBytes {
		return fmt.Errorf("%w: %s has %d bytes: want at most %d", ErrInvalid, label, len(text), maxIDBytes)
	}
	for _, b := range text {
		if !isIDByte(b) {
			return fmt.Errorf("%w: %s %q: want letters, digits and -._:/", ErrInvalid, label, text)
		}
	}
	*target = T(text)
	return nil
}

func isIDByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	case b == '-', b == '.', b == '_', b == ':', b == '/':
		return true
	default:
		return false
	}
}
