#!/usr/bin/env bash
# Shows the case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 runs it
# without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export RECORD=review/2/record.txt
[ -x target/sesame-entry ] && [ -x target/sesame-control ] && [ -x target/review/unreadable-id ] || exit 2
exec timeout -k 2 118 target/review/unreadable-id
