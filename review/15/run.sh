#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standins-3 case 15 review/15
