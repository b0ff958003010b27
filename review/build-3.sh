#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 to review/15 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins-3 ./review/_standins-3
