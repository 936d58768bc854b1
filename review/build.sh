#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The routers themselves are built by the
# command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/lab ./review/lab
