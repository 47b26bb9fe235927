package dispatcher

import (
	"errors"
	"net/http"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/admitter"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

// result converts the end of an exchange to an admitter.Result and adds the load that the upstream last reported.
func (d *Dispatcher) result(u eelgrassbeam.Upstream, reply eelgrassbeam.Reply, err error, elapsed time.Duration) admitter.Result {
	result := admitter.Result{Outcome: outcomeOf(reply, err), Duration: elapsed}
	if configuration, ok := d.config.Configuration.Configuration(); ok {
		service, _ := configuration.Defaults.Service(u.Service)
		result.Load, result.HasLoad = d.probes.usedShare(u.ID, service.ProbeInterval.Duration, d.config.Clock.Now())
	}
	return result
}

func outcomeOf(reply eelgrassbeam.Reply, err error) admitter.Outcome {
	switch {
	case errors.Is(err, upstream.ErrShed):
		return admitter.OutcomeShed
	case reply.Outcome != eelgrassbeam.OutcomeAnswered, reply.Status >= http.StatusInternalServerError:
		return admitter.OutcomeFailed
	default:
		return admitter.OutcomeOK
	}
}

func (d *Dispatcher) limits(name eelgrassbeam.ServiceName) upstream.Limits {
	configuration, ok := d.config.Configuration.Configuration()
	if !ok {
		return upstream.Limits{}
	}
	service, _ := configuration.Defaults.Service(name)
	return upstream.Limits{
		BodyBytes:       configuration.Defaults.BodyLimitBytes,
		ProgressTimeout: configuration.Defaults.ProgressTimeout.Duration,
		Connections:     service.ConnectionsPerUpstream,
	}
}

func (d *Dispatcher) recordDecision(request eelgrassbeam.Request, choice, reason string, waited time.Duration) {
	d.config.Decisions.Record(logger.Decision{
		Kind: logger.KindAdmission, Request: request.ID, Versions: d.versions(), Choice: choice, Reason: reason,
		Fields: logger.Fields{
			logger.Text("site", request.Site.String()), logger.Text("rank", request.Rank),
			logger.Text("team", request.Team), logger.Duration("waited_ms", waited),
		},
	})
}
