package eelgrassbeam

import "fmt"

// Rank orders requests by urgency.
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

// Index returns the rank's position, 0 for the most urgent, and the last position for an unknown rank.
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

// UnmarshalText decodes and checks the rank.
func (r *Rank) UnmarshalText(text []byte) error {
	return decodeEnum(r, "rank", text, RankUrgent, RankStandard, RankBackground)
}

func decodeEnum[T ~string](target *T, what string, text []byte, allowed ...T) error {
	for _, value := range allowed {
		if string(value) == string(text) {
			*target = value
			return nil
		}
	}
	return fmt.Errorf("%w: %s %q: want one of %v", ErrInvalid, what, text, allowed)
}
