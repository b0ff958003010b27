#!/usr/bin/env bash
# Plays the case fresh-fleet: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and
# review/build-2.sh; writes record.txt beside this file.
folder="$(cd "$(dirname "$0")" && pwd)" && cd "$folder/../.." || exit 2
[ -x target/marigoldmux ] && [ -x target/review-2/cases ] || { echo "not built" >&2; exit 2; }
timeout -k 5 110 target/review-2/cases fresh-fleet "$folder"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
