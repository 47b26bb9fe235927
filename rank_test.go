package eelgrassbeam

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestRank(t *testing.T) {
	t.Run("decodes each rank", func(t *testing.T) {
		is := is.New(t)
		for i, want := range Ranks() {
			var got Rank
			is.NoErr(got.UnmarshalText([]byte(want)))
			is.Equal(got, want)
			is.Equal(got.Index(), i)
		}
	})
	t.Run("rejects an unknown rank", func(t *testing.T) {
		is := is.New(t)
		var got Rank
		is.True(errors.Is(got.UnmarshalText([]byte("now")), ErrInvalid))
	})
}
