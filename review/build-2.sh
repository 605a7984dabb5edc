#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/. They are a module of their own,
# without dependencies, so that nothing else builds or tests them.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin-2 .
