package headchecker

import (
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// keptBytes is the number of bytes of a status line that Scanner keeps: the version and the status.
const keptBytes = 32

// part is the part of a response that a byte belongs to.
type part string

const (
	partStatusLine part = "status_line"
	partLineStart  part = "line_start"
	partName       part = "name"
	partValue      part = "value"
	partBody       part = "body"
)

// Scanner checks the names of fields in the bytes of a connection. net/http takes a line that begins with a blank for the
// continuation of the line before, so that such a name is part of another field's value once a head is parsed.
type Scanner struct {
	part part
	kept []byte
}

// Expect makes the next byte the first one of a response.
func (s *Scanner) Expect() { s.part, s.kept = partStatusLine, s.kept[:0] }

// Scan checks bytes that follow those before, up to the end of the head. Interim responses are checked, too. It leaves to the
// parser what that rejects.
func (s *Scanner) Scan(p []byte) error {
	for i := 0; i < len(p) && s.part != partBody; i++ {
		if err := s.next(p[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scanner) next(b byte) error {
	isEnd := b == '\n'
	switch s.part {
	case partStatusLine:
		if isEnd {
			s.part = partLineStart
		} else if len(s.kept) < keptBytes {
			s.kept = append(s.kept, b)
		}
	case partLineStart, partName:
		return s.nextOfName(b)
	case partValue:
		if isEnd {
			s.part = partLineStart
		}
	}
	return nil
}

func (s *Scanner) nextOfName(b byte) error {
	isStart := s.part == partLineStart
	switch {
	case isStart && b == '\r': // of the empty line behind the head
	case isStart && b == '\n' && s.isInterim():
		s.Expect()
	case isStart && b == '\n':
		s.part = partBody
	case b == ':':
		s.part = partValue
	case !httpguts.IsTokenRune(rune(b)):
		return fmt.Errorf("%w: byte %q", ErrFieldName, b)
	default:
		s.part = partName
	}
	return nil
}

// isInterim reports whether another head follows the one with the status line that was kept.
func (s *Scanner) isInterim() bool {
	fields := strings.Fields(string(s.kept))
	return len(fields) > 1 && len(fields[1]) == 3 && fields[1][0] == '1' && fields[1] != "101"
}
