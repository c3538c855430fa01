#!/bin/bash
# Builds the stand-ins of the cases 11 to 15, after the build of deploy/system.toml. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/standin3 .
