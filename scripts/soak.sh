#!/usr/bin/env bash
# Runs the fault soak. Arguments are passed to bronzerill-soak, such as --seed 7 --seeds 50.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./cmd/bronzerill ./cmd/bronzerill-soak
exec ./bin/bronzerill-soak "$@"
