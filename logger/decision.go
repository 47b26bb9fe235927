package logger

import (
	"fmt"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Kind names the decision that was made.
type Kind string

// The kinds of decision.
const (
	// KindPlacement chooses the entries of a look-up answer.
	KindPlacement Kind = "placement"
	// KindDispatch chooses a site or an upstream for a request.
	KindDispatch Kind = "dispatch"
	// KindAdmission admits, queues or refuses a request.
	KindAdmission Kind = "admission"
	// KindShift grants, uses or withdraws a shift between regions.
	KindShift Kind = "shift"
	// KindRetry chooses whether a request is tried again.
	KindRetry Kind = "retry"
	// KindTerm takes or hands over the dispatch of a site.
	KindTerm Kind = "term"
	// KindConfiguration accepts or refuses a configuration version.
	KindConfiguration Kind = "configuration"
	// KindMembership changes an instance's state.
	KindMembership Kind = "membership"
)

// UnmarshalText decodes and checks the kind.
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

// Versions name the inputs of a decision.
type Versions struct {
	Configuration uint64 `json:"configuration"`
	Fleet         uint64 `json:"fleet"`
	// Load is the revision of the load view, 0 where none was used.
	Load uint64 `json:"load,omitempty"`
}

// Decision is one routing or placement decision with its inputs' versions.
type Decision struct {
	// At is set by Record where it is zero.
	At      time.Time              `json:"at"`
	Kind    Kind                   `json:"kind"`
	Request eelgrassbeam.RequestID `json:"request,omitempty"`
	// Versions name the inputs.
	Versions Versions `json:"versions"`
	// Choice is what was chosen, such as an upstream or "refuse".
	Choice string `json:"choice"`
	Reason string `json:"reason"`
	Fields Fields `json:"fields"`
}

// Filter selects recent decisions; its zero value selects all.
type Filter struct {
	// Kind is empty for all kinds.
	Kind Kind
	// Request is empty for all requests.
	Request eelgrassbeam.RequestID
	// Limit bounds the result, 0 for no bound.
	Limit int
}

func (f Filter) selects(d *Decision) bool {
	return (f.Kind == "" || f.Kind == d.Kind) && (f.Request == "" || f.Request == d.Request)
}
