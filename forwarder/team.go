package forwarder

import (
	"errors"
	"net/http"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/authenticator"
)

// authenticate returns the team of the credential in the caller's header, nil if there are no teams. A public route needs
// none, but a known one counts.
func (f *Forwarder) authenticate(header http.Header, route *eelgrassbeam.PathRoute) (*eelgrassbeam.Team, error) {
	if !f.config.Authenticator.IsRequired() {
		return nil, nil
	}
	team, err := f.config.Authenticator.Authenticate(header, f.config.CredentialHeader)
	if err != nil && route.IsPublic {
		return nil, nil
	}
	return team, err
}

// identify sets the call's team. While there are teams, it removes what the caller says of its team from the header that
// upstreams get. It returns a rejection for a request that no team has sent.
func (f *Forwarder) identify(c *call, r *http.Request) *outcome {
	c.callerHeader = r.Header
	if !f.config.Authenticator.IsRequired() {
		return nil
	}
	c.request.Header = r.Header.Clone()
	c.request.Header.Del(f.config.CredentialHeader)
	c.request.Header.Del(f.config.TeamHeader)
	team, err := f.authenticate(r.Header, c.route)
	if err != nil {
		return f.reject(c, credentialReason(err), http.StatusUnauthorized)
	}
	if team == nil {
		return nil
	}
	if !f.config.AreTeamsCurrent() {
		rejection := f.reject(c, eelgrassbeam.ReasonNotReady, http.StatusServiceUnavailable)
		rejection.retryAfter = notReadyRetryAfter
		return rejection
	}
	c.team, c.request.Team = team, team.ID
	return nil
}

// checkTeam checks that the credential still belongs to the call's team if the configuration has changed since the request
// was read. It returns a rejection otherwise.
func (f *Forwarder) checkTeam(c *call) *outcome {
	if c.team == nil {
		return nil
	}
	if _, routing := f.current(); routing == c.routing {
		return nil
	}
	team, err := f.authenticate(c.callerHeader, c.route)
	if err != nil {
		return f.reject(c, credentialReason(err), http.StatusUnauthorized)
	}
	if team == nil || team.ID != c.team.ID {
		return f.reject(c, eelgrassbeam.ReasonCredentialUnknown, http.StatusUnauthorized)
	}
	return nil
}

// checkQuota returns a rejection for a request beyond the quota of its team.
func (f *Forwarder) checkQuota(c *call) *outcome {
	if c.team == nil {
		return nil
	}
	isAdmitted, retryAfter := f.config.Quotas.Admit(c.team)
	if isAdmitted {
		return nil
	}
	rejection := f.reject(c, eelgrassbeam.ReasonQuota, http.StatusTooManyRequests)
	rejection.retryAfter = retryAfter
	return rejection
}

func credentialReason(err error) eelgrassbeam.Reason {
	switch {
	case errors.Is(err, authenticator.ErrMissing):
		return eelgrassbeam.ReasonCredentialMissing
	case errors.Is(err, authenticator.ErrInvalid):
		return eelgrassbeam.ReasonCredentialInvalid
	default:
		return eelgrassbeam.ReasonCredentialUnknown
	}
}
