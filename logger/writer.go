package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the maximum number of lines queued for a slow reader, which is a few seconds of output at the
// limits of all categories.
const maxQueuedLines = 2000

// Writer writes log lines to an output asynchronously, so that a slow reader never blocks the process that logs. Lines
// that do not fit the queue are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewWriter returns a Writer to out; Run writes the queued lines.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write implements io.Writer. It expects one line per call and always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes queued lines until the context ends, and then those left in the queue.
func (w *Writer) Run(ctx context.Context) error {
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-ctx.Done():
			w.Flush()
			return nil
		}
		if dropped := w.Dropped(); dropped > reported {
			w.writeLine(fmt.Appendf(nil, "level=warning event=log_dropped lines=%d total=%d\n", dropped-reported, dropped))
			reported = dropped
		}
	}
}

// Flush writes the queued lines.
func (w *Writer) Flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line. It ignores errors, since there is no other output to report them to.
func (w *Writer) writeLine(line []byte) { _, _ = w.out.Write(line) }
