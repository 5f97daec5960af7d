# The two commands of the README are `make demo` and `make tests`.

PROGRAMS := entry aggregator stile fakes bench
MODULES  := share $(PROGRAMS)
GO       ?= go
LINT     := $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: all build demo tests lint bench

all: build

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do $(GO) build -o bin/$$p ./$$p || exit 1; done

demo: build
	@bin/fakes demo --bin bin

tests: build
	@for m in $(MODULES); do (cd $$m && $(GO) test ./...) || exit 1; done
