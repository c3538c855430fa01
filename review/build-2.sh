#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start. The project itself is built by the deploy file.
set -e
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-2 .
