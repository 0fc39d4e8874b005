#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-2/unconnected-host ] || { echo "review/build-2.sh has not been run" >&2; exit 2; }
exec target/review-2/unconnected-host "$folder/record.txt"
