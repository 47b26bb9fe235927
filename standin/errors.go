package standin

import "errors"

var (
	errNotFound  = errors.New("object not found")
	errConflict  = errors.New("object version does not match")
	errCompacted = errors.New("revision has been compacted")
	errAhead     = errors.New("revision is ahead of the store")
	errFull      = errors.New("no slot available: queue full or wait expired")
	errDeadline  = errors.New("deadline expired before a slot became free")
	errDraining  = errors.New("backend is draining")
)
