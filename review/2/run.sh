#!/bin/bash
# Runs the case for about 17 s. TROUBLE=0 leaves out the failing server.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chervilpath ] && [ -x target/review-drive ] || { echo "build first: the deploy file's build line, then review/build.sh" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-drive -case failed-run -trouble=$trouble -record review/2/record.txt
