#!/bin/bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -m # a process group of its own, which is ended as a whole
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/shallotreel ] && [ -x target/standin3 ] || { echo "build the project and run review/build-3.sh first"; exit 2; }
timeout 110 target/standin3 stale-pages "$here" &
group=$!
wait $group
code=$?
kill -KILL -- -$group 2>/dev/null
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
