#!/bin/sh
# Builds the stand-ins of the scripts into target/review/. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOTOOLCHAIN=local GOPROXY=off go test -c -o ../../target/review/standin .
