#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/bin/hibmesh ] || exit 2
[ -x "review/build/case-$(basename "$folder")" ] || exit 2
exec timeout 118 "review/build/case-$(basename "$folder")" "$folder"
