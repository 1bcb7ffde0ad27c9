# Two commands matter: `make demo` and `make test`.

GOBIN ?= $(shell go env GOPATH)/bin
GOFUMPT := $(GOBIN)/gofumpt
GOLANGCI := $(GOBIN)/golangci-lint
GOFUMPT_VERSION := v0.12.0
GOLANGCI_VERSION := v2.15.0

.PHONY: build demo test tools lint unit clean

build:
	go build -o bin/apricotstream ./cmd/apricotstream
	go build -o bin/standin ./cmd/standin

demo: build
	scripts/demo.sh

test: tools lint unit

tools: $(GOFUMPT) $(GOLANGCI)

$(GOFUMPT):
	GOBIN=$(GOBIN) go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)

$(GOLANGCI):
	GOBIN=$(GOBIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint:
	@out="$$($(GOFUMPT) -l cmd internal platform)"; if [ -n "$$out" ]; then echo "gofumpt wants changes in:"; echo "$$out"; exit 1; fi
	$(GOLANGCI) run ./...

unit:
	scripts/test.sh

clean:
	rm -rf bin
