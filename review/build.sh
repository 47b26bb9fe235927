#!/bin/sh
# Builds the stand-ins and clients of all cases.
set -eu
cd "$(dirname "$0")/harness"
CGO_ENABLED=0 go build -o ../bin/harness .
