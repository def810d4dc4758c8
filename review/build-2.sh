#!/usr/bin/env bash
# Builds the stand-ins of review/6 and later into target/review-2. Needs g++ and
# nlohmann-json3-dev, both in deploy/system.toml, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_in_2/*.cpp; do
    g++ -std=c++17 -O1 -Wall -Wextra -Werror -pthread "$source" \
        -o "target/review-2/$(basename "$source" .cpp)"
done
