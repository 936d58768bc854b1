.PHONY: build test demo measure matrix lint

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

test:
	go test -race ./...

demo: build
	./scripts/demo.sh
