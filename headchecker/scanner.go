package headchecker

import (
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// keptBytes is the number of bytes of a line that Scanner keeps: more than a version and a status, or transferCoding, have.
const keptBytes = 32

const (
	// lineCost is the memory, in bytes, that a parsed field takes besides its text.
	lineCost = 200
	// maxCost bounds the memory, in bytes, that heads may take.
	maxCost = 256 << 10
)

// transferCoding is the name of the field that only HTTP/1.1 has.
const transferCoding = "Transfer-Encoding"

// part is the part of a response that a byte belongs to.
type part string

const (
	partStatusLine part = "status_line"
	partLineStart  part = "line_start"
	partName       part = "name"
	partValue      part = "value"
	// partBody is what no head is expected in.
	partBody part = ""
)

// Scanner checks heads in the bytes of a connection for what parsing hides. net/http takes a line that begins with a blank for
// the continuation of the line before, so that such a name is part of another field's value. It drops the transfer coding of
// an HTTP/1.0 response, whose body then holds the sizes of chunks. The zero value expects no head.
type Scanner struct {
	part part
	// kept is the start of the status line or of the current field's name.
	kept []byte
	// cost is the memory, in bytes, that the parsed heads take.
	cost int64
	// isInterim is set if another head follows this one, and isOld if its version is below HTTP/1.1.
	isInterim, isOld bool
}

// Expect makes the next byte the first one of a response.
func (s *Scanner) Expect() {
	s.cost = 0
	s.expectHead()
}

// Cost returns the memory, in bytes, that the head takes as far as it is scanned, with the interim ones before it.
func (s *Scanner) Cost() int64 { return s.cost }

func (s *Scanner) expectHead() { s.part, s.kept = partStatusLine, s.kept[:0] }

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
	s.cost++
	if isEnd {
		s.cost += lineCost
	}
	if s.cost > maxCost {
		return ErrTooLarge
	}
	switch s.part {
	case partStatusLine:
		if !isEnd {
			s.keep(b)
			return nil
		}
		s.part = partLineStart
		s.readStatusLine()
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
	case isStart && b == '\n' && s.isInterim:
		s.expectHead()
	case isStart && b == '\n':
		s.part = partBody
	case b == ':' && s.isOld && strings.EqualFold(string(s.kept), transferCoding):
		return ErrTransferCoding
	case b == ':':
		s.part, s.kept = partValue, s.kept[:0]
	case !httpguts.IsTokenRune(rune(b)):
		return fmt.Errorf("%w: byte %q", ErrFieldName, b)
	default:
		s.part = partName
		s.keep(b)
	}
	return nil
}

func (s *Scanner) keep(b byte) {
	if len(s.kept) < keptBytes {
		s.kept = append(s.kept, b)
	}
}

// readStatusLine takes version and status from what was kept. A parser rejects a line that has none.
func (s *Scanner) readStatusLine() {
	version, status, _ := strings.Cut(string(s.kept), " ")
	s.kept = s.kept[:0]
	major, minor, isValid := http.ParseHTTPVersion(version)
	s.isOld = isValid && (major < 1 || major == 1 && minor < 1)
	status = strings.TrimLeft(status, " ")
	s.isInterim = strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101")
}
