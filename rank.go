package eelgrassbeam

import "fmt"

// Rank is the priority of a request.
type Rank string

// The ranks, most urgent first.
const (
	RankUrgent     Rank = "urgent"
	RankStandard   Rank = "standard"
	RankBackground Rank = "background"
)

// RankCount is the number of ranks.
const RankCount = 3

// Ranks returns the ranks, most urgent first.
func Ranks() [RankCount]Rank { return [RankCount]Rank{RankUrgent, RankStandard, RankBackground} }

// Index returns the rank's position in Ranks, 0 for the most urgent. An unknown rank has the last position.
func (r Rank) Index() int {
	switch r {
	case RankUrgent:
		return 0
	case RankStandard:
		return 1
	default:
		return RankCount - 1
	}
}

// UnmarshalText decodes and validates the rank.
func (r *Rank) UnmarshalText(text []byte) error {
	return decodeEnum(r, "rank", text, RankUrgent, RankStandard, RankBackground)
}

func decodeEnum[T ~string](target *T, label string, text []byte, allowed ...T) error {
	for _, value := range allowed {
		if string(value) == string(text) {
			*target = value
			return nil
		}
	}
	return fmt.Errorf("%w: %s %q: want one of %v", ErrInvalid, label, text, allowed)
}
