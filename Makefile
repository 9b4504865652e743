.PHONY: test lint generate docs ci

# The README's test command; CI runs the same. The crowds of clients that misbehave play alone, after all other tests.
test:
	status=0; \
	go test -race -timeout 10m ./... || status=1; \
	go test -timeout 30m ./platform/soak -run 'Crowds|OddAnswers' -soak.crowds short || status=1; \
	exit $$status

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
