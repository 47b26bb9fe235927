package sender

import "github.com/eelgrassbeam/eelgrassbeam"

// Unbounded is a Budget without a bound. It is the baseline of the budgets.
type Unbounded struct{}

// Attempt implements Budget.
func (Unbounded) Attempt(eelgrassbeam.ServiceName) {}

// Retry implements Budget.
func (Unbounded) Retry(eelgrassbeam.ServiceName) bool { return true }
