#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run. TROUBLE=0 leaves the late copies out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/shallotreel ] && [ -x target/review-2 ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec target/review-2 -case late-copy -record "$folder/record.txt"
