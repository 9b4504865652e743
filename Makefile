.PHONY: test lint generate ci

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
