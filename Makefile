# Targets: build, test, lint, demo, soak, bench, matrix, generate.
BIN := bin
STEPS ?= 100000
SEED ?= 1
UNFORMATTED = $(shell go tool gofumpt -l cmd internal pkg platform)

.PHONY: all build test lint demo soak bench matrix generate clean

all: build

build:
	go build -o $(BIN)/ ./cmd/...

lint:
	@test -z "$(UNFORMATTED)" || { echo "not formatted with gofumpt: $(UNFORMATTED)"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# The tests of internal/hostile measure a process and run after the others, alone. They run
# also if others failed.
test: lint build
	status=0; \
	go test -race -count=1 $$(go list ./... | grep -v '/internal/hostile$$') || status=1; \
	go test -race -count=1 ./internal/hostile || status=1; \
	exit $$status

demo: build
	bash scripts/demo.sh

soak:
	SOAK_STEPS=$(STEPS) SOAK_SEED=$(SEED) go test -count=1 -timeout 0 -run 'Soak' -v ./internal/...

bench:
	go test -run '^$$' -bench . -benchmem ./...

matrix:
	MATRIX_FILE=$(CURDIR)/docs/FAULT-MATRIX.md go test -count=1 -run TestFaultMatrix ./internal/forward
	MATRIX_FILE=$(CURDIR)/docs/FAULT-MATRIX-JOBS.md go test -count=1 -run TestJobMatrix ./internal/node

generate:
	protoc --go_out=. --go_opt=module=cactusspoke --go-grpc_out=. --go-grpc_opt=module=cactusspoke \
		--plugin=protoc-gen-go=$(BIN)/protoc-gen-go --plugin=protoc-gen-go-grpc=$(BIN)/protoc-gen-go-grpc \
		internal/peer/peerpb/peer.proto

clean:
	rm -rf $(BIN)
