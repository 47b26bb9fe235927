package eelgrassbeam

import "context"

// Runner runs until the context ends or it fails; a group starts it.
type Runner interface {
	Run(ctx context.Context) error
}
