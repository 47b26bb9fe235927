package monitor

import (
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Service is the gRPC service name of the monitor.
const Service = "eelgrassbeam.monitor"

const maxWatchers = 8

// heartbeat says that an entry is alive and holds its term by the watchers.
type heartbeat struct {
	_    struct{} `cbor:",toarray"`
	From eelgrassbeam.EntryID
	// Incarnation rises with each restart and with each change of watchers.
	Incarnation uint64
	// Started is the first incarnation of the sender's process.
	Started uint64
	// Watchers is set until the receiver has acknowledged the incarnation.
	Watchers []eelgrassbeam.EntryID
	// Held tells that the sender has held its term in this incarnation.
	Held    bool
	Leaving bool
}

// Validate checks what the receiver relies on.
func (h heartbeat) Validate() error {
	if h.From == "" || h.Incarnation == 0 || h.Started == 0 || h.Started > h.Incarnation || len(h.Watchers) > maxWatchers {
		return fmt.Errorf("%w: heartbeat from %q", eelgrassbeam.ErrInvalid, h.From)
	}
	return nil
}

// ackResult is a watcher's answer to a heartbeat.
type ackResult string

const (
	// ackOK promises not to call the sender failed before its term has run out.
	ackOK ackResult = "ok"
	// ackUnknown says that the watcher has no record of the incarnation.
	ackUnknown ackResult = "unknown"
	// ackBarred says that the watcher has called the incarnation silent.
	ackBarred ackResult = "barred"
	// ackSuperseded says that a higher incarnation is known.
	ackSuperseded ackResult = "superseded"
	// ackWait says that the term of an earlier process may not have run out.
	ackWait ackResult = "wait"
)

type ack struct {
	_      struct{} `cbor:",toarray"`
	Result ackResult
	// Known is the highest incarnation that the watcher knows.
	Known uint64
}

// vote asks a watcher to bar the incarnation if it hears nothing from it either.
type vote struct {
	_           struct{} `cbor:",toarray"`
	Subject     eelgrassbeam.EntryID
	Incarnation uint64
}

type voteReply struct {
	_        struct{} `cbor:",toarray"`
	Promised bool
}

// probe asks an entry whether it runs.
type probe struct {
	_ struct{} `cbor:",toarray"`
}

type probeReply struct {
	_           struct{} `cbor:",toarray"`
	ID          eelgrassbeam.EntryID
	Incarnation uint64
}

// EntryState is what the fleet agrees on about one entry. Higher incarnations win, then failed over leaving over live.
type EntryState struct {
	_           struct{} `cbor:",toarray"`
	ID          eelgrassbeam.EntryID
	Incarnation uint64
	State       eelgrassbeam.InstanceState
	// Flaps counts recent failures; it lengthens the way back.
	Flaps uint8
}

// Validate checks what the receiver relies on.
func (s EntryState) Validate() error {
	if s.ID == "" || stateOrder(s.State) < 0 {
		return fmt.Errorf("%w: entry state %q of %q", eelgrassbeam.ErrInvalid, s.State, s.ID)
	}
	return nil
}

// Supersedes tells whether s goes before other; it is a total order on the states of one entry.
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
