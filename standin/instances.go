package standin

import (
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// snapshot is a version of the instance list and the time from which readers see it.
type snapshot struct {
	visibleFrom time.Time
	list        eelgrassbeam.InstanceList
}

// instances is an instance list whose changes become visible after a delay. The caller synchronizes access.
type instances struct {
	// snapshots are sorted by visibleFrom; the last one is the newest.
	snapshots []snapshot
}

func newInstances() *instances {
	return &instances{snapshots: []snapshot{{list: eelgrassbeam.InstanceList{Instances: []eelgrassbeam.Instance{}}}}}
}

// visible returns the newest list that readers may see at the given time and drops older ones.
func (i *instances) visible(now time.Time) eelgrassbeam.InstanceList {
	for len(i.snapshots) > 1 && !i.snapshots[1].visibleFrom.After(now) {
		i.snapshots = i.snapshots[1:]
	}
	return i.snapshots[0].list
}

// replace appends a list with the rows that becomes visible at the given time, but not before the previous list.
func (i *instances) replace(rows []eelgrassbeam.Instance, visibleFrom time.Time) {
	last := i.snapshots[len(i.snapshots)-1]
	if visibleFrom.Before(last.visibleFrom) {
		visibleFrom = last.visibleFrom
	}
	list := eelgrassbeam.InstanceList{Revision: last.list.Revision + 1, Instances: rows}
	i.snapshots = append(i.snapshots, snapshot{visibleFrom: visibleFrom, list: list})
}

// put adds the row, or replaces the row with the same id.
func (i *instances) put(row eelgrassbeam.Instance, visibleFrom time.Time) {
	rows := i.newest()
	at := slices.IndexFunc(rows, func(r eelgrassbeam.Instance) bool { return r.ID == row.ID })
	if at < 0 {
		i.replace(append(rows, row), visibleFrom)
		return
	}
	rows[at] = row
	i.replace(rows, visibleFrom)
}

// remove deletes the row with the id and reports whether there was one.
func (i *instances) remove(id string, visibleFrom time.Time) bool {
	rows := i.newest()
	at := slices.IndexFunc(rows, func(r eelgrassbeam.Instance) bool { return r.ID == id })
	if at < 0 {
		return false
	}
	i.replace(slices.Delete(rows, at, at+1), visibleFrom)
	return true
}

// setState changes the state of the row with the id and reports whether there is one.
func (i *instances) setState(id string, state eelgrassbeam.InstanceState, visibleFrom time.Time) bool {
	rows := i.newest()
	at := slices.IndexFunc(rows, func(r eelgrassbeam.Instance) bool { return r.ID == id })
	if at < 0 {
		return false
	}
	rows[at].State = state
	i.replace(rows, visibleFrom)
	return true
}

// newest returns a copy of the rows of the newest list, whether or not it is visible yet.
func (i *instances) newest() []eelgrassbeam.Instance {
	return slices.Clone(i.snapshots[len(i.snapshots)-1].list.Instances)
}
