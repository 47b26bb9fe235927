package standin

import "errors"

var (
	errNotFound  = errors.New("object not found")
	errConflict  = errors.New("object has another version")
	errCompacted = errors.New("revision no longer kept")
	errFull      = errors.New("no slot free")
	errDeadline  = errors.New("deadline passes before a slot is free")
	errLeaving   = errors.New("backend is leaving")
)
