#!/bin/sh
# Plays the case once; TROUBLE=0 leaves the disruption out. 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/trailproxyd ] || [ ! -x target/review-2/10 ]; then
    echo "wanted first: the build of deploy/balancer.toml and review/build-2.sh"
    exit 2
fi
exec target/review-2/10 review/10
