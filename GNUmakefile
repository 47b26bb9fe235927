.DEFAULT_GOAL := build
GO ?= go
VERSION := $(shell cat version.txt)
LDFLAGS := -X main.version=$(VERSION)
export CGO_ENABLED := 1

.PHONY: build demo test check capacity generate

build:
	$(GO) build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

demo: build
	bin/eelgrassbeam-demo

test:
	$(GO) test -race -count=1 ./...

capacity: build
	bin/eelgrassbeam-survey

check:
	script/bare-go
	golangci-lint fmt --diff
	golangci-lint run

generate:
	goa gen github.com/eelgrassbeam/eelgrassbeam/design
