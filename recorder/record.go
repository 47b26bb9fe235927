package recorder

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// State is the progress of a request at the receiver.
type State string

// States of a request. A barred request was cancelled before it started.
const (
	StateReceived State = "received"
	StateStarted  State = "started"
	StateDone     State = "done"
	StateBarred   State = "barred"
)

// record is the state of one request.
type record struct {
	state State
	reply *eelgrassbeam.Reply
	bytes int64
	// settledAt is the time on the recorder's clock at which the request was last finished or barred.
	settledAt time.Duration
}

// settledRecord is an element of the expiry queues.
type settledRecord struct {
	id eelgrassbeam.RequestID
	at time.Duration
}
