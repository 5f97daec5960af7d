#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/second/platform"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../../target/review-2 .
