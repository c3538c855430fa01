#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
cd "$(dirname "$0")/harness" || exit 2
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-mod=readonly GOTOOLCHAIN=local exec go build -o ../../target/review/harness .
