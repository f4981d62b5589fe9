#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS=-mod=readonly GOPROXY=off go build -tags review -o target/review/cases ./review/cases
