#!/bin/sh
# Plays the case once; TROUBLE=0 leaves the disruption out. 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/trailproxyd ] || [ ! -x target/review-2/10 ]; then
    echo "wanted first: the build of deploy/balancer.toml and review/build-2.sh"
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# The dispatchers end with the program that started them, whatever ends it.
end() {
    [ -n "$program" ] && kill -KILL "$program" 2>/dev/null && wait "$program" 2>/dev/null
    rm -rf "$TMPDIR"
}
program=
trap end EXIT
trap 'exit 2' HUP INT TERM
target/review-2/10 review/10 &
program=$!
wait "$program"
code=$?
program=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
