#!/bin/bash
# Builds the stand-ins of the cases into target/review. Needs the packages of
# deploy/system.toml and no network.
set -e
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Wextra -DBOOST_ALL_NO_LIB=1
  -Ipackages/base/include -Ipackages/transport/include
  -Ipackages/transport/src -Itesting)
sources=(packages/base/src/*.cpp packages/transport/src/*.cpp
  testing/support/process.cpp testing/entry/fake_keyed_store.cpp)
objects=()
for source in "${sources[@]}"; do
  object="$out/$(echo "${source%.cpp}" | tr / _).o"
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
done
for case in review/[0-9]/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" -c "$case" -o "$out/case$number.o" &
done
for job in $(jobs -p); do
  wait "$job"
done
libraries=$(pkg-config --libs absl_strings libxxhash)
for case in review/[0-9]/case.cpp; do
  number=$(basename "$(dirname "$case")")
  # shellcheck disable=SC2086
  g++ "$out/case$number.o" "${objects[@]}" $libraries -pthread \
    -o "$out/case$number"
done
