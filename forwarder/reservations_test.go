package forwarder

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against buffer space that is lost for good, since an exchange that was given up reserved it too late.
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
