#!/bin/bash
# Builds the stand-ins that the scripts start, into review/bin.
set -e
cd "$(dirname "$0")/platform"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standin .
