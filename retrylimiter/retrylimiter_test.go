package retrylimiter

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

func TestBudget(t *testing.T) {
	t.Run("retries stay within the share and the burst", func(t *testing.T) {
		for _, unlimited := range []bool{false, true} {
			exceeded := false
			rapid.Check(t, func(rt *rapid.T) {
				r := New(Config{})
				r.unlimited = unlimited
				share := rapid.Float64Range(0, 0.5).Draw(rt, "share")
				first, retries := 0, 0
				for _, isRetry := range rapid.SliceOfN(rapid.Bool(), 1, 300).Draw(rt, "attempts") {
					if !isRetry {
						first++
						r.RecordFirstAttempt("s", share)
					} else if r.AllowRetry("s", share) {
						retries++
					}
					exceeded = exceeded || float64(retries) > share*float64(first)+DefaultBurst+1e-9
				}
			})
			is.New(t).Equal(exceeded, unlimited)
		}
	})
	t.Run("each service has its own budget", func(t *testing.T) {
		is, r := is.New(t), New(Config{Burst: 1})
		is.True(r.AllowRetry("a", 0.1))
		is.True(!r.AllowRetry("a", 0.1))
		is.True(r.AllowRetry("b", 0.1))
		is.True(!r.AllowRetry("c", 0))
	})
	t.Run("an exception overrides the share", func(t *testing.T) {
		is := is.New(t)
		config := &eelgrassbeam.Configuration{Defaults: eelgrassbeam.Defaults{Services: []eelgrassbeam.Service{{Name: "a", RetryShare: 0.2}}}}
		is.Equal(Share(config, "a", time.Time{}), 0.2)
		config.Exceptions = []eelgrassbeam.Exception{{Setting: eelgrassbeam.SettingRetryShare, TargetKind: eelgrassbeam.TargetService, Target: "a", Value: "0"}}
		is.Equal(Share(config, "a", time.Time{}), 0.0)
	})
}
