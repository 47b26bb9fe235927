package upstream

import (
	"errors"
	"net/http"
	"time"
)

// link is one connection that carries one exchange at a time.
type link struct {
	http    *http.ClientConn
	counted *countedConn
	reused  bool
	idleAt  time.Time
}

func (l *link) close() {
	l.counted.seal()
	_ = l.http.Close()
}

// cause names why an exchange on the connection failed.
func (l *link) cause(err error) error {
	if l.counted.stalled.Load() {
		return errors.Join(ErrProgress, err)
	}
	return errors.Join(ErrBroken, err)
}
