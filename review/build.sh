#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin. It needs nothing beyond the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")/standin"
export PATH="$PATH:/usr/local/go/bin" GOFLAGS=-mod=mod GOWORK=off
go build -o ../bin/standin .
