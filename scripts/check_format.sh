#!/usr/bin/env bash
# Fails if a source file is not as clang-format would write it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cpp' '*.hpp' |
    xargs clang-format --dry-run --Werror
