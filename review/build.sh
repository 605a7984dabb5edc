#!/usr/bin/env bash
# Builds the stand-ins that the cases of this folder start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS="-buildvcs=false" CGO_ENABLED=0 go build -o ../../target/review-standin .
