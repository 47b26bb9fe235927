// Package logger logs decisions, keeps the recent ones in memory, and limits the rate of log lines.
package logger

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	defaultSize = 4096
	// maxLogFields is the maximum number of keys in one line.
	maxLogFields = MaxFields + 8
)

// Config configures a Logger.
type Config struct {
	// Log receives one line per decision; nil disables logging.
	Log logrus.FieldLogger
	// Size is the capacity of the ring buffer of recent decisions; zero means 4096.
	Size int
	// Sample is the sampling interval of the log: one in Sample decisions is logged; 0 and 1 log all. The ring buffer
	// keeps all decisions.
	Sample int
	Clock  eelgrassbeam.Clock
}

// Logger logs decisions and keeps the recent ones in a ring buffer. A nil Logger discards them.
type Logger struct {
	config  Config
	counter atomic.Uint64

	mu   sync.Mutex
	ring []Decision
	// next counts the recorded decisions; modulo the length of ring it is the index of the next one.
	next uint64
}

// New returns a Logger.
func New(config Config) *Logger {
	if config.Size <= 0 {
		config.Size = defaultSize
	}
	return &Logger{config: config, ring: make([]Decision, config.Size)}
}

// Record keeps the decision, and logs it if it is sampled.
func (l *Logger) Record(decision Decision) {
	if l == nil {
		return
	}
	if decision.At.IsZero() {
		decision.At = l.config.Clock.Now()
	}
	l.store(&decision)
	if l.config.Log != nil && l.isSampled() {
		l.log(&decision)
	}
}

// Recent returns the decisions that match the filter, newest first.
func (l *Logger) Recent(filter Filter) []Decision {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	size := uint64(len(l.ring))
	available := min(l.next, size)
	var found []Decision
	for offset := uint64(1); offset <= available; offset++ {
		decision := &l.ring[(l.next-offset)%size]
		if filter.Limit > 0 && len(found) == filter.Limit {
			break
		}
		if filter.matches(decision) {
			found = append(found, *decision)
		}
	}
	return found
}

func (l *Logger) store(decision *Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next%uint64(len(l.ring))] = *decision
	l.next++
}

func (l *Logger) isSampled() bool {
	if l.config.Sample <= 1 {
		return true
	}
	return l.counter.Add(1)%uint64(l.config.Sample) == 1
}

func (l *Logger) log(decision *Decision) {
	fields := make(logrus.Fields, maxLogFields)
	fields["event"] = "decision"
	fields["kind"] = string(decision.Kind)
	fields["configuration_version"] = decision.Versions.Configuration
	fields["fleet_revision"] = decision.Versions.Fleet
	fields["choice"] = decision.Choice
	fields["reason"] = decision.Reason
	if decision.Request != "" {
		fields["request_id"] = string(decision.Request)
	}
	if decision.Versions.Load != 0 {
		fields["load_revision"] = decision.Versions.Load
	}
	for i := range decision.Fields {
		if field := &decision.Fields[i]; field.key != "" {
			fields[field.key] = field.Value()
		}
	}
	l.config.Log.WithFields(fields).Info("")
}
