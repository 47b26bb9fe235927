package recorder

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// State is how far a request has come at the receiver.
type State string

// The states of a request.
const (
	StateReceived State = "received"
	StateStarted  State = "started"
	StateDone     State = "done"
	StateBarred   State = "barred"
)

// record is what is kept about one request.
type record struct {
	state State
	reply *eelgrassbeam.Reply
	bytes int64
	// settled is the recorder's time when the request was last done or barred.
	settled time.Duration
}

// settlement is a place in the order in which records expire.
type settlement struct {
	id eelgrassbeam.RequestID
	at time.Duration
}
