package standin

import (
	"encoding/json"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// maxPage is the maximum number of objects in one page of a list.
const maxPage = 500

// Object is the wire format of an object in the platform's API.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// Metadata holds an object's name and the store revision of its last change.
type Metadata struct {
	Name     string `json:"name,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// WithRevision returns a copy whose update succeeds only if the stored object has the given revision.
func (o Object) WithRevision(revision uint64) Object {
	o.Metadata.Revision = revision
	return o
}

// Page is one page of a list; At is the store revision at which the list was read.
type Page struct {
	Items   []Object `json:"items"`
	HasMore bool     `json:"has_more"`
	At      uint64   `json:"at"`
}

// Event is one change of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Events is the response to a watch; At is the store revision up to which it holds all changes.
type Events struct {
	Events []Event `json:"events"`
	At     uint64  `json:"at"`
}

func toWire(object eelgrassbeam.Object) Object {
	return Object{Metadata: Metadata{Name: object.Name, Revision: object.Version.Counter()}, Spec: object.Value}
}

// toPage returns the page of up to maxPage objects whose names sort after the given one.
func toPage(list eelgrassbeam.ObjectList, after string) Page {
	page := Page{Items: []Object{}, At: list.Revision.Counter()}
	for _, object := range list.Objects {
		if object.Name <= after {
			continue
		}
		if len(page.Items) == maxPage {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, toWire(object))
	}
	return page
}

func toEvents(changes eelgrassbeam.ObjectEvents) Events {
	events := Events{Events: []Event{}, At: changes.Revision.Counter()}
	for _, event := range changes.Events {
		events.Events = append(events.Events, Event{Object: toWire(event.Object), Deleted: event.Deleted})
	}
	return events
}
