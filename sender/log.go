package sender

import (
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
)

func (s *Sender) logUnreachable(request eelgrassbeam.Request, dispatcher eelgrassbeam.Entry, err error) {
	s.config.Log.WithFields(logrus.Fields{
		"event": "peer_unreached", "request": request.ID, "attempt": request.AttemptID, "peer": dispatcher.ID, "error": err,
	}).Warn("")
}

func (s *Sender) logRetry(request eelgrassbeam.Request, reply eelgrassbeam.Reply) {
	s.config.Log.WithFields(logrus.Fields{
		"event": "retry", "request": request.ID, "attempt": request.AttemptID, "outcome": reply.Outcome, "reason": reply.Reason,
	}).Info("")
}

func (s *Sender) logDecision(request eelgrassbeam.Request, fleet *eelgrassbeam.Fleet, choice Choice, dispatcher eelgrassbeam.Entry) {
	s.config.Decisions.Record(logger.Decision{
		Kind: logger.KindDispatch, Request: request.ID, Versions: logger.Versions{Fleet: fleet.Revision},
		Choice: choice.Site.String(), Reason: choice.Reason,
		Fields: logger.Fields{
			logger.Text("rank", request.Rank), logger.Text("dispatcher", dispatcher.ID), logger.Int("attempt", request.Attempt),
			logger.Int("grant", request.Grant),
		},
	})
}

func (s *Sender) logRefusal(request eelgrassbeam.Request, cause error) {
	s.config.Decisions.Record(logger.Decision{
		Kind: logger.KindDispatch, Request: request.ID, Versions: logger.Versions{Fleet: s.config.Fleet.Fleet().Revision},
		Choice: "refuse", Reason: cause.Error(),
		Fields: logger.Fields{logger.Text("rank", request.Rank), logger.Int("attempt", request.Attempt)},
	})
}
