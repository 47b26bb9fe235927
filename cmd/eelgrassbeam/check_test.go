package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

const (
	goodConfiguration = `{"version":7,"resources":[
{"resource_kind":"routes","metadata":{"name":"r"},"spec":{"host":"a","path_prefix":"/p/","kind":"idempotent","timeout":"2s","target_latency":"1s","service":"s"}},
{"resource_kind":"services","metadata":{"name":"s"},"spec":{}}]}`
	badConfiguration = `{"version":8,"resources":[
{"resource_kind":"routes","metadata":{"name":"r"},"spec":{"host":"a","path_prefix":"/p/","kind":"idempotent","timeout":"1s","target_latency":"2s","service":"t"}}]}`
)

func TestCheckConfiguration(t *testing.T) {
	file := filepath.Join(t.TempDir(), "in-force.json")
	is.New(t).NoErr(os.WriteFile(file, []byte(goodConfiguration), 0o600))
	t.Run("good", func(t *testing.T) {
		checkResult(is.New(t), newFixture(t).run(goodConfiguration, "check", "-"), exitOK, "version 7: 0 findings")
	})
	t.Run("bad, with what it changes", func(t *testing.T) {
		checkResult(is.New(t), newFixture(t).run(badConfiguration, "check", "-", "--against", file), exitInvalid,
			"error", "route r", "below the target latency", "service t doesn't exist", "moves from s to t", "service s", "removed")
	})
	t.Run("as JSON", func(t *testing.T) {
		checkResult(is.New(t), newFixture(t).run(badConfiguration, "check", "-", "--output", "json"), exitInvalid, `"severity": "error"`, `"version": 8`)
	})
	t.Run("unreadable", func(t *testing.T) {
		checkResult(is.New(t), newFixture(t).run("{", "check", "-"), exitInvalid, "configuration")
	})
	t.Run("in force without the store's address", func(t *testing.T) {
		checkResult(is.New(t), newFixture(t).run(goodConfiguration, "check", "-", "--against", "in-force"), exitUsage, "--store-url")
	})
}
