package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRequestLines(t *testing.T) {
	log := strings.Join([]string{
		`time="2026-01-01T00:00:02Z" entry=e2 event=request request=abc status=200`,
		`time="2026-01-01T00:00:01Z" entry=e1 event=attempt_failed request=abc result=shed`,
		`time="2026-01-01T00:00:01Z" entry=e1 event=request request=abcd status=200`,
		`time="2026-01-01T00:00:03Z" entry=e1 event=decision request_id="abc" choice=e2`,
	}, "\n")
	t.Run("returns the lines of this request only, in time order", func(t *testing.T) {
		is := is.New(t)
		lines, err := requestLines("abc", strings.NewReader(log))
		is.NoErr(err)
		is.Equal(len(lines), 3)
		is.True(strings.Contains(lines[0], "attempt_failed"))
		is.True(strings.Contains(lines[2], "decision"))
	})
	t.Run("takes the id literally and returns nothing for an unknown one", func(t *testing.T) {
		lines, err := requestLines("a.c", strings.NewReader(log))
		is := is.New(t)
		is.NoErr(err)
		is.Equal(len(lines), 0)
	})
}
