package standin

import (
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// snapshot is a state of the instance list with the time from which it shows.
type snapshot struct {
	from time.Time
	list eelgrassbeam.InstanceList
}

// instances is the lagging instance list. Its user holds a lock around each call.
type instances struct {
	// snapshots are in the order of their times; the last one is the newest.
	snapshots []snapshot
}

func newInstances() *instances {
	return &instances{snapshots: []snapshot{{list: eelgrassbeam.InstanceList{Instances: []eelgrassbeam.Instance{}}}}}
}

// visible returns the list that shows at the given time.
func (i *instances) visible(now time.Time) eelgrassbeam.InstanceList {
	for len(i.snapshots) > 1 && !i.snapshots[1].from.After(now) {
		i.snapshots = i.snapshots[1:]
	}
	return i.snapshots[0].list
}

// replace makes the rows the list, visible from the given time.
func (i *instances) replace(rows []eelgrassbeam.Instance, from time.Time) {
	last := i.snapshots[len(i.snapshots)-1]
	if from.Before(last.from) {
		from = last.from
	}
	list := eelgrassbeam.InstanceList{Revision: last.list.Revision + 1, Instances: rows}
	i.snapshots = append(i.snapshots, snapshot{from: from, list: list})
}

// put adds the row or replaces the one with its id.
func (i *instances) put(row eelgrassbeam.Instance, from time.Time) {
	rows := i.newest()
	at := slices.IndexFunc(rows, func(r eelgrassbeam.Instance) bool { return r.ID == row.ID })
	if at < 0 {
		i.replace(append(rows, row), from)
		return
	}
	rows[at] = row
	i.replace(rows, from)
}

// remove drops the row with the id; false if there is none.
func (i *instances) remove(id string, from time.Time) bool {
	rows := i.newest()
	at := slices.IndexFunc(rows, func(r eelgrassbeam.Instance) bool { return r.ID == id })
	if at < 0 {
		return false
	}
	i.replace(slices.Delete(rows, at, at+1), from)
	return true
}

// setState changes the state of the row with the id; false if there is none.
func (i *instances) setState(id string, state eelgrassbeam.InstanceState, from time.Time) bool {
	rows := i.newest()
	at := slices.IndexFunc(rows, func(r eelgrassbeam.Instance) bool { return r.ID == id })
	if at < 0 {
		return false
	}
	rows[at].State = state
	i.replace(rows, from)
	return true
}

// newest returns a copy of the newest rows.
func (i *instances) newest() []eelgrassbeam.Instance {
	return slices.Clone(i.snapshots[len(i.snapshots)-1].list.Instances)
}
