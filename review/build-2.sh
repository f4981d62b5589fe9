#!/usr/bin/env bash
# Builds the programs that the scripts of review/4 and later start: the cases with their stand-ins. Run it after the
# build of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
GOPROXY=off go build -tags review -o target/review-2/ ./review/cases-2/...
