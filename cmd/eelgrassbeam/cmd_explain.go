package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// explain prints the log lines of one request from the logs of all entries, in time order.
var explain = command{
	name:        "explain",
	description: "print a request's way, in time order, from logs of entries: from the file, or from standard input",
	arguments:   []string{"REQUEST_ID", "[FILE]"},
	action: func(_ context.Context, s *session, args []string) error {
		var source io.Reader = os.Stdin
		if len(args) > 1 {
			file, err := os.Open(args[1])
			if err != nil {
				return err
			}
			defer func() { _ = file.Close() }()
			source = file
		}
		lines, err := requestLines(args[0], source)
		if err != nil {
			return err
		}
		if len(lines) == 0 {
			return fmt.Errorf("no line names request %q; the log rate limit may have omitted lines of successful requests, see event=log_left_out", args[0])
		}
		_, err = fmt.Fprintln(s.stdout, strings.Join(lines, "\n"))
		return err
	},
}

var logTime = regexp.MustCompile(`time="([^"]*)"`)

// requestLines returns the lines that name the request, sorted by time.
func requestLines(id string, source io.Reader) ([]string, error) {
	pattern := regexp.MustCompile(`(^|\s)(request|request_id)="?` + regexp.QuoteMeta(id) + `"?(\s|$)`)
	var found []string
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLogLine)
	for scanner.Scan() {
		if pattern.MatchString(scanner.Text()) {
			found = append(found, scanner.Text())
		}
	}
	slices.SortStableFunc(found, func(a, b string) int { return cmp.Compare(lineTime(a), lineTime(b)) })
	return found, scanner.Err()
}

func lineTime(line string) string {
	match := logTime.FindStringSubmatch(line)
	if match == nil {
		return ""
	}
	return match[1]
}
