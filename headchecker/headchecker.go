// Package headchecker checks the head of an HTTP response for what net/http lets through although it makes the response
// invalid.
package headchecker

import (
	"errors"
	"fmt"
	"net/http"
)

const maxStatus = 599

// ErrStatus reports a status that is not a final one of HTTP.
var ErrStatus = errors.New("invalid status")

// Check returns an error if the response has an invalid head, so that nothing that it says may be used.
func Check(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return fmt.Errorf("%w %d", ErrStatus, response.StatusCode)
	}
	return nil
}
