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
# Ends what is left, also where this script or the program was itself ended, and removes the temporary folder.
end() {
    [ -n "$running" ] && kill -TERM "$running" 2>/dev/null && wait "$running"
    for pid in $(cat "$REVIEW_TMP"/*.pid 2>/dev/null); do
        case $(readlink "/proc/$pid/exe") in
            "$REVIEW_ROOT"/target/release/trailproxyd*) kill -KILL "$pid" 2>/dev/null ;;
        esac
    done
    rm -rf "$REVIEW_TMP"
}
running=
trap end EXIT
trap 'exit 2' HUP INT TERM
timeout -k 5 110 "$program" &
running=$!
wait "$running"
code=$?
running=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
