package eelgrassbeam

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

// InstanceKind is the role of an instance.
type InstanceKind string

// The instance kinds.
const (
	InstanceEntry         InstanceKind = "entry"
	InstanceBackendServer InstanceKind = "backend_server"
)

// UnmarshalText decodes and validates the kind.
func (k *InstanceKind) UnmarshalText(text []byte) error {
	return decodeEnum(k, "instance kind", text, InstanceEntry, InstanceBackendServer)
}

// InstanceState is the lifecycle state of an instance.
type InstanceState string

// The instance states. The platform's list reports live and leaving; failed is determined by this system.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
	InstanceFailed  InstanceState = "failed"
)

// UnmarshalText decodes and validates the state.
func (s *InstanceState) UnmarshalText(text []byte) error {
	return decodeEnum(s, "instance state", text, InstanceLive, InstanceLeaving, InstanceFailed)
}

// Instance is one item of the platform's instance list.
type Instance struct {
	ID      string         `json:"id"`
	Kind    InstanceKind   `json:"kind"`
	State   InstanceState  `json:"state"`
	Zone    ZoneID         `json:"zone"`
	Region  RegionID       `json:"region"`
	Service ServiceName    `json:"service,omitempty"`
	Address netip.AddrPort `json:"address"`
	// PeerAddress and OperatorAddress are set for entries only.
	PeerAddress     netip.AddrPort `json:"peer_address,omitzero"`
	OperatorAddress netip.AddrPort `json:"operator_address,omitzero"`
}

// UnmarshalJSON decodes and validates the instance.
func (i *Instance) UnmarshalJSON(data []byte) error {
	type plain Instance
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("%w: instance: %w", ErrInvalid, err)
	}
	if err := Instance(decoded).Validate(); err != nil {
		return err
	}
	*i = Instance(decoded)
	return nil
}

// Validate checks that the fields required for the instance's kind are set.
func (i Instance) Validate() error {
	switch {
	case i.ID == "":
		return fmt.Errorf("%w: instance has no id", ErrInvalid)
	case i.Kind == "":
		return fmt.Errorf("%w: instance %s has no kind", ErrInvalid, i.ID)
	case i.State == "":
		return fmt.Errorf("%w: instance %s has no state", ErrInvalid, i.ID)
	case i.Zone == "", i.Region == "":
		return fmt.Errorf("%w: instance %s has no zone or no region", ErrInvalid, i.ID)
	case !i.Address.IsValid():
		return fmt.Errorf("%w: instance %s has no address", ErrInvalid, i.ID)
	case i.Kind == InstanceEntry && !i.PeerAddress.IsValid():
		return fmt.Errorf("%w: entry %s has no peer address", ErrInvalid, i.ID)
	case i.Kind == InstanceBackendServer && i.Service == "":
		return fmt.Errorf("%w: backend server %s has no service", ErrInvalid, i.ID)
	default:
		return nil
	}
}

// InstanceList is the platform's list of instances, which may be out of date.
type InstanceList struct {
	// Revision is the counter alone in the platform's response; its client adds the era.
	Revision  Revision   `json:"revision"`
	Instances []Instance `json:"instances"`
}
