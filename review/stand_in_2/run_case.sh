#!/usr/bin/env bash
# run_case.sh FOLDER PROGRAM: runs the program of a case, which writes
# FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
program=target/review-2/$2
if [[ ! -x $program || ! -x target/packages/entry/hibiscus_entryd ]]; then
    echo "not built: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
fi
work=$(mktemp -d)
# The nodes end with the program.
timeout -k 1 118 "$program" "$folder/record.txt" "$work"
result=$?
rm -rf "$work"
[[ $result -le 1 ]] && exit "$result"
exit 2
