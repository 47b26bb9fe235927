package eelgrassbeam

import "strconv"

const (
	// EraBits is the number of high bits of a Revision that hold the era.
	EraBits = 12
	// counterBits is the number of low bits that hold the store's counter.
	counterBits = 64 - EraBits
)

// Revision is a position in the store's history. The store counts its changes; each time it is restored from an older
// copy, a new era begins and it gives out again numbers that earlier eras have used for other changes. Revisions order
// by era first, so they compare as integers. Zero precedes all revisions.
type Revision uint64

// NewRevision returns the revision of a store's counter in an era. Eras have EraBits bits at most, counters the other bits.
func NewRevision(era, counter uint64) Revision {
	return Revision(era<<counterBits | counter&(1<<counterBits-1))
}

// Era returns the era, zero for a store that has none.
func (r Revision) Era() uint64 { return uint64(r) >> counterBits }

// Counter returns the store's counter in the era.
func (r Revision) Counter() uint64 { return uint64(r) & (1<<counterBits - 1) }

// String returns the era and the counter, such as 2.45, or the counter alone for a store that has no eras.
func (r Revision) String() string {
	counter := strconv.FormatUint(r.Counter(), 10)
	if r.Era() == 0 {
		return counter
	}
	return strconv.FormatUint(r.Era(), 10) + "." + counter
}
