.PHONY: build test check demo matrix measure mutants

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

demo: build
	./scripts/demo.sh

check:
	./scripts/check.sh

matrix: build
	./scripts/matrix.sh

measure: build
	./scripts/measure.sh

mutants:
	./scripts/mutants.sh
