#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review-standins ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/release/review-standins reused-address review/2
