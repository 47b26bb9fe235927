// Package headchecker checks the head of an HTTP response for what net/http lets through although it makes the response
// invalid.
package headchecker

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const maxStatus = 599

var (
	// ErrStatus reports a status that is not a final one of HTTP.
	ErrStatus = errors.New("invalid status")
	// ErrStatusLine reports a first line without a version or a status.
	ErrStatusLine = errors.New("invalid status line")
	// ErrFieldName reports a field whose name is not a token.
	ErrFieldName = errors.New("invalid field name")
	// ErrFieldValue reports a field with a control byte in its value, or one that delimits the body whose value is too long.
	ErrFieldValue = errors.New("invalid field value")
	// ErrTooLarge reports a head that takes too much memory.
	ErrTooLarge = errors.New("head too large")
	// ErrTransferCoding reports a transfer coding in a version of HTTP that has none.
	ErrTransferCoding = errors.New("transfer coding before HTTP/1.1")
)

// Check returns an error if the response has an invalid head, so that nothing that it says may be used.
func Check(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return fmt.Errorf("%w %d", ErrStatus, response.StatusCode)
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w %q", ErrFieldName, name)
		}
	}
	return nil
}
