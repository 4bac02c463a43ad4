#!/usr/bin/env bash
# Runs one golden session and compares what it prints with its reference.
#
#   run_case.sh PROGRAMS CASE             compare
#   REFRESH=1 run_case.sh PROGRAMS CASE   write the reference anew
#
# A session gets PATH with the programs, CASE with its folder, SOURCE with the
# project's, and an empty folder to work in. Processes that it starts are ended
# with it.
set -u
programs=$(realpath "$1")
CASE=$(realpath "$2")
SOURCE=$(realpath "$CASE/../..")
export CASE SOURCE PATH="$programs:$PATH"
source "$SOURCE/testsuite/session.sh"
export -f start wait_for publish get label_key
work=$(mktemp -d)
cd "$work" || exit 1
bash "$CASE/run" >out.txt 2>&1
status=$?
while read -r process; do
    kill "$process" 2>/dev/null
done < <(cat processes 2>/dev/null)
# They drain before they end; the next session needs their addresses.
while read -r process; do
    for _ in $(seq 200); do
        kill -0 "$process" 2>/dev/null || break
        sleep 0.05
    done
done < <(cat processes 2>/dev/null)
echo "exit status $status" >>out.txt
if [ "${REFRESH:-}" = 1 ]; then
    mkdir -p "$CASE/ref" && cp out.txt "$CASE/ref/out.txt"
fi
diff -u "$CASE/ref/out.txt" out.txt
result=$?
cd / && rm -rf "$work"
exit $result
