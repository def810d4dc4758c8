#!/usr/bin/env bash
# Runs clang-tidy on each source file. A file is skipped if it, everything it
# includes and the settings are as they were when it was last found clean.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
stamps=${HIBISCUS_LINT_CACHE:-$HOME/.cache/hibiscus-lint}
mkdir -p "$stamps"
export build stamps
settings=$(cat .clang-tidy <(clang-tidy --version) | sha256sum | cut -d' ' -f1)
export settings

lint_one() {
    file=$1
    # The preprocessed text without line markers names all that the file
    # depends on. The compile command comes from the build.
    command=$(python3 - "$build/compile_commands.json" "$PWD/$file" <<'P'
import json, shlex, sys
for row in json.load(open(sys.argv[1])):
    if row["file"] == sys.argv[2]:
        words = shlex.split(row["command"])
        words = words[1:] if "ccache" in words[0] else words
        out = words.index("-o")
        print(shlex.join(words[:out] + words[out + 2:]))
        break
P
)
    [ -n "$command" ] || return 0
    key=$( (echo "$settings"; eval "$command -E -P" 2>/dev/null; cat "$file";
            git ls-files -co --exclude-standard "$(dirname "$file")/*.hpp" |
                xargs -r cat) | sha256sum | cut -d' ' -f1)
    [ -e "$stamps/$key" ] && return 0
    if clang-tidy --quiet -p "$build" "$file" 2>/dev/null; then
        touch "$stamps/$key"
    else
        echo "lint failed: $file"
        return 1
    fi
}
export -f lint_one
git ls-files -co --exclude-standard '*.cpp' |
    xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
