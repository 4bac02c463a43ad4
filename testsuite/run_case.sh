#!/usr/bin/env bash
# Runs one golden session and compares its output with the reference.
#
#   run_case.sh PROGRAMS CASE             compares the output
#   REFRESH=1 run_case.sh PROGRAMS CASE   rewrites the reference
#
# A session runs in an empty folder. PATH includes the programs, CASE is the
# session's folder and SOURCE the project's. Processes that the session has
# started are terminated at its end.
set -u
programs=$(realpath "$1")
CASE=$(realpath "$2")
SOURCE=$(realpath "$CASE/../..")
export CASE SOURCE PATH="$programs:$PATH"
source "$SOURCE/testsuite/session.sh"
export -f start wait_for publish get order_key
work=$(mktemp -d)
cd "$work" || exit 1
bash "$CASE/run" >out.txt 2>&1
status=$?
while read -r process; do
    kill "$process" 2>/dev/null
done < <(cat processes 2>/dev/null)
# Waits for the processes to end: they drain first, and the next session may use
# the same addresses.
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
