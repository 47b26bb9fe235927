.DEFAULT_GOAL := build
GO ?= go
VERSION := $(shell cat version.txt)
LDFLAGS := -X main.version=$(VERSION)
export CGO_ENABLED := 1

.PHONY: build demo test soak check capacity measure proofs generate

build:
	$(GO) build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

demo: build
	bin/eelgrassbeam-demo

# KNOWN_RED is the -skip pattern for the tests in KNOWN-RED.txt, which holds one test a line, beginning with its name.
KNOWN_RED := $(shell awk '{gsub("/", "$$/^", $$1); print "^" $$1 "$$"}' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)

test:
	$(GO) test -race -count=1 -timeout 20m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

# Runs the soak test with new seeds or with a given one: make soak SEEDS=50 PARALLEL=3, make soak SEED=7. RESTORES=false
# leaves out restorations of the store, as seeds of before 2026-12-04 20:44 have none.
soak:
	$(GO) test -race -count=1 -timeout 60m ./test -run 'TestSoak$$' -v -soak.length=12s -soak.parallel=$(or $(PARALLEL),2) \
		-soak.seeds=$(or $(SEEDS),10) $(if $(SEED),-soak.seed=$(SEED)) $(if $(LOGS),-soak.keep=$(LOGS)) $(if $(RESTORES),-soak.restores=$(RESTORES))

capacity: build
	bin/eelgrassbeam-survey

measure: build
	bin/eelgrassbeam-demo -experiment flood -user consorcio
	bin/eelgrassbeam-demo -experiment shift -user consorcio
	bin/eelgrassbeam-demo -experiment flood -user sencnik
	bin/eelgrassbeam-demo -experiment shift -user sencnik

proofs:
	script/proofs

check:
	script/bare-go
	script/generated
	golangci-lint fmt --diff
	golangci-lint run
	golangci-lint run --build-tags unguarded

generate:
	goa gen github.com/eelgrassbeam/eelgrassbeam/design
