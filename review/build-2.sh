#!/bin/sh
# Builds the stand-ins of review/4 and later: they are one program, with the standard library only.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/standin-2"
GOWORK=off GOFLAGS=-buildvcs=false go test -c -o "$root/target/review-2" .
