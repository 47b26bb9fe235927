package granter

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "100")
	os.Exit(m.Run())
}

func TestShift(t *testing.T) {
	t.Run("with all guards", func(t *testing.T) {
		accepted := 0
		rapid.Check(t, func(t *rapid.T) {
			m := newModel(t, disabledGuards{})
			m.run()
			accepted += m.accepted
			for _, err := range m.violations {
				t.Fatal(err)
			}
		})
		t.Logf("%d requests accepted", accepted)
		is.New(t).True(accepted > 0)
	})
	for _, c := range []struct {
		name      string
		disabled  disabledGuards
		violation string
	}{
		{"without counting outstanding credits", disabledGuards{outstanding: true}, "slots"},
		{"without checking the cap on use", disabledGuards{check: true}, "cap"},
		{"without checking the headroom on use", disabledGuards{check: true}, "headroom"},
		{"without expiry of grants", disabledGuards{expiry: true}, "term"},
		{"without delaying a rise of shares", disabledGuards{settle: true}, "cap"},
		{"without a delay for new dispatchers", disabledGuards{tenure: true}, "cap"},
	} {
		t.Run(c.name, func(t *testing.T) { checkViolation(t, c.disabled, c.violation) })
	}
}

func checkViolation(t *testing.T, g disabledGuards, violation string) {
	t.Helper()
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, g)
		m.run()
		if m.violations[violation] != nil {
			runs++
		}
	})
	t.Logf("%d runs with a violation", runs)
	is.New(t).True(runs > 0)
}

func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s split
		for i, slots := range rapid.SliceOfN(rapid.IntRange(1, 200), 1, 8).Draw(t, "slots") {
			s.sites = append(s.sites, siteSlots{site: eelgrassbeam.Site{Service: "booking", Zone: eelgrassbeam.ZoneID(rune('a' + i))}, slots: slots})
			s.total += slots
		}
		limit := rapid.IntRange(0, 5000).Draw(t, "limit")
		total := 0
		for _, each := range s.sites {
			rate := s.rate(each.site, limit)
			total += rate
			if s.rate(each.site, limit+1) < rate {
				t.Fatalf("a higher cap lowers the rate of %s", each.site)
			}
		}
		if total != limit {
			t.Fatalf("rates add up to %d, want %d", total, limit)
		}
	})
}

var wideLimits = limits{rate: 100, linkBytes: 1e9, load: eelgrassbeam.SiteLoad{Slots: 1000}}

func checkIssue(t *testing.T, l *ledger, limits limits, now time.Time, want int) {
	t.Helper()
	is.New(t).Equal(l.issue(1, maxCredits, limits, now), want)
}

func TestLedger(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("link budget limits the grant", func(t *testing.T) {
		l, narrow := newLedger(disabledGuards{}), wideLimits
		narrow.linkBytes = 10 * firstExchangeBytes
		checkIssue(t, l, narrow, now, 5)
	})
	t.Run("bytes of the last interval count against the link budget", func(t *testing.T) {
		l, narrow := newLedger(disabledGuards{}), wideLimits
		narrow.linkBytes = 10 * firstExchangeBytes
		checkIssue(t, l, narrow, now, 5)
		is.New(t).Equal(l.spend(1, narrow, now), verdictAccepted)
		l.observe(10*firstExchangeBytes, now)
		is.New(t).Equal(l.spend(1, narrow, now), verdictLink)
		checkIssue(t, l, narrow, now, 0)
		later := now.Add(2 * CapInterval)
		is.New(t).True(l.linkCapacity(narrow, later) < 10) // the mean size has grown
		checkIssue(t, l, narrow, later, 2)
	})
	t.Run("cold site starts at a tenth of its rate", func(t *testing.T) {
		l, cold := newLedger(disabledGuards{}), wideLimits
		cold.slowStart = 10 * time.Second
		checkIssue(t, l, cold, now, 5)
		is.New(t).Equal(l.spend(1, cold, now), verdictAccepted)
		later := now.Add(5 * time.Second) // halfway from a tenth to the full rate
		is.New(t).Equal(l.rampedRate(cold, later), 55)
		is.New(t).Equal(l.rampedRate(cold, now.Add(11*time.Second)), 10) // cold again
	})
	t.Run("grants of an earlier tenure are unknown", func(t *testing.T) {
		l := newLedger(disabledGuards{})
		checkIssue(t, l, wideLimits, now, 50)
		l.beginTenure(now)
		is.New(t).Equal(l.spend(1, wideLimits, now), verdictUnknown)
	})
}

func TestAccount(t *testing.T) {
	now := time.Unix(1000, 0)
	reply := CreditReply{Grant: 7, Credits: 1, Term: eelgrassbeam.Duration{Duration: GrantTerm}}
	t.Run("a duplicate answer adds no credits", func(t *testing.T) {
		is, a := is.New(t), &account{}
		is.True(a.addCredits(reply, now, now))
		is.True(!a.addCredits(reply, now, now))
	})
	t.Run("a late answer adds no credits", func(t *testing.T) {
		is.New(t).True(!(&account{}).addCredits(reply, now, now.Add(GrantTerm)))
	})
	t.Run("credits expire one term after the credit request", func(t *testing.T) {
		is, a := is.New(t), &account{}
		is.True(a.addCredits(reply, now, now.Add(GrantTerm/2)))
		_, ok := a.take(eelgrassbeam.RankUrgent, now.Add(GrantTerm))
		is.True(!ok)
	})
	t.Run("urgent requests go first, every fourth credit goes to other ranks", func(t *testing.T) {
		is, a, counts := is.New(t), &account{}, map[eelgrassbeam.Rank]int{}
		plenty := reply
		plenty.Credits = 8
		try := func(ranks ...eelgrassbeam.Rank) {
			for _, rank := range ranks {
				if _, ok := a.take(rank, now); ok {
					counts[rank]++
				}
			}
		}
		try(eelgrassbeam.RankUrgent, eelgrassbeam.RankBackground)
		is.True(a.addCredits(plenty, now, now))
		for range 8 {
			try(eelgrassbeam.RankBackground, eelgrassbeam.RankUrgent)
		}
		is.Equal(counts, map[eelgrassbeam.Rank]int{eelgrassbeam.RankUrgent: 6, eelgrassbeam.RankBackground: 2})
	})
}
