#!/usr/bin/env bash
# One server's answer turns into a chunk extension without end. TROUBLE=0 leaves the fault out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/snipevalve-node ] && [ -x build-review/bin/review-endless-chunk ] || exit 2
TROUBLE="${TROUBLE:-1}" exec timeout -k 5 115 build-review/bin/review-endless-chunk target/bin/snipevalve-node review/3/record.txt
