#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption. Run review/build.sh and the build of the deploy
# file before.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
timeout -k 5 115 java -Xmx256m -cp "$root/review/target" \
  "-Dreview.root=$root" "-Dreview.record=$here/record.txt" RestartWhileStoreIsDown &
driver=$!
trap 'kill -TERM "$driver"' TERM INT
wait "$driver"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
