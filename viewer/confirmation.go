package viewer

import "time"

// ConfirmRouting records that the version of the routing was the latest a time ago, as the store or a peer says. It tells
// nothing of another version. It implements gossiper.Replica.
func (v *Viewer) ConfirmRouting(version uint64, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := v.config.Clock.Now().Add(-age)
	if routing := v.view.Load().Routing; routing != nil && routing.Version == version && at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// ConfirmedAge returns how long ago the current routing was confirmed to be the latest, or false if it never was.
func (v *Viewer) ConfirmedAge() (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config.Clock.Now().Sub(v.confirmedAt), !v.confirmedAt.IsZero()
}

// sharedAge returns the age that peers are told, zero if there is none.
func (v *Viewer) sharedAge() time.Duration {
	if !v.config.SharesConfirmations {
		return 0
	}
	age, ok := v.ConfirmedAge()
	if !ok {
		return 0
	}
	return max(age, 1)
}
