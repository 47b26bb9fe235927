package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// floodTeam sends about three times its quota, in requests per second and as a burst, to all entries.
	floodTeam       = "flooders"
	floodCredential = "credential-of-flooders"
	floodQuota      = 20
	floodInterval   = 15 * time.Millisecond
	// floodWindow, floodOverage and floodSlack are the users' bound on a team's requests that run: in each window at most
	// (rate x window + burst) x (1 + overage) + slack.
	floodWindow  = 5 * time.Second
	floodOverage = 0.1
	floodSlack   = 20
)

func teamOf(credential string) string {
	if credential == floodCredential {
		return floodTeam
	}
	return soakTeam
}

// flood sends requests of the team beyond its quota to random entries until ctx is done.
func (c *soakCallers) flood(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		e := c.fleet.entries[random.IntN(len(c.fleet.entries))]
		record, _ := c.exchangeWith(floodCredential, client, "http://"+e.addresses["front"], http.MethodGet, "/t/", "0", time.Millisecond, e)
		c.mu.Lock()
		c.floods = append(c.floods, record)
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(floodInterval):
		}
	}
}

// checkFlood returns an error if more of the team's requests ran in a window than its quota allows, all entries together,
// whatever happened to them, or if all were rejected.
func checkFlood(floods []soakRecord, ran map[string][]soakExecution) error {
	var sent []time.Time
	for _, record := range floods {
		if len(ran[record.id]) > 0 {
			sent = append(sent, record.began)
		}
	}
	if len(floods) > 0 && len(sent) == 0 {
		return fmt.Errorf("none of %d requests of team %s ran", len(floods), floodTeam)
	}
	slices.SortFunc(sent, time.Time.Compare)
	bound := int((floodQuota*floodWindow.Seconds()+floodQuota)*(1+floodOverage) + floodSlack)
	for first, last := 0, 0; last < len(sent); last++ {
		for sent[last].Sub(sent[first]) >= floodWindow {
			first++
		}
		if count := last - first + 1; count > bound {
			return fmt.Errorf("%d requests of team %s ran within %s: want at most %d", count, floodTeam, floodWindow, bound)
		}
	}
	return nil
}

// Guards against a check that never fails.
func TestCheckFlood(t *testing.T) {
	play := func(perSecond int) error {
		began, ran := time.Now(), make(map[string][]soakExecution)
		var floods []soakRecord
		for i := range 8 * perSecond {
			id := fmt.Sprint(i)
			floods = append(floods, soakRecord{id: id, began: began.Add(time.Duration(i) * time.Second / time.Duration(perSecond))})
			ran[id] = []soakExecution{{id: id}}
		}
		return checkFlood(floods, ran)
	}
	is := is.New(t)
	is.NoErr(play(floodQuota))
	is.NoErr(play(floodQuota * 3 / 2))
	is.True(play(floodQuota*2) != nil)
	is.True(checkFlood([]soakRecord{{id: "r"}}, nil) != nil)
}
