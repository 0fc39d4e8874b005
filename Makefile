# Targets for development. The product needs only "go build ./cmd/...".
TOOL = go tool -modfile=tools/go.mod

.PHONY: test check generate build demo soak fault-soak bench

build:
	go build -o run/bin/ ./cmd/...

# Everything that CI checks.
check:
	./.ci/check

test: check

generate:
	$(TOOL) buf generate

demo:
	./deploy/demo.sh

# The schedule checks, many times over.
soak:
	SESAME_SOAK=40 go test ./internal/core/consensus ./internal/core/ledger -timeout 60m -run Random -v

# The real programs under random faults: 50 seeds from SEED on, logs and a report in run/soak.
SEED ?= 1
fault-soak:
	go test ./platform/soak -timeout 60m -v -run TestSoak -args -seed $(SEED) -seeds 50 -for 20s -out $(CURDIR)/run/soak

bench:
	go test ./internal/... -run '^$$' -bench . -benchmem
