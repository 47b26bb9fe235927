package peer

import (
	"compress/gzip"
	"fmt"

	"google.golang.org/grpc"
	grpcgzip "google.golang.org/grpc/encoding/gzip"
)

// Compressed returns the option that compresses a call's request and response with gzip.
func Compressed() grpc.CallOption { return grpc.UseCompressor(grpcgzip.Name) }

func init() {
	// Entries have a fraction of a core, so that speed counts for more than the last tenth of the size.
	if err := grpcgzip.SetLevel(gzip.BestSpeed); err != nil {
		panic(fmt.Errorf("set gzip level: %w", err))
	}
}
