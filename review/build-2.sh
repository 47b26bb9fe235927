#!/bin/sh
# Builds the stand-ins and clients of the cases of the second review.
set -eu
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target
CGO_ENABLED=0 go build -o ../../target/review-2 .
