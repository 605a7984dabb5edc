#!/bin/sh
# Builds the stand-ins of the scripts of the third review, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review/standin-3 ./review/standin-3
