package viewer

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func TestConfirmRouting(t *testing.T) {
	is := is.New(t)
	clock, version := clockwork.NewFakeClock(), uint64(0)
	log, _ := logrustest.NewNullLogger()
	v := New(Config{Clock: clock, Log: log, SharesConfirmations: true, DecodeRouting: func([]byte) (*eelgrassbeam.Routing, error) {
		version++
		return &eelgrassbeam.Routing{Version: version}, nil
	}})
	requireAge := func(want time.Duration) {
		t.Helper()
		age, ok := v.ConfirmedAge()
		is.True(ok)
		is.Equal(age, want)
	}
	v.UpdateRouting([]byte("first"), 1, sourcePeer)
	_, ok := v.ConfirmedAge()
	is.True(!ok) // what a peer had may be old
	v.ConfirmRouting(1, time.Second)
	requireAge(time.Second)
	clock.Advance(2 * time.Second)
	requireAge(3 * time.Second)
	is.Equal(v.Revisions().ConfirmedAge, 3*time.Second)
	v.ConfirmRouting(1, 5*time.Second) // an older confirmation changes nothing
	requireAge(3 * time.Second)
	v.ConfirmRouting(2, 0) // nor does that of another version
	requireAge(3 * time.Second)
	v.ConfirmRouting(1, 0)
	requireAge(0)
	v.UpdateRouting([]byte("second"), 2, sourcePeer)
	_, ok = v.ConfirmedAge()
	is.True(!ok)
	v.UpdateRouting([]byte("third"), 3, "store")
	requireAge(0)
}
