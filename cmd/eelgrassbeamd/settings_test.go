package main

import (
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func validateArguments(t *testing.T, arguments ...string) error {
	t.Helper()
	var s settings
	flags := flag.NewFlagSet("eelgrassbeamd", flag.ContinueOnError)
	s.registerFlags(flags)
	is.New(t).NoErr(flags.Parse(arguments))
	_, err := s.validate()
	return err
}

func TestSettings(t *testing.T) {
	valid := []string{"-id", "e1", "-zone", "z1", "-region", "r1", "-platform-url", "http://127.0.0.1:8000"}
	t.Run("valid settings are accepted", func(t *testing.T) {
		is.New(t).NoErr(validateArguments(t, valid...))
	})
	t.Run("the error names each invalid setting with its value and the accepted values", func(t *testing.T) {
		is := is.New(t)
		err := validateArguments(t, "-caller-address", "localhost", "-stop-timeout", "1ms", "-decision-log", "some", "-tls-cert", "c.pem")
		is.True(err != nil)
		for _, want := range []string{
			`setting id: "": want`, "setting zone:", "setting region:", "setting platform-url:",
			`setting caller-address: "localhost": want an IP address and a port`, `setting stop-timeout: "1ms": want 1s to 1h0m0s`,
			`setting decision-log: "some": want all, sampled or off`, "setting tls-cert, tls-key and tls-ca:",
		} {
			is.True(strings.Contains(err.Error(), want)) // the error names this setting
		}
	})
	t.Run("invalid settings exit with status 2", func(t *testing.T) {
		is.New(t).Equal(run([]string{"-zone", "z1"}), exitUsage)
	})
}
