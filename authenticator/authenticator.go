// Package authenticator finds the team to which a caller's credential belongs.
package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// maxCredentialBytes bounds a credential. Longer ones belong to no team.
	maxCredentialBytes = 256
	saltBytes          = 16
)

var (
	// ErrMissing reports a request without a credential.
	ErrMissing = errors.New("no credential")
	// ErrInvalid reports a credential that is sent more than once or is too long.
	ErrInvalid = errors.New("invalid credential")
	// ErrUnknown reports a credential that belongs to no team, or to more than one.
	ErrUnknown = errors.New("unknown credential")
)

// Authenticator finds teams by their credentials. Lookups go by a salted hash, so that their time tells nothing of the
// credentials that exist. It is safe for concurrent use.
type Authenticator struct {
	salt [saltBytes]byte

	mu      sync.RWMutex
	teams   map[eelgrassbeam.TeamID]*holder
	holders map[digest][]*holder
}

// digest is the salted hash of a credential.
type digest [sha256.Size]byte

// holder is a team in its latest version.
type holder struct{ team *eelgrassbeam.Team }

// New returns an Authenticator without teams.
func New() (*Authenticator, error) {
	a := &Authenticator{teams: make(map[eelgrassbeam.TeamID]*holder), holders: make(map[digest][]*holder)}
	if _, err := rand.Read(a.salt[:]); err != nil {
		return nil, fmt.Errorf("draw the salt of credentials: %w", err)
	}
	return a, nil
}

// Update replaces the teams, which must not change afterwards. Its time follows the number of changed credentials, apart
// from one comparison with those before. Credentials of teams with the same ID are joined.
func (a *Authenticator) Update(teams []eelgrassbeam.Team) {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := make(map[eelgrassbeam.TeamID]*holder, len(teams))
	for id, team := range joined(teams) {
		known := a.teams[id]
		if known == nil {
			known = &holder{team: &eelgrassbeam.Team{}}
		}
		before := known.team
		known.team, found[id] = team, known
		if !slices.Equal(before.Credentials, team.Credentials) {
			a.replace(known, before.Credentials, team.Credentials)
		}
	}
	for id, gone := range a.teams {
		if found[id] == nil {
			a.replace(gone, gone.team.Credentials, nil)
		}
	}
	a.teams = found
}

// joined returns the teams by ID, those with the same ID as one.
func joined(teams []eelgrassbeam.Team) map[eelgrassbeam.TeamID]*eelgrassbeam.Team {
	byID := make(map[eelgrassbeam.TeamID]*eelgrassbeam.Team, len(teams))
	for i := range teams {
		team := &teams[i]
		if first := byID[team.ID]; first != nil {
			both := *first
			both.Credentials = slices.Concat(first.Credentials, team.Credentials)
			team = &both
		}
		byID[team.ID] = team
	}
	return byID
}

// replace changes the credentials of a holder. The caller must hold a.mu.
func (a *Authenticator) replace(h *holder, before, after []eelgrassbeam.Credential) {
	kept := make(map[eelgrassbeam.Credential]bool, len(before))
	for _, credential := range before {
		kept[credential] = false
	}
	for _, credential := range after {
		if _, isKnown := kept[credential]; !isKnown {
			a.add(h, credential)
		}
		kept[credential] = true
	}
	for credential, isKept := range kept {
		if !isKept {
			a.remove(h, credential)
		}
	}
}

func (a *Authenticator) add(h *holder, credential eelgrassbeam.Credential) {
	if credential == "" || len(credential) > maxCredentialBytes {
		return
	}
	key := a.digest(string(credential))
	a.holders[key] = append(a.holders[key], h)
}

func (a *Authenticator) remove(h *holder, credential eelgrassbeam.Credential) {
	key := a.digest(string(credential))
	holders := slices.DeleteFunc(a.holders[key], func(each *holder) bool { return each == h })
	if len(holders) == 0 {
		delete(a.holders, key)
		return
	}
	a.holders[key] = holders
}

func (a *Authenticator) digest(credential string) digest {
	var buffer [saltBytes + maxCredentialBytes]byte
	n := copy(buffer[:], a.salt[:])
	n += copy(buffer[n:], credential)
	return sha256.Sum256(buffer[:n])
}

// IsRequired reports whether there are teams, so that requests need a credential.
func (a *Authenticator) IsRequired() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return len(a.teams) > 0
}

// Authenticate returns the team of the credential in the named header, or an error that wraps ErrMissing, ErrInvalid or
// ErrUnknown and doesn't hold the credential.
func (a *Authenticator) Authenticate(header http.Header, name string) (*eelgrassbeam.Team, error) {
	values := header[name]
	switch {
	case len(values) == 0, len(values) == 1 && values[0] == "":
		return nil, ErrMissing
	case len(values) > 1:
		return nil, ErrInvalid
	case len(values[0]) > maxCredentialBytes:
		return nil, ErrInvalid
	}
	key := a.digest(values[0])
	a.mu.RLock()
	defer a.mu.RUnlock()
	holders := a.holders[key]
	if len(holders) != 1 {
		return nil, ErrUnknown
	}
	return holders[0].team, nil
}
