#!/bin/bash
# Runs the case whose folder is $1: starts its program, which starts everything else and ends it.
REVIEW_CASE=$(cd "$1" && pwd)
REVIEW_ROOT=$(cd "$REVIEW_CASE/../.." && pwd)
program=$REVIEW_ROOT/target/review/case-$(basename "$REVIEW_CASE")
if [ ! -x "$program" ] || [ ! -x "$REVIEW_ROOT/target/release/trailproxyd" ]; then
    echo "build first: the build of deploy/balancer.toml and review/build.sh" >&2
    exit 2
fi
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_CASE REVIEW_ROOT REVIEW_TMP TROUBLE="${TROUBLE:-1}"
timeout -k 5 110 "$program"
code=$?
# The program ends what it started; this is for one that was itself ended.
for pid in $(cat "$REVIEW_TMP"/*.pid 2>/dev/null); do
    [ "$(readlink "/proc/$pid/exe")" = "$REVIEW_ROOT/target/release/trailproxyd" ] && kill -KILL "$pid" 2>/dev/null
done
rm -rf "$REVIEW_TMP"
case $code in 0|1) exit "$code";; *) exit 2;; esac
