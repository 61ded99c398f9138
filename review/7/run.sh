#!/bin/sh
# Runs the case; exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.."
if [ ! -d target/review-2 ] || [ ! -d target/caroblb-platform ]; then
  echo "run deploy/build and review/build-2.sh before" >&2
  exit 2
fi
exec java -Xmx512m -cp target/review-2 Review restarts "review/7/record.txt"
