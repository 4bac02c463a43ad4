#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in common/harness.cpp common/traffic.cpp common/spoiled_answers.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -c "$source" \
        -o "build/$(basename "$source" .cpp).o"
done
for folder in [1-9]; do
    if [ -f "$folder/case.cpp" ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread "$folder/case.cpp" \
            build/harness.o build/traffic.o build/spoiled_answers.o -o "build/case-$folder"
    fi
done
