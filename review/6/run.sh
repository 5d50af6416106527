#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0
# leaves out the disruptions. SEED sets what is drawn at random.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/chervilpath ] || [ ! -x target/review-drive2 ]; then
  echo 'run the build line of deploy/system.toml and review/build-2.sh first' >&2
  exit 2
fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
timeout -k 2 118 target/review-drive2 -case shifted-stage-answers -record "$here/record.txt" -trouble="$trouble" ${SEED:+-seed "$SEED"}
code=$?
if [ "$code" -gt 1 ]; then exit 2; fi
exit "$code"
