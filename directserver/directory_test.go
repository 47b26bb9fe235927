package directserver

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

func entriesOf(capacities ...float64) []eelgrassbeam.Entry {
	var entries []eelgrassbeam.Entry
	for i, capacity := range capacities {
		entries = append(entries, eelgrassbeam.Entry{
			ID: eelgrassbeam.EntryID(fmt.Sprint("e", i)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Capacity: capacity,
		})
	}
	return entries
}

// sharesOf returns each entry's share of the callers, which choose at random among their addresses.
func sharesOf(entries []eelgrassbeam.Entry, callers int) []float64 {
	shares := make([]float64, len(entries))
	for caller := range callers {
		selected := selectAddresses(slices.Clone(entries), fmt.Sprint("caller", caller))
		for i, entry := range entries {
			if slices.Contains(selected, entry.Address) {
				shares[i] += 1 / float64(len(selected)) / float64(callers)
			}
		}
	}
	return shares
}

// Guards against overloaded small entries. In a zone of two large and seven small entries, each entry received a ninth
// of the requests, and the overloaded small ones applied pushed changes up to 3 s late (trouble-1 of
// sencnik-rez-grown).
func TestSmallEntriesReceiveFewerRequests(t *testing.T) {
	entries := entriesOf(0.8, 0.8, 0.16, 0.16, 0.16, 0.16, 0.16, 0.16, 0.16)
	shares := sharesOf(entries, 2000)
	t.Run("shares follow capacity", func(t *testing.T) {
		is := is.New(t)
		for i, share := range shares {
			is.True(i < 2 && share > 0.2 || i >= 2 && share < 0.09)
			is.True(share > 0.04) // no entry is idle
		}
	})
	t.Run("a lost entry only affects its own callers", func(t *testing.T) {
		is := is.New(t)
		for caller := range 200 {
			name := fmt.Sprint("caller", caller)
			before, after := selectAddresses(slices.Clone(entries), name), selectAddresses(slices.Clone(entries[1:]), name)
			for _, address := range before {
				is.True(address == entries[0].Address || slices.Contains(after, address))
			}
		}
	})
}

func TestEqualEntriesAreAllReturned(t *testing.T) {
	is := is.New(t)
	is.Equal(len(selectAddresses(entriesOf(0.32, 0.32, 0.4, 0.32), "caller")), 4)
	is.Equal(len(selectAddresses(entriesOf(0, 0), "caller")), 2)
	is.Equal(len(selectAddresses(entriesOf(make([]float64, 140)...), "caller")), maxAddresses)
}

func TestCapacity(t *testing.T) {
	is := is.New(t)
	is.Equal(capacity(platform.Settings{Cores: 0.32, LinkMegabitsPerSecond: 1000}), 0.32)
	is.Equal(capacity(platform.Settings{Cores: 0.8, LinkMegabitsPerSecond: 10}), 0.2) // limited by the link
	is.Equal(capacity(platform.Settings{Cores: 0.5}), 0.5)
}
