package forwarder

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a leak of buffer space that an abandoned exchange reserves after the end of its request.
func TestReservations(t *testing.T) {
	is := is.New(t)
	var held reservations
	released := 0
	held.add(func() { released++ })
	is.Equal(released, 0)
	held.release()
	is.Equal(released, 1)
	held.add(func() { released++ })
	is.Equal(released, 2)
}
