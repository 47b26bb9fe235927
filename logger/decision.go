package logger

import (
	"fmt"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Kind is the kind of a decision.
type Kind string

// The decision kinds.
const (
	// KindPlacement is the selection of the entries of a lookup answer.
	KindPlacement Kind = "placement"
	// KindDispatch is the selection of a site or an upstream for a request.
	KindDispatch Kind = "dispatch"
	// KindAdmission is the admission, queueing or rejection of a request.
	KindAdmission Kind = "admission"
	// KindShift is the grant or refusal of a shift of requests between regions.
	KindShift Kind = "shift"
	// KindRetry is the decision whether a request is retried.
	KindRetry Kind = "retry"
	// KindTerm is the takeover or release of the dispatch to a site.
	KindTerm Kind = "term"
	// KindConfiguration is the acceptance or rejection of a configuration version.
	KindConfiguration Kind = "configuration"
	// KindMembership is a change of an instance's state.
	KindMembership Kind = "membership"
)

// UnmarshalText decodes and validates the kind.
func (k *Kind) UnmarshalText(text []byte) error {
	for _, kind := range Kinds() {
		if string(kind) == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("%w: decision kind %q: want one of %v", eelgrassbeam.ErrInvalid, text, Kinds())
}

// Kinds returns all kinds of decision.
func Kinds() []Kind {
	return []Kind{
		KindPlacement, KindDispatch, KindAdmission, KindShift,
		KindRetry, KindTerm, KindConfiguration, KindMembership,
	}
}

// Versions holds the versions of a decision's inputs.
type Versions struct {
	Configuration uint64 `json:"configuration"`
	Fleet         uint64 `json:"fleet"`
	// Load is the revision of the load snapshot, 0 if none was used.
	Load uint64 `json:"load,omitempty"`
}

// Decision is one routing or placement decision with the versions of its inputs.
type Decision struct {
	// At is set by Record if it is zero.
	At       time.Time              `json:"at"`
	Kind     Kind                   `json:"kind"`
	Request  eelgrassbeam.RequestID `json:"request,omitempty"`
	Versions Versions               `json:"versions"`
	// Choice is the result, such as an upstream or "refuse".
	Choice string `json:"choice"`
	Reason string `json:"reason"`
	Fields Fields `json:"fields"`
}

// Filter selects recent decisions; the zero value matches all.
type Filter struct {
	// Kind is the kind to match; empty matches all.
	Kind Kind
	// Request is the request to match; empty matches all.
	Request eelgrassbeam.RequestID
	// Limit is the maximum number of results, 0 for no limit.
	Limit int
}

func (f Filter) matches(d *Decision) bool {
	return (f.Kind == "" || f.Kind == d.Kind) && (f.Request == "" || f.Request == d.Request)
}
