.PHONY: test lint generate docs ci

# The README's test command; CI runs the same.
test:
	go test -race -timeout 10m ./...

lint:
	golangci-lint fmt
	golangci-lint run ./...

generate:
	scripts/generate.sh

ci:
	.ci/run

# Writes the settings and command reference.
docs:
	USER= go run ./cmd/parsleygate docs docs
