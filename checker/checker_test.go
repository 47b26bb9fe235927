package checker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// newRouting returns a routing without findings.
func newRouting() *eelgrassbeam.Routing {
	return &eelgrassbeam.Routing{
		Version: 7,
		Routes: []eelgrassbeam.PathRoute{{
			Name: "r", Host: "a.example", PathPrefix: "/p/", Timeout: time.Second, TargetLatency: 400 * time.Millisecond,
			MaxAttempts: 2, Shares: []eelgrassbeam.ServiceShare{{Service: "s", Weight: 1}},
		}},
		Services: map[eelgrassbeam.ServiceName]eelgrassbeam.ServiceSettings{"s": {ColdStart: time.Second, ColdPerSecond: 2}},
		Teams: []eelgrassbeam.Team{
			{ID: "t", Credentials: []eelgrassbeam.Credential{"secret"}, Quota: eelgrassbeam.Quota{PerSecond: 5, Burst: 5}},
		},
	}
}

func TestCheck(t *testing.T) {
	t.Run("nothing to find", func(t *testing.T) { is.New(t).Equal(len(Check(newRouting(), Options{})), 0) })
	for name, test := range map[string]struct {
		change   func(*eelgrassbeam.Routing)
		severity Severity
		problem  string
	}{
		"fault of the decoder": {func(r *eelgrassbeam.Routing) {
			r.Faults = []eelgrassbeam.RoutingFault{{Resource: "routes", Name: "x", Problem: "unreadable"}}
		}, SeverityError, "unreadable"},
		"same prefix": {func(r *eelgrassbeam.Routing) {
			twin := r.Routes[0]
			twin.Name, twin.PathPrefix = "twin", "/%70/"
			r.Routes = append(r.Routes, twin)
		}, SeverityError, "never matches: route r"},
		"no host":            {func(r *eelgrassbeam.Routing) { r.Routes[0].Host = "" }, SeverityError, "no host"},
		"host with a port":   {func(r *eelgrassbeam.Routing) { r.Routes[0].Host = "a:80" }, SeverityError, "without their port"},
		"query in a prefix":  {func(r *eelgrassbeam.Routing) { r.Routes[0].PathPrefix = "/p?q/" }, SeverityError, "never matches"},
		"dot segments":       {func(r *eelgrassbeam.Routing) { r.Routes[0].PathPrefix = "/p/%2e%2e/q/" }, SeverityError, "never serves"},
		"prefix of a name":   {func(r *eelgrassbeam.Routing) { r.Routes[0].PathPrefix = "/p" }, SeverityWarning, "slash"},
		"timeout below aim":  {func(r *eelgrassbeam.Routing) { r.Routes[0].TargetLatency = time.Minute }, SeverityError, "below the target latency"},
		"no timeout":         {func(r *eelgrassbeam.Routing) { r.Routes[0].Timeout = 0 }, SeverityWarning, "no timeout"},
		"unknown service":    {func(r *eelgrassbeam.Routing) { r.Routes[0].Shares[0].Service = "other" }, SeverityError, "service other doesn't exist"},
		"weights of nothing": {func(r *eelgrassbeam.Routing) { r.Routes[0].Shares[0].Weight = 0 }, SeverityError, "add up to nothing"},
		"unknown region":     {func(r *eelgrassbeam.Routing) { r.Routes[0].Regions = []eelgrassbeam.RegionID{"mars"} }, SeverityError, "region \"mars\""},
		"unused service":     {func(r *eelgrassbeam.Routing) { r.Services["u"] = eelgrassbeam.ServiceSettings{} }, SeverityWarning, "no route leads"},
		"cold without a rate": {func(r *eelgrassbeam.Routing) {
			r.Services["s"] = eelgrassbeam.ServiceSettings{ColdStart: time.Second}
		}, SeverityError, "may get no request"},
		"no credential": {func(r *eelgrassbeam.Routing) { r.Teams[0].Credentials = nil }, SeverityWarning, "no credential"},
		"credential of two teams": {func(r *eelgrassbeam.Routing) {
			r.Teams = append(r.Teams, eelgrassbeam.Team{ID: "u", Credentials: r.Teams[0].Credentials})
		}, SeverityError, "also held by team t"},
		"empty credential":     {func(r *eelgrassbeam.Routing) { r.Teams[0].Credentials[0] = "" }, SeverityError, "is empty"},
		"burst without a rate": {func(r *eelgrassbeam.Routing) { r.Teams[0].Quota.PerSecond = 0 }, SeverityError, "without a rate"},
		"rate without a burst": {func(r *eelgrassbeam.Routing) { r.Teams[0].Quota.Burst = 0 }, SeverityWarning, "don't come evenly"},
		"no common region": {func(r *eelgrassbeam.Routing) {
			r.Routes[0].Regions, r.Teams[0].Regions = []eelgrassbeam.RegionID{"east"}, []eelgrassbeam.RegionID{"west"}
		}, SeverityWarning, "can run in no region"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			routing := newRouting()
			test.change(routing)
			found := Check(routing, Options{Regions: []eelgrassbeam.RegionID{"east", "west"}})
			is.True(len(found) > 0)
			is.Equal(found[0].Severity, test.severity)
			is.True(strings.Contains(found[0].Problem, test.problem))
			is.Equal(HasErrors(found), test.severity == SeverityError)
		})
	}
}

func TestCompare(t *testing.T) {
	is := is.New(t)
	before, after := newRouting(), newRouting()
	is.Equal(len(Compare(before, newRouting())), 1) // the version alone
	after.Version = 9
	after.Routes[0].Shares = []eelgrassbeam.ServiceShare{{Service: "s", Weight: 3}, {Service: "u", Weight: 1}}
	after.Routes[0].Timeout = 2 * time.Second
	after.Routes = append(after.Routes, eelgrassbeam.PathRoute{Name: "new", Host: "a", PathPrefix: "/n/"})
	after.Services["u"] = eelgrassbeam.ServiceSettings{}
	after.Limits.BodyBytes = 10
	after.Teams[0].Credentials, after.Teams[0].Quota.Burst = []eelgrassbeam.Credential{"other"}, 6
	text := fmt.Sprint(Compare(before, after))
	for _, want := range []string{
		"moves from s to s 75%, u 25%", "timeout: 1s -> 2s", "{route new added: a/n/ to no service}", "{service u added}",
		"{limits body bytes: 0 -> 10}", "1 credentials taken away", "1 credentials added", "quota: {5 5} -> {5 6}",
	} {
		is.True(strings.Contains(text, want))
	}
	is.True(!strings.Contains(text, "secret"))
}
