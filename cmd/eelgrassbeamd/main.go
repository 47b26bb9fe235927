// Command eelgrassbeamd runs an entry instance as a daemon.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam/directserver"
	"github.com/eelgrassbeam/eelgrassbeam/dispatchserver"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2

	environmentPrefix = "EELGRASSBEAMD"
)

// version is set by the linker.
var version = "development"

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var s settings
	flags := flag.NewFlagSet("eelgrassbeamd", flag.ContinueOnError)
	s.registerFlags(flags)
	usePlatformSettings := flags.Bool("platform-settings", false,
		"take all settings from the platform's file, whose path stands in "+platform.SettingsPathEnv)
	showVersion := flags.Bool("version", false, "print the version and exit")
	err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix(environmentPrefix))
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassbeamd:", err)
		return exitUsage
	}
	if *showVersion {
		fmt.Println(version)
		return exitOK
	}
	if *usePlatformSettings {
		return serveWithPlatformSettings(os.Getenv(platform.SettingsPathEnv), newLogger(s.logLevel))
	}
	config, err := s.validate()
	if err != nil {
		fmt.Fprintf(os.Stderr, "eelgrassbeamd: settings:\n%v\n", err)
		return exitUsage
	}
	return serve(config, newLogger(s.logLevel))
}

func serve(config dispatchserver.Config, log *logrus.Logger) int {
	config.Clock = clockwork.NewRealClock()
	config.Log = log
	config.Version = version
	s, err := dispatchserver.New(config)
	if err != nil {
		log.WithFields(logrus.Fields{"event": "start_failed", "error": err}).Error("")
		return exitFailed
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	if err := s.Run(context.Background(), signals); err != nil {
		log.WithFields(logrus.Fields{"event": "stopped", "error": err}).Error("")
		return exitFailed
	}
	return exitOK
}

// serveWithPlatformSettings runs an entry with the settings that the platform provides in the file at path.
func serveWithPlatformSettings(path string, log *logrus.Logger) int {
	clock := clockwork.NewRealClock()
	logWriter := logger.NewWriter(os.Stdout)
	log.SetOutput(logWriter)
	log.SetFormatter(logger.NewLimiter(log.Formatter, clock))
	defer logWriter.Flush()
	readSettings := func() (platform.Settings, error) { return platform.ReadSettings(path) }
	settings, err := readSettings()
	if err != nil {
		fmt.Fprintf(os.Stderr, "eelgrassbeamd: settings:\n%v\n", err)
		return exitUsage
	}
	f, err := directserver.New(directserver.Config{
		Settings: settings, ReadSettings: readSettings, Clock: clock, Log: log, LogWriter: logWriter, Version: version,
	})
	if err != nil {
		log.WithFields(logrus.Fields{"event": "start_failed", "error": err}).Error("")
		return exitFailed
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	if err := f.Run(context.Background(), signals); err != nil {
		log.WithFields(logrus.Fields{"event": "stopped", "error": err}).Error("")
		return exitFailed
	}
	return exitOK
}

func newLogger(level string) *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	// Send the standard logger, which libraries such as net/http use, through logrus, so that its lines have the same
	// key=value format.
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.WithField("event", "library").WriterLevel(logrus.WarnLevel))
	return log
}
