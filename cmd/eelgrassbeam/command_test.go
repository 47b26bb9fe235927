package main

import (
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func wantStatus(is *is.I, got result, status int, texts ...string) {
	is.Helper()
	is.Equal(got.status, status)
	for _, text := range texts {
		is.True(strings.Contains(got.out+got.err, text))
	}
}

func TestCommands(t *testing.T) {
	t.Run("each has a description, an action and known flags", func(t *testing.T) {
		is := is.New(t)
		seen := make(map[string]bool)
		for _, c := range commands() {
			is.True(c.name != "" && !seen[c.name])
			is.True(c.description != "" && c.action != nil)
			for _, name := range c.flags {
				is.True(registrars[name] != nil)
			}
			seen[c.name] = true
		}
	})
	for _, args := range []string{
		"", "nothing", "config", "config nothing", "config set a", "config get a b", "status --output xml",
		"status --nothing", "drain zone austro-a", "status --timeout 0s", "config apply f --expected-version x",
	} {
		t.Run("usage: "+args, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			if strings.HasPrefix(args, "config apply") {
				args = strings.Replace(args, " f ", " - ", 1)
			}
			wantStatus(is, f.run("{}", strings.Fields(args)...), exitUsage)
			is.Equal(f.backend.applied, 0)
		})
	}
	t.Run("help is no failure", func(t *testing.T) {
		is := is.New(t)
		wantStatus(is, newFixture(t).run("", "drain", "--help"), exitDone, "TARGET-KIND", "-reason")
	})
	t.Run("flags may stand after the arguments and win over the environment", func(t *testing.T) {
		is := is.New(t)
		t.Setenv("EELGRASSBEAM_OUTPUT", "json")
		t.Setenv("EELGRASSBEAM_REASON", "from the environment")
		f := newFixture(t)
		wantStatus(is, f.run("", "drain", "zone", "austro-a", "--reason", "rewiring"), exitDone, `"version": 6`)
		is.Equal(f.backend.stored.Exceptions[0].Reason, "rewiring")
		wantStatus(is, f.run("", "status", "--output", "table"), exitDone, "ENTRY")
	})
}

func TestConfig(t *testing.T) {
	t.Run("get prints the document or a path of it", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		wantStatus(is, f.run("", "config", "get"), exitDone, `"version": 5`)
		is.Equal(f.run("", "config", "get", "defaults.services.booking.ranks.urgent.deadline").out, "\"2s\"\n")
		wantStatus(is, f.run("", "config", "get", "defaults.nothing"), exitFailed, "want one of")
	})
	t.Run("set changes one value", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		wantStatus(is, f.run("", "config", "set", "defaults.lookup_ttl", "9s", "--note", "fewer look-ups"), exitDone,
			"stored: version 6, change change-1")
		is.Equal(f.backend.stored.Defaults.LookupTTL, eelgrassbeam.Seconds(9))
		is.Equal(f.backend.stored.Change.Author, "luz")
		is.Equal(f.backend.stored.Change.Note, "fewer look-ups")
	})
	t.Run("apply takes back what get printed", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		document := f.run("", "config", "get").out
		edited := strings.Replace(document, `"lookup_entries": 3`, `"lookup_entries": 4`, 1)
		wantStatus(is, f.run(edited, "config", "diff", "-"), exitDone, "defaults.lookup_entries  3  ->  4")
		wantStatus(is, f.run(edited, "config", "apply", "-", "--dry-run"), exitDone, "valid")
		is.Equal(f.backend.applied, 0)
		wantStatus(is, f.run(edited, "config", "apply", "-"), exitDone)
		is.Equal(f.backend.stored.Defaults.LookupEntries, 4)
	})
	t.Run("conflict names the other change", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		document := f.run("", "config", "get").out
		wantStatus(is, f.run(document, "config", "apply", "-", "--expected-version", "4"), exitConflict,
			"c-0", "ana", "first rollout")
	})
	t.Run("invalid lists the faults", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		wantStatus(is, f.run("", "config", "set", "defaults.lookup_entries", "99"), exitInvalid, "lookup_entries 99")
		wantStatus(is, f.run("", "config", "set", "defaults.lookup_entry", "1"), exitInvalid, "unknown field")
		wantStatus(is, f.run("{", "config", "apply", "-"), exitInvalid)
		is.Equal(f.backend.applied, 0)
	})
	t.Run("a file that does not exist fails", func(t *testing.T) {
		is := is.New(t)
		wantStatus(is, newFixture(t).run("", "config", "apply", filepath.Join(t.TempDir(), "none")), exitFailed)
	})
}

func TestWait(t *testing.T) {
	t.Run("accepts once all live entries confirm", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.backend.lagging = 2
		wantStatus(is, f.run("", "drain", "upstream", "up-1", "--reason", "repair", "--wait"), exitDone,
			"stored: version 6", "in force: version 6 on 2 of 2")
		is.Equal(f.backend.lagging, 0)
	})
	t.Run("names the missing entries when the time is up", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.backend.lagging = 1 << 30
		wantStatus(is, f.run("", "drain", "upstream", "up-1", "--reason", "repair", "--wait", "--timeout", "500ms"),
			exitNotInForce, "on 1 of 2", "missing: [e-2]")
	})
}

func TestLostAnswer(t *testing.T) {
	t.Run("a stored change is found by its id and not repeated", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.backend.lost, f.backend.stores = 1, true
		wantStatus(is, f.run("", "config", "set", "defaults.lookup_ttl", "9s"), exitDone, "version 6")
		is.Equal(f.backend.applied, 1)
	})
	t.Run("a change that was not stored is stored once", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.backend.lost = 1
		wantStatus(is, f.run("", "drain", "zone", "austro-a", "--reason", "rewiring"), exitDone, "version 6")
		is.Equal(f.backend.applied, 1)
	})
	t.Run("a connection cut after the change is resolved at another entry", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.url = serve(t, f.backend, cutAnswers) + "," + f.url
		wantStatus(is, f.run("", "drain", "zone", "austro-a", "--reason", "rewiring"), exitDone, "version 6")
		is.Equal(f.backend.applied, 1)
	})
	t.Run("stays unknown while nothing answers", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.backend.lost = 1 << 30
		wantStatus(is, f.run("", "drain", "zone", "austro-a", "--reason", "rewiring", "--timeout", "500ms"),
			exitUnknown, "change-1")
	})
	for name, test := range map[string]struct {
		stores bool
		listed int
		want   int
	}{
		"a change overtaken by others is found among them":        {stores: true, listed: 8, want: exitDone},
		"a change that others came before is a conflict":          {stores: false, listed: 8, want: exitConflict},
		"a change overtaken beyond the listed ones stays unknown": {stores: true, listed: 1, want: exitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			document := f.run("", "config", "get").out
			f.backend.lost, f.backend.stores = 1, test.stores
			f.url = serve(t, f.backend, func(h http.Handler) http.Handler { return overtake(f.backend, test.listed, h) })
			wantStatus(is, f.run(document, "config", "apply", "-"), test.want)
		})
	}
}

func TestEntries(t *testing.T) {
	t.Run("the next entry answers for a dead one", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.url = deadAddress(t) + "," + f.url
		wantStatus(is, f.run("", "status"), exitDone, "version 5 stored, in force on 1 of 2", "live", "leaving", "up-1")
		wantStatus(is, f.run("", "drain", "zone", "austro-a", "--reason", "rewiring"), exitDone)
		wantStatus(is, f.run("", "decisions"), exitDone, "least_loaded", "waiting=7", "no answer")
	})
	t.Run("a change that reached no entry has failed", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.url = deadAddress(t)
		wantStatus(is, f.run("", "drain", "zone", "austro-a", "--reason", "rewiring"), exitFailed)
	})
	t.Run("an unusable TLS file fails", func(t *testing.T) {
		is := is.New(t)
		wantStatus(is, newFixture(t).run("", "status", "--tls-cert", "none"), exitFailed, "TLS")
	})
}

func TestExceptions(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	wantStatus(is, f.run("", "exception", "add", "slots", "upstream", "up-1", "2", "--reason", "hot", "--expires-in", "2h"), exitDone)
	wantStatus(is, f.run("", "drain", "zone", "austro-a", "--reason", "rewiring"), exitDone)
	wantStatus(is, f.run("", "exception", "list"), exitDone, "hot", "rewiring", "never", "zone austro-a")
	wantStatus(is, f.run("", "exception", "remove", "change-1"), exitDone)
	wantStatus(is, f.run("", "exception", "remove", "change-1"), exitFailed, "no exception")
	wantStatus(is, f.run("", "undrain", "zone", "austro-a", "--reason", "rewired"), exitDone)
	wantStatus(is, f.run("", "undrain", "zone", "austro-a"), exitFailed, "not drained")
	wantStatus(is, f.run("", "exception", "add", "slots", "zone", "austro-a", "2", "--reason", "hot"), exitInvalid, "does not apply")
	is.Equal(len(f.backend.stored.Exceptions), 0)
}

// cutAnswers serves changes but closes the connection in place of an answer.
func cutAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	})
}

// overtake stores two other changes after each one that is served and keeps the listed number of recent ones.
func overtake(backend *fakeBackend, listed int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if r.Method == http.MethodGet {
			return
		}
		backend.mu.Lock()
		defer backend.mu.Unlock()
		for _, id := range []eelgrassbeam.ChangeID{"c-other-1", "c-other-2"} {
			recent := append([]eelgrassbeam.Change{backend.stored.Change}, backend.stored.RecentChanges...)
			backend.stored = backend.stored.WithVersion(backend.stored.Version + 1).
				WithChange(eelgrassbeam.Change{ID: id, Author: "eva"}).
				WithRecentChanges(recent[:min(len(recent), listed)])
		}
	})
}

type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header            { return w.header }
func (w *discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (w *discardWriter) WriteHeader(int)                {}

func deadAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
