package headchecker

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// scan scans the text in pieces of the given size and returns the first error.
func scan(text string, size int) error {
	var s Scanner
	s.Expect()
	for start := 0; start < len(text); start += size {
		if err := s.Scan([]byte(text[start:min(start+size, len(text))])); err != nil {
			return err
		}
	}
	return nil
}

func TestScanner(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		text string
		want error
	}{
		"valid":                     {status + "A: b\r\nX-C:\r\n\r\n : body\x00", nil},
		"interim responses":         {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nA: b\r\n\r\n" + status + "\r\n : body", nil},
		"switching protocols":       {"HTTP/1.1 101 Switching\r\n\r\n : body", nil},
		"no carriage returns":       {"HTTP/1.0 200\nA: b\n\n : body", nil},
		"status line":               {"200 OK\r\n", ErrStatusLine},
		"status line of a request":  {"GET / HTTP/1.1\r\n", ErrStatusLine},
		"blank in a name":           {status + "A B: c\r\n", ErrFieldName},
		"blank before a name":       {status + "A: b\r\n C: d\r\n", ErrFieldName},
		"no name":                   {status + ": b\r\n", ErrFieldName},
		"no colon":                  {status + "A\r\n", ErrFieldName},
		"interim head":              {"HTTP/1.1 103 \r\nA B: c\r\n", ErrFieldName},
		"control byte":              {status + "A: \x01\r\n", ErrFieldValue},
		"carriage return":           {status + "A: b\rC: d\r\n", ErrFieldValue},
		"long length":               {status + "Content-Length: " + strings.Repeat("1", 300) + "\r\n", ErrFieldValue},
		"transfer coding, HTTP/1.0": {"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n", ErrTransferCoding},
		"large":                     {status + "A: " + strings.Repeat("b", maxCost), ErrTooLarge},
		"many fields":               {status + strings.Repeat("A:\r\n", maxCost/lineCost), ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 7, len(test.text)} {
				is.New(t).True(errors.Is(scan(test.text, size), test.want))
			}
		})
	}
}
