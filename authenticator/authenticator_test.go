package authenticator

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const header = "X-Credential"

func newAuthenticator(t testing.TB, teams ...eelgrassbeam.Team) *Authenticator {
	t.Helper()
	a, err := New()
	is.New(t).NoErr(err)
	a.Update(teams)
	return a
}

func team(id eelgrassbeam.TeamID, credentials ...eelgrassbeam.Credential) eelgrassbeam.Team {
	return eelgrassbeam.Team{ID: id, Credentials: credentials}
}

func requireTeam(t *testing.T, a *Authenticator, credential string, want eelgrassbeam.TeamID) {
	t.Helper()
	is := is.New(t)
	found, err := a.Authenticate(http.Header{header: {credential}}, header)
	if want == "" {
		is.True(errors.Is(err, ErrUnknown))
		return
	}
	is.NoErr(err)
	is.Equal(found.ID, want)
}

func TestAuthenticate(t *testing.T) {
	a := newAuthenticator(t, team("a", "k1", "k2"), team("b", "k3", "both"), team("c", "both", ""))
	for credential, want := range map[string]eelgrassbeam.TeamID{"k1": "a", "k2": "a", "k3": "b", "k": "", "K1": "", "k1 ": "", "both": ""} {
		t.Run(credential, func(t *testing.T) { requireTeam(t, a, credential, want) })
	}
	for _, test := range []struct {
		name   string
		values []string
		want   error
	}{
		{"missing", nil, ErrMissing},
		{"empty", []string{""}, ErrMissing},
		{"twice", []string{"k1", "k1"}, ErrInvalid},
		{"too long", []string{strings.Repeat("k", maxCredentialBytes+1)}, ErrInvalid},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := a.Authenticate(http.Header{header: test.values}, header)
			is.New(t).True(errors.Is(err, test.want))
		})
	}
}

func TestUpdate(t *testing.T) {
	t.Run("a credential moves to another team", func(t *testing.T) {
		a := newAuthenticator(t, team("a", "k1", "k2"), team("b", "k3"))
		a.Update([]eelgrassbeam.Team{team("a", "k2"), team("b", "k3", "k1")})
		requireTeam(t, a, "k1", "b")
		requireTeam(t, a, "k2", "a")
	})
	t.Run("a credential is taken away", func(t *testing.T) {
		a := newAuthenticator(t, team("a", "k1", "k2"))
		a.Update([]eelgrassbeam.Team{team("a", "k2")})
		requireTeam(t, a, "k1", "")
	})
	t.Run("a team without credentials still requires them", func(t *testing.T) {
		a := newAuthenticator(t, team("a", "k1"))
		a.Update([]eelgrassbeam.Team{team("a")})
		requireTeam(t, a, "k1", "")
		is.New(t).True(a.IsRequired())
	})
	t.Run("a team goes", func(t *testing.T) {
		a := newAuthenticator(t, team("a", "k1"))
		a.Update(nil)
		requireTeam(t, a, "k1", "")
		is.New(t).True(!a.IsRequired())
	})
	t.Run("a team that is listed twice", func(t *testing.T) {
		a := newAuthenticator(t, team("a", "k1"), team("a", "k2"))
		requireTeam(t, a, "k1", "a")
		requireTeam(t, a, "k2", "a")
		a.Update([]eelgrassbeam.Team{team("a", "k1")})
		requireTeam(t, a, "k2", "")
	})
	t.Run("other settings of the team change", func(t *testing.T) {
		a := newAuthenticator(t, team("a", "k1"))
		changed := team("a", "k1")
		changed.Priority = 2
		a.Update([]eelgrassbeam.Team{changed})
		found, err := a.Authenticate(http.Header{header: {"k1"}}, header)
		is.New(t).NoErr(err)
		is.New(t).Equal(found.Priority, 2)
	})
}

func manyTeams() []eelgrassbeam.Team {
	const teams, credentials = 100, 1000
	var many []eelgrassbeam.Team
	for i := range teams {
		each := eelgrassbeam.Team{ID: eelgrassbeam.TeamID(fmt.Sprint("t", i))}
		for j := range credentials {
			each.Credentials = append(each.Credentials, eelgrassbeam.Credential(fmt.Sprintf("credential-%d-%d", i, j)))
		}
		many = append(many, each)
	}
	return many
}

func TestAuthenticateAllocatesNothing(t *testing.T) {
	a := newAuthenticator(t, manyTeams()...)
	request := http.Header{header: {"credential-7-7"}}
	is.New(t).Equal(testing.AllocsPerRun(100, func() { _, _ = a.Authenticate(request, header) }), 0.0)
}

func BenchmarkAuthenticate(b *testing.B) {
	a := newAuthenticator(b, manyTeams()...)
	request := http.Header{header: {"credential-7-7"}}
	for b.Loop() {
		if _, err := a.Authenticate(request, header); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkUpdate takes one of 100,000 credentials away and adds it again.
func BenchmarkUpdate(b *testing.B) {
	before := manyTeams()
	after := append([]eelgrassbeam.Team{}, before...)
	after[7].Credentials = after[7].Credentials[1:]
	a := newAuthenticator(b, before...)
	for b.Loop() {
		a.Update(after)
		a.Update(before)
	}
}
