#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review-3/release/case-weights
[ -x "$driver" ] && [ -x target/release/geraniummux-host ] || exit 2
exec "$driver" review/13/record.txt
