package teamrotator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// serve returns how often each team is served in a number of turns.
func serve(r *Rotator, turns int) map[eelgrassbeam.TeamID]int {
	counts := make(map[eelgrassbeam.TeamID]int)
	for range turns {
		id := r.Next()
		counts[id]++
		r.Served(id)
	}
	return counts
}

func TestNext(t *testing.T) {
	t.Run("in proportion to the weights", func(t *testing.T) {
		r := New(4)
		r.Add("a", 4)
		r.Add("b", 1)
		r.Add("c", 1)
		is.New(t).Equal(serve(r, 60), map[eelgrassbeam.TeamID]int{"a": 40, "b": 10, "c": 10})
	})
	t.Run("small weights alone take no longer", func(t *testing.T) {
		r := New(1e6)
		r.Add("a", 1)
		r.Add("b", 1)
		is.New(t).Equal(serve(r, 4), map[eelgrassbeam.TeamID]int{"a": 2, "b": 2})
	})
	t.Run("a team that has left gets no turn", func(t *testing.T) {
		r := New(1)
		r.Add("a", 1)
		r.Add("b", 1)
		r.Remove("a")
		r.Remove("unknown")
		is.New(t).Equal(serve(r, 2), map[eelgrassbeam.TeamID]int{"b": 2})
	})
}

func TestOrder(t *testing.T) {
	r := New(1)
	for _, id := range []eelgrassbeam.TeamID{"a", "b", "c", "a"} {
		r.Add(id, 1)
	}
	r.Served("b")
	is.New(t).Equal(r.Order(), []eelgrassbeam.TeamID{"a", "c", "b"})
}

func TestAhead(t *testing.T) {
	r := New(1)
	r.Add("hot", 1)
	is := is.New(t)
	is.Equal(r.Ahead("hot", 1, 50, 50), 50.0)
	is.Equal(r.Ahead("other", 1, 0, 50), 1.0) // one of the hot team's goes first
	is.Equal(r.Ahead("other", 1, 0, 0), 0.0)
}
