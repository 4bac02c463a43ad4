#!/usr/bin/env bash
# Checks a specification with Spin.
#
#   check.sh MODEL            the specification must hold
#   check.sh MODEL MUTATION   the macro MUTATION removes a rule from the model;
#                             an assertion must then fail
set -eu
model=$(realpath "$1")
mutation=${2:-}
memory_mb=3000
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
cp "$model" model.pml
spin ${mutation:+-D"$mutation"} -a model.pml
cc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c
./pan -m200000 -w24 >out.txt
grep -E 'errors:|states, stored|error:|assertion violated|MEMLIM' out.txt
# Spin also reports an incomplete search when it stops at a violation.
if grep -q -E 'Search not completed|MEMLIM|max search depth' out.txt &&
    ! grep -q 'assertion violated' out.txt; then
    echo "check.sh: the search was not completed"
    exit 1
fi
if [ -z "$mutation" ]; then
    grep -q 'errors: 0' out.txt
else
    grep -q 'assertion violated' out.txt
fi
