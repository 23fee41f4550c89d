#!/usr/bin/env bash
# One server's answer has a wrong, huge Content-Length. TROUBLE=0 leaves the fault out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/snipevalve-node ] && [ -x build-review/bin/review-huge-length ] || exit 2
TROUBLE="${TROUBLE:-1}" exec timeout -k 5 115 build-review/bin/review-huge-length target/bin/snipevalve-node review/2/record.txt
