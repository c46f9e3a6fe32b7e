GO ?= go
GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(shell $(GO) env GOPATH)/bin/golangci-lint
GOPLS_VERSION := v0.23.0
GOPLS := $(shell $(GO) env GOPATH)/bin/gopls

.PHONY: build demo demo-up demo-secure walkthrough reference test format lint tools

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	scripts/demo.sh

demo-up: build
	scripts/demo.sh --keep

demo-secure: build
	scripts/demo.sh --secure

walkthrough: build
	scripts/walkthrough.sh

reference:
	CAROB_WRITE_REFERENCE=1 $(GO) test -count=1 -run TestReferenceIsCurrent ./internal/docscheck

test: lint
	GO=$(GO) scripts/test.sh

format: tools
	$(GOLANGCI) fmt

lint: tools
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run

tools:
	@$(GOLANGCI) version 2>/dev/null | grep -q 'version $(GOLANGCI_VERSION:v%=%)' || \
	  $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	@$(GOPLS) version 2>/dev/null | grep -qF '$(GOPLS_VERSION)' || \
	  $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
