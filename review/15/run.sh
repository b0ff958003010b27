#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-standins-3 ] || [ ! -x target/marigoldmux ]; then
  echo "build first: see review/REPORT-3.md" >&2
  exit 2
fi
exec target/review-standins-3 case 15 review/15
