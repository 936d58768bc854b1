.PHONY: build test check demo matrix measure mutants soak

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

test:
	go test -race -count=1 -timeout 25m ./...

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

soak:
	./scripts/soak.sh --seed $$(date +%s) --seeds 10
