#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/review-2. It needs the Go toolchain and no network.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -trimpath -buildvcs=false -o ../../target/review-2/rig .
