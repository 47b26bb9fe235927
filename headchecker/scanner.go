package headchecker

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// keptBytes is the number of bytes that Scanner keeps of a status line or a field name, enough for version and status code
// and for the names below.
const keptBytes = 32

const (
	// lineCost is the memory, in bytes, that a parsed field takes in addition to its text.
	lineCost = 200
	// maxCost is the maximum memory, in bytes, of a head and the interim ones before it.
	maxCost = 256 << 10
)

// The names of the fields that frame a body.
const (
	transferCoding = "Transfer-Encoding"
	contentLength  = "Content-Length"
)

// maxFramingBytes is the maximum size, in bytes, of all values of framing fields, which errors of net/http quote.
const maxFramingBytes = 256

// part is a part of a response.
type part string

const (
	partStatusLine part = "status_line"
	partLineStart  part = "line_start"
	partName       part = "name"
	partValue      part = "value"
	// partBody is everything outside a head.
	partBody part = ""
)

// Scanner validates response heads in the byte stream of a connection, where it sees what net/http hides or mishandles:
//   - net/http appends a line that begins with a blank to the value of the previous field.
//   - It ignores the Transfer-Encoding of an HTTP/1.0 response, whose body then includes the chunk sizes.
//   - Its errors quote invalid lines whatever their length.
//
// The zero value expects no head.
type Scanner struct {
	part part
	// kept is the start of the status line or of the current field's name.
	kept []byte
	// isFraming is set if the current field frames the body, and framingLeft is the number of bytes left for the values of
	// such fields.
	isFraming   bool
	framingLeft int
	// isAfterReturn is set behind a carriage return, which only the end of the line may follow.
	isAfterReturn bool
	// cost is the memory, in bytes, that the head takes once it is parsed.
	cost int64
	// isInterim is set if the head is that of an interim response, and isOld if its version is before HTTP/1.1.
	isInterim, isOld bool
}

// Expect resets the scanner: the next byte is the first one of a response.
func (s *Scanner) Expect() {
	s.cost = 0
	s.expectHead()
}

// Cost returns the memory, in bytes, that the head takes as far as it is scanned, including interim ones before it.
func (s *Scanner) Cost() int64 { return s.cost }

func (s *Scanner) expectHead() {
	s.part, s.kept, s.framingLeft = partStatusLine, s.kept[:0], maxFramingBytes
}

// Scan validates the next bytes of the connection up to the end of the head. Bytes of the body are ignored.
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
		return s.readStatusLine()
	case partLineStart, partName:
		return s.nextOfName(b)
	case partValue:
		return s.nextOfValue(b)
	}
	return nil
}

func (s *Scanner) nextOfName(b byte) error {
	isStart, isAfterReturn := s.part == partLineStart, s.isAfterReturn
	s.isAfterReturn = isStart && b == '\r'
	switch {
	case isAfterReturn && b != '\n', isStart && b == ':':
		return fmt.Errorf("%w: empty", ErrFieldName)
	case s.isAfterReturn: // the start of the empty line that ends the head
	case isStart && b == '\n' && s.isInterim:
		s.expectHead()
	case isStart && b == '\n':
		s.part = partBody
	case b == ':':
		return s.beginValue()
	case !httpguts.IsTokenRune(rune(b)):
		return fmt.Errorf("%w: byte %q", ErrFieldName, b)
	default:
		s.part = partName
		s.keep(b)
	}
	return nil
}

// beginValue ends a field name.
func (s *Scanner) beginValue() error {
	name := string(s.kept)
	s.part, s.kept = partValue, s.kept[:0]
	isTransferCoding := strings.EqualFold(name, transferCoding)
	s.isFraming = isTransferCoding || strings.EqualFold(name, contentLength)
	if isTransferCoding && s.isOld {
		return ErrTransferCoding
	}
	return nil
}

func (s *Scanner) nextOfValue(b byte) error {
	isAfterReturn := s.isAfterReturn
	s.isAfterReturn = b == '\r'
	if s.isFraming {
		s.framingLeft--
	}
	switch {
	case b == '\n':
		s.part = partLineStart
	case isAfterReturn, s.framingLeft < 0, isControl(b) && b != '\t' && b != '\r':
		return ErrFieldValue
	}
	return nil
}

func isControl(b byte) bool { return b < ' ' || b == 0x7f }

func (s *Scanner) keep(b byte) {
	if len(s.kept) < keptBytes {
		s.kept = append(s.kept, b)
	}
}

// readStatusLine parses the version and the status code.
func (s *Scanner) readStatusLine() error {
	version, rest, _ := strings.Cut(string(s.kept), " ")
	s.kept = s.kept[:0]
	status, _, _ := strings.Cut(strings.TrimRight(strings.TrimLeft(rest, " "), "\r"), " ")
	major, minor, isValid := http.ParseHTTPVersion(version)
	if number, err := strconv.Atoi(status); !isValid || len(status) != 3 || err != nil || number < 0 {
		return ErrStatusLine
	}
	s.isOld = major < 1 || major == 1 && minor < 1
	s.isInterim = status[0] == '1' && status != "101"
	return nil
}
