package eelgrassbeam

import "context"

// Runner is a component that runs until the context ends or it fails.
type Runner interface {
	Run(ctx context.Context) error
}
