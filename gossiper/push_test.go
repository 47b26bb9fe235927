package gossiper

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Guards against calls to the store that grow with the number of watches: in a large fleet one entry a zone watches.
func TestWatchersPerZone(t *testing.T) {
	for fleetSize, want := range map[int]int{10: smallFleetWatchersPerZone, 60: 1} {
		t.Run(fmt.Sprintf("%d entries", fleetSize), func(t *testing.T) {
			var members []Member
			for i := range fleetSize {
				members = append(members, Member{Incarnation: 1, IsStoreReachable: true, Entry: eelgrassbeam.Entry{
					ID: eelgrassbeam.EntryID(fmt.Sprintf("e%02d", i)), Zone: eelgrassbeam.ZoneID(fmt.Sprint(i % 3)), State: eelgrassbeam.InstanceLive, PeerAddress: unusedAddress(i),
				}})
			}
			watchers := make(map[eelgrassbeam.ZoneID]int)
			for i := range 6 {
				e := newTestEntry(t, members[i].Entry.ID, members[i].Entry.Zone, Revisions{})
				e.merge(&digest{Members: members})
				if e.IsWatcher() {
					watchers[members[i].Entry.Zone]++
				}
			}
			for _, count := range watchers {
				is.New(t).Equal(count, want)
			}
		})
	}
}
