package monitor

import (
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Service is the gRPC service name of the monitor.
const Service = "eelgrassbeam.monitor"

const maxWatchers = 8

// heartbeat renews the sender's term with its watchers.
type heartbeat struct {
	_    struct{} `cbor:",toarray"`
	From eelgrassbeam.EntryID
	// Incarnation increases with each restart and with each new epoch.
	Incarnation uint64
	// FirstIncarnation is the first incarnation of the sending process.
	FirstIncarnation uint64
	// Watchers is set until the receiver has acknowledged the incarnation.
	Watchers []eelgrassbeam.EntryID
	// Held is set if the sender has held its term in this incarnation.
	Held    bool
	Leaving bool
}

// Validate returns ErrInvalid if a required field is missing or out of range.
func (h heartbeat) Validate() error {
	if h.From == "" || h.Incarnation == 0 || h.FirstIncarnation == 0 || h.FirstIncarnation > h.Incarnation || len(h.Watchers) > maxWatchers {
		return fmt.Errorf("%w: malformed heartbeat from %q", eelgrassbeam.ErrInvalid, h.From)
	}
	return nil
}

// ackResult is a watcher's response to a heartbeat.
type ackResult string

const (
	// ackOK means that the watcher will not declare the sender failed before its term expires.
	ackOK ackResult = "ok"
	// ackUnknown means that the watcher has no record of the incarnation.
	ackUnknown ackResult = "unknown"
	// ackBarred means that the watcher has agreed to declare the incarnation failed and accepts no more of its
	// heartbeats.
	ackBarred ackResult = "barred"
	// ackSuperseded means that the watcher knows a higher incarnation.
	ackSuperseded ackResult = "superseded"
	// ackWait means that the sender must retry: an earlier process may still hold its term, or votes on an earlier
	// incarnation are being collected.
	ackWait ackResult = "wait"
)

type ack struct {
	_      struct{} `cbor:",toarray"`
	Result ackResult
	// Known is the highest incarnation that the watcher knows.
	Known uint64
}

// vote asks a watcher to bar the incarnation if its heartbeats have timed out there too.
type vote struct {
	_           struct{} `cbor:",toarray"`
	Subject     eelgrassbeam.EntryID
	Incarnation uint64
}

type voteReply struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
}

// probe checks whether an entry is running.
type probe struct {
	_ struct{} `cbor:",toarray"`
}

type probeReply struct {
	_           struct{} `cbor:",toarray"`
	ID          eelgrassbeam.EntryID
	Incarnation uint64
}

// EntryState is the gossiped state of one entry. The higher incarnation takes precedence, then failed over leaving over
// live, then the higher flap count.
type EntryState struct {
	_           struct{} `cbor:",toarray"`
	ID          eelgrassbeam.EntryID
	Incarnation uint64
	State       eelgrassbeam.InstanceState
	// Flaps counts recent failures; each one doubles the heartbeats required to recover.
	Flaps uint8
}

// Validate returns ErrInvalid if the ID is empty or the state is unknown.
func (s EntryState) Validate() error {
	if s.ID == "" || stateOrder(s.State) < 0 {
		return fmt.Errorf("%w: state %q of entry %q", eelgrassbeam.ErrInvalid, s.State, s.ID)
	}
	return nil
}

// Supersedes reports whether s replaces other. It is a strict total order on the states of one entry.
func (s EntryState) Supersedes(other EntryState) bool {
	switch {
	case s.Incarnation != other.Incarnation:
		return s.Incarnation > other.Incarnation
	case s.State != other.State:
		return stateOrder(s.State) > stateOrder(other.State)
	default:
		return s.Flaps > other.Flaps
	}
}

func stateOrder(state eelgrassbeam.InstanceState) int {
	switch state {
	case eelgrassbeam.InstanceLive:
		return 0
	case eelgrassbeam.InstanceLeaving:
		return 1
	case eelgrassbeam.InstanceFailed:
		return 2
	default:
		return -1
	}
}
