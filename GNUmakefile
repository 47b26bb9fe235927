.DEFAULT_GOAL := build
GO ?= go
VERSION := $(shell cat version.txt)
LDFLAGS := -X main.version=$(VERSION)
export CGO_ENABLED := 1

.PHONY: build test check generate

build:
	$(GO) build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

test:
	$(GO) test -race -count=1 ./...

check:
	script/bare-go
	golangci-lint fmt --diff
	golangci-lint run
