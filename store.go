package eelgrassbeam

import (
	"context"
	"time"
)

// Object is one versioned value of the platform's object API.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the revision of the object's last change.
	Version Revision `json:"version"`
	Value   []byte   `json:"value"`
}

// ObjectEvent is one change reported by a watch.
type ObjectEvent struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
	// IsUnreadable reports that the object can't be decoded; it has a name, but no value.
	IsUnreadable bool `json:"-"`
}

// ObjectList holds all objects of one kind at a revision.
type ObjectList struct {
	Revision Revision `json:"revision"`
	Objects  []Object `json:"objects"`
}

// ObjectEvents holds the changes after the requested revision, up to and including Revision.
type ObjectEvents struct {
	Revision Revision      `json:"revision"`
	Events   []ObjectEvent `json:"events"`
}

// Store is the platform's object API. Errors wrap ErrNotFound, ErrConflict, ErrCompacted or ErrUnavailable;
// after ErrUnavailable a write may have taken effect.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kind string) (ObjectList, error)
	Create(ctx context.Context, kind, name string, value []byte) (Object, error)
	// Update replaces the value if the stored version equals object.Version.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes the object if the stored version equals version.
	Delete(ctx context.Context, kind, name string, version Revision) error
	// Watch waits up to wait for changes of the kind after the revision; a timeout returns no events and no error. It
	// returns ErrCompacted if the store no longer has that history, also after it was restored from an older copy.
	Watch(ctx context.Context, kind string, after Revision, wait time.Duration) (ObjectEvents, error)
	// Instances returns the list of instances, which may be out of date.
	Instances(ctx context.Context) (InstanceList, error)
}
