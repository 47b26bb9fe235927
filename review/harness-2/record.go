package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, with the time since its start.
type record struct {
	started time.Time
	mu      sync.Mutex
	file    *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: now(), file: file}, nil
}

// line writes a line to the record.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.TrimSuffix(fmt.Sprintf(format, args...), "\n")
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", now().Sub(r.started).Seconds(), text)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() { _ = r.file.Close() }
