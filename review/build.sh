#!/bin/sh
# Builds the stand-ins and checks of all cases with the toolchain alone: no package, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review/case-$number" "$case"
done
