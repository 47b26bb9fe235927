package picker

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are started too late to be answered before the entry stops.
func TestStop(t *testing.T) {
	const serviceTime, left = 300 * time.Millisecond, 500 * time.Millisecond // less than stopMargin service times
	for name, test := range map[string]struct {
		startBy, deadline time.Duration
		isRejected        bool
	}{
		"a request that outlasts the stop":          {time.Second, time.Second, true},
		"another attempt, whose StartBy has passed": {-time.Second, time.Second, true},
		"a request that ends before":                {time.Second, left, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(t, 1, 1, 1)
			p := s.pickers[0]
			p.serviceTimes[lookupRoute.Name] = serviceTime
			p.Stop(s.now.Add(left))
			slot, err := p.Acquire(t.Context(), Job{Route: lookupRoute, Service: "s", StartBy: s.now.Add(test.startBy), Deadline: s.now.Add(test.deadline)})
			is.Equal(errors.Is(err, ErrStopping), test.isRejected)
			is.Equal(slot == nil, test.isRejected)
		})
	}
}
