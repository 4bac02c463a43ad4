#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
program="review/build/case-$(basename "$folder")"
[ -x target/bin/hibmesh ] && [ -x "$program" ] || exit 2
work="$(mktemp -d)" || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 1 117 "$program" "$folder" "$work"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
