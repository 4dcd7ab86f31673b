#!/usr/bin/env bash
# Plays the case; exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
cd "$folder/../.." || exit 2
[ -d target/review ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout -k 5 114 java -Dsun.net.httpserver.nodelay=true -cp 'target/review:target/pollensill-coordinator/lib/*' \
  Play cancelled-unknown "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
