// Package headchecker validates the head of an HTTP response, its status line and header fields, beyond what net/http does.
package headchecker

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const maxStatus = 599

var (
	// ErrStatus reports a status code that is not a final one: below 200 or above 599.
	ErrStatus = errors.New("invalid status")
	// ErrStatusLine reports a status line without a valid version or status code.
	ErrStatusLine = errors.New("invalid status line")
	// ErrFieldName reports a field whose name is not a token.
	ErrFieldName = errors.New("invalid field name")
	// ErrFieldValue reports a control byte in a field value, or too long a value of a field that frames the body.
	ErrFieldValue = errors.New("invalid field value")
	// ErrTooLarge reports a head that would take too much memory.
	ErrTooLarge = errors.New("head too large")
	// ErrTransferCoding reports a Transfer-Encoding field in a response of a version before HTTP/1.1.
	ErrTransferCoding = errors.New("transfer coding before HTTP/1.1")
)

// Check returns an error if the parsed response has an invalid status code or field name. Nothing in such a response can be
// relied on.
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
